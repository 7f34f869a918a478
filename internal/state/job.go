package state

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// jobRetention is how long a job is kept after it has ended.
const jobRetention = 3 * 24 * time.Hour

// maxFailures is the maximum number of failures kept for a job.
const maxFailures = 16

// MemberState is the state of a job's member, as last reported by its agent.
type MemberState string

// The states of a member.
const (
	MemberUnreported   MemberState = ""             // not reported yet
	MemberPrepared     MemberState = "prepared"     // lease held, not started
	MemberRunning      MemberState = "running"      // started
	MemberCheckpointed MemberState = "checkpointed" // checkpoint saved; may still run
	MemberStopped      MemberState = "stopped"      // no longer runs
	MemberFailed       MemberState = "failed"       // ended with an error
	MemberDone         MemberState = "done"         // ended successfully
)

// Terminal reports whether a member in this state no longer runs.
func (m MemberState) Terminal() bool {
	return m == MemberStopped || m == MemberFailed || m == MemberDone
}

// Job extends model.Job with what the state machine records about it.
type Job struct {
	model.Job
	StartedEpoch    uint64        `json:"begun,omitempty"`  // epoch of the last committed start; 0 means never started
	PhaseIndex      uint64        `json:"moved,omitempty"`  // log index of the last change of its phase
	CancelRequested bool          `json:"cancel,omitempty"` // an operator cancelled it; it is never queued again
	MemberStates    []MemberState `json:"status,omitempty"` // states of the members under the current epoch, by member index
	Failures        []Failure     `json:"faults,omitempty"` // failures of members, latest last
	Plan            string        `json:"plan,omitempty"`   // plan that last changed it
	PlanIndex       uint64        `json:"index,omitempty"`  // log index at which that plan was confirmed
}

// Failure is one failure of a member. It records the worker, so that a faulty
// worker can be distinguished from a job that fails on every worker.
type Failure struct {
	Worker string    `json:"worker"`
	Member int       `json:"member"`
	Epoch  uint64    `json:"epoch"`
	Time   time.Time `json:"time"`
	Reason string    `json:"reason,omitempty"`
}

// StartJob starts every member of a gang. It is rejected unless all members are
// prepared under the epoch.
type StartJob struct {
	ID    string `json:"id"`
	Epoch uint64 `json:"epoch"`
}

// StopJob tells every member of a preparing or running job to stop.
type StopJob struct {
	ID     string `json:"id"`
	Epoch  uint64 `json:"epoch"`
	Reason string `json:"reason"`
}

// EndJob releases a job's workers and moves the job to an ended state or back to
// the queue. Every member must have stopped, failed or completed, unless all
// leases have expired. A job that was ever started is queued again only if it is
// idempotent.
type EndJob struct {
	ID            string         `json:"id"`
	Epoch         uint64         `json:"epoch"`
	State         model.JobState `json:"state"`            // done, failed, cancelled or queued
	Reason        string         `json:"reason,omitempty"` // why it ended or was queued again
	LeasesExpired bool           `json:"lapsed,omitempty"` // the leader knows that every lease under the epoch has expired
}

func (d *data) startJob(c StartJob) Result {
	j, err := d.findJobAtEpoch(c.ID, c.Epoch)
	if err != nil {
		return errorResult(err)
	}
	if j.State == model.JobRunning {
		return Result{Job: &j}
	}
	if j.State != model.JobPreparing {
		return errorResult(stateError(j))
	}
	for i, m := range j.MemberStates {
		if m != MemberPrepared {
			return errorResult(errors.Wrapf(ErrBadState, "member %d is %q, not prepared", i, m))
		}
	}
	j.Job = j.WithState(model.JobRunning, "")
	j.StartedEpoch = j.Epoch
	j.Started = d.now
	j.PhaseIndex = d.index
	d.putJob(j)
	d.assignMembers(j)
	return Result{Job: &j}
}

func (d *data) stopJob(c StopJob) Result {
	j, err := d.findJobAtEpoch(c.ID, c.Epoch)
	if err != nil {
		return errorResult(err)
	}
	if j.State == model.JobStopping {
		return Result{Job: &j}
	}
	if j.State != model.JobPreparing && j.State != model.JobRunning {
		return errorResult(stateError(j))
	}
	j.Job = j.WithState(model.JobStopping, c.Reason)
	j.PhaseIndex = d.index
	d.putJob(j)
	d.assignMembers(j)
	return Result{Job: &j}
}

