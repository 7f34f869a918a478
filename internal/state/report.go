package state

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// MemberReport is an agent's report on one member under one epoch.
type MemberReport struct {
	Job    string      `json:"job"`
	Epoch  uint64      `json:"epoch"`
	Member int         `json:"member"`
	State  MemberState `json:"state"`
	Reason string      `json:"reason,omitempty"`
}

// Report holds a batch of member reports.
type Report struct {
	Members []MemberReport `json:"members"`
}

// ReportError is the error of a rejected member report.
type ReportError struct {
	Index int // index of the report in the batch
	Err   error
}

// rank orders the states of a member. A report never moves a member to a state of
// lower or equal rank, so that late and duplicate reports have no effect.
func (m MemberState) rank() int {
	switch m {
	case MemberPrepared:
		return 1
	case MemberRunning:
		return 2
	case MemberCheckpointed:
		return 3
	case MemberStopped, MemberFailed, MemberDone:
		return 4
	}
	return 0
}

// applyReport applies each valid member report and returns the errors of the
// others.
func (d *data) applyReport(c Report) Result {
	var r Result
	cloned := map[string]bool{} // ids of jobs whose member states were already copied for this command
	for i, m := range c.Members {
		if err := d.applyMemberReport(m, cloned); err != nil {
			r.Refused = append(r.Refused, ReportError{Index: i, Err: err})
		}
	}
	return r
}

func (d *data) applyMemberReport(m MemberReport, cloned map[string]bool) error {
	j, err := d.findJobAtEpoch(m.Job, m.Epoch)
	if err != nil {
		return err
	}
	if err := j.checkReport(m); err != nil {
		return err
	}
	if m.State.rank() <= j.MemberStates[m.Member].rank() {
		return nil
	}
	if !cloned[j.ID] {
		j.MemberStates = slices.Clone(j.MemberStates)
		cloned[j.ID] = true
	}
	j.MemberStates[m.Member] = m.State
	if m.State == MemberFailed {
		j = j.withFailure(d.now, m)
	}
	d.putJob(j)
	return nil
}

// withFailure returns a copy of the job with a member's failure recorded.
func (j Job) withFailure(now time.Time, m MemberReport) Job {
	f := Failure{Worker: j.Members[m.Member].Worker, Member: m.Member, Epoch: m.Epoch, Time: now, Reason: m.Reason}
	failures := append(slices.Clone(j.Failures), f)
	j.Failures = failures[max(0, len(failures)-maxFailures):]
	j.FailedOn = append(slices.Clone(j.FailedOn), f.Worker)
	if m.Reason != "" {
		j.Reason = m.Reason
	}
	return j
}

func (j Job) checkReport(m MemberReport) error {
	if m.Member < 0 || m.Member >= len(j.MemberStates) {
		return errors.Wrapf(ErrBadState, "job %q (%s) has no member %d", j.ID, j.State, m.Member)
	}
	switch m.State {
	case MemberPrepared, MemberStopped, MemberFailed:
		return nil
	case MemberRunning, MemberCheckpointed, MemberDone:
		if j.StartedEpoch != j.Epoch {
			return errors.Wrapf(ErrBadState, "job %q is %s, so no member can be %s", j.ID, j.State, m.State)
		}
		return nil
	}
	return errors.Wrapf(ErrBadCommand, "invalid member state %q", m.State)
}