func (d *data) endJob(c EndJob) Result {
	j, err := d.findJobAtEpoch(c.ID, c.Epoch)
	if err != nil {
		return errorResult(err)
	}
	if err := j.checkEnd(c); err != nil {
		return errorResult(err)
	}
	d.unassignMembers(j)
	j.Job = j.WithState(c.State, c.Reason)
	j.MemberStates = nil
	if c.State == model.JobQueued {
		j.Members = nil
		j.Borrowed = false
	} else {
		j.Ended = d.now
	}
	d.putJob(j)
	return Result{Job: &j}
}

// checkEnd returns an error if the job can't move to the state that c names.
func (j Job) checkEnd(c EndJob) error {
	switch {
	case j.State.Ended():
		return stateError(j)
	case c.State != model.JobQueued && !c.State.Ended():
		return errors.Wrapf(ErrBadCommand, "invalid end state %q", c.State)
	case j.State == model.JobQueued && c.State == model.JobQueued:
		return stateError(j)
	case c.State == model.JobQueued && j.CancelRequested:
		return errors.Wrapf(ErrBadState, "job %q was cancelled", j.ID)
	case c.State == model.JobQueued && j.StartedEpoch != 0 && !j.Idempotent:
		return errors.Wrapf(ErrBadState, "job %q was started and is not idempotent", j.ID)
	case c.State == model.JobDone && !j.allMembers(MemberDone):
		return errors.Wrapf(ErrBadState, "job %q has members that are not done", j.ID)
	case !c.LeasesExpired && !j.AllMembersTerminal():
		return errors.Wrapf(ErrBadState, "job %q has members that may still run", j.ID)
	}
	return nil
}

// AllMembersTerminal reports whether no member of the job can still run or start.
// A member that was told to prepare and hasn't reported yet may hold a lease, so
// it counts as able to start.
func (j Job) AllMembersTerminal() bool {
	for _, m := range j.MemberStates {
		if !m.Terminal() {
			return false
		}
	}
	return true
}

func (j Job) allMembers(want MemberState) bool {
	for _, m := range j.MemberStates {
		if m != want {
			return false
		}
	}
	return len(j.MemberStates) > 0
}

func (d *data) findJob(id string) (Job, error) {
	j, ok := d.jobs.get(id)
	if !ok {
		return Job{}, errors.Wrapf(ErrNotFound, "job %q", id)
	}
	return *j, nil
}

// findJobAtEpoch returns the job. It returns ErrFenced if epoch isn't the job's
// current epoch.
func (d *data) findJobAtEpoch(id string, epoch uint64) (Job, error) {
	j, err := d.findJob(id)
	if err != nil {
		return j, err
	}
	if j.Epoch != epoch {
		return j, errors.Wrapf(ErrFenced, "job %q: epoch %d, current %d", id, epoch, j.Epoch)
	}
	return j, nil
}

func stateError(j Job) error {
	return errors.Wrapf(ErrBadState, "job %q is %s", j.ID, j.State)
}

// putJob stores a job and updates the live jobs. It sets the deadline for removal
// of a job that has just ended.
func (d *data) putJob(j Job) {
	old, ok := d.jobs.get(j.ID)
	wasLive := ok && !old.State.Ended()
	isLive := !j.State.Ended()
	if !wasLive && isLive {
		d.addLiveJobs(j.Team, 1)
		d.liveJobs.set(j.ID, j.Team)
	}
	if wasLive && !isLive {
		d.addLiveJobs(j.Team, -1)
		d.liveJobs.drop(j.ID)
		d.setDeadline(d.expiryAfter(jobRetention), deadlineJob, j.ID)
	}
	d.jobs.set(j.ID, &j)
}

func (d *data) addLiveJobs(team string, n int) {
	count, _ := d.liveJobCounts.get(team)
	if count+n == 0 {
		d.liveJobCounts.drop(team)
		return
	}
	d.liveJobCounts.set(team, count+n)
}

// assignMembers adds each member to its worker's tasks. For members that are
// already there, it only raises the worker's version.
func (d *data) assignMembers(j Job) {
	for _, m := range j.Members {
		d.assign(m.Worker, TaskRef{Job: j.ID, Member: m.Index})
	}
}

func (d *data) unassignMembers(j Job) {
	for _, m := range j.Members {
		d.unassign(m.Worker, TaskRef{Job: j.ID, Member: m.Index})
	}
}
