package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// minOtherWorkers is the number of other workers that a job must have failed on
// for its failures to be attributed to the job.
const minOtherWorkers = 2

const memberLostReason = "a worker of the gang is lost"

// worker is a worker with its failure history.
type worker struct {
	model         model.Worker
	failedJobs    map[string]bool // ids of jobs that failed here since a job last succeeded here
	nextProbe     time.Time       // when the next probe is due, while in quarantine
	probeInterval time.Duration   // time from the quarantine or the last failed probe to the next probe
	probing       bool            // a probe was issued and hasn't reported yet
}

func newWorker() *worker { return &worker{failedJobs: make(map[string]bool)} }

// recordFailures records the failures of a committed job that follow the known
// ones with the workers that it failed on.
func (s *Sched) recordFailures(m model.Job, known []string, now time.Time) {
	for i := len(known); i < len(m.FailedOn); i++ {
		w, ok := s.workers[m.FailedOn[i]]
		if !ok {
			continue
		}
		w.failedJobs[m.ID] = true
		s.maybeQuarantine(w, now)
	}
}

// maybeQuarantine quarantines a worker that many different jobs failed on. A
// job that also fails on other workers doesn't count: it more likely causes the
// failure itself.
func (s *Sched) maybeQuarantine(w *worker, now time.Time) {
	if w.model.State != model.WorkerReady {
		return
	}
	count := 0
	for id := range w.failedJobs {
		j, ok := s.jobs[id]
		if !ok || s.countFailedWorkers(j, w.model.Name) < minOtherWorkers {
			count++
		}
	}
	if count < s.opt.MaxFailedJobs {
		return
	}
	reason := fmt.Sprintf("%d different jobs failed on worker %s since its last success", count, w.model.Name)
	s.emit(Decision{Kind: Quarantine, Worker: w.model.Name, Reason: reason})
	s.SetWorker(w.model.WithState(model.WorkerQuarantine), now)
}

// countHealthyFailedWorkers counts the healthy workers that the job has failed
// on: those that are not in quarantine and that no other job failed on.
func (s *Sched) countHealthyFailedWorkers(j *job) int {
	seen := make(map[string]bool, len(j.FailedOn))
	for _, name := range j.FailedOn {
		if !j.avoids(name) {
			continue
		}
		w, ok := s.workers[name]
		if !ok || w.model.State == model.WorkerQuarantine {
			continue
		}
		if len(w.failedJobs) <= 1 {
			seen[name] = true
		}
	}
	return len(seen)
}

// maybeFailJob fails a job that has failed on several healthy workers, or on so
// many workers that their health no longer matters. It reports whether the job
// fails.
func (s *Sched) maybeFailJob(j *job) bool {
	if j.failing || len(j.FailedOn) < s.opt.MaxFailedWorkers {
		return j.failing
	}
	healthy, all := s.countHealthyFailedWorkers(j), s.countFailedWorkers(j, "")
	if healthy < s.opt.MaxFailedWorkers && all < 2*s.opt.MaxFailedWorkers {
		return false
	}
	s.failJob(j, fmt.Sprintf("failed on %d workers, %d of which run other jobs well: %v", all, healthy, j.FailedOn))
	return true
}

// countFailedWorkers counts the workers outside of quarantine that the job has
// failed on, except one.
func (s *Sched) countFailedWorkers(j *job, except string) int {
	seen := make(map[string]bool, len(j.FailedOn))
	for _, name := range j.FailedOn {
		w, ok := s.workers[name]
		if ok && name != except && j.avoids(name) && w.model.State != model.WorkerQuarantine {
			seen[name] = true
		}
	}
	return len(seen)
}

// failJob removes a queued job from the queue and issues the decision to fail
// it.
func (s *Sched) failJob(j *job, reason string) {
	s.ensureTeam(j.Team).queue.Delete(j)
	s.cancelReservation(j)
	j.failing = true
	s.emit(Decision{Kind: Fail, Job: j.ID, Reason: reason})
}

// clearJobFailures removes a job that was failed from the failure history of
// the workers that it failed on, as the failures are attributed to the job.
func (s *Sched) clearJobFailures(m model.Job) {
	for _, name := range m.FailedOn {
		if w, ok := s.workers[name]; ok {
			delete(w.failedJobs, m.ID)
		}
	}
}

// clearWorkerFailures clears the failure history of workers on which a job has
// succeeded.
func (s *Sched) clearWorkerFailures(placement []place.Cell) {
	for _, c := range placement {
		if w, ok := s.workers[c.Worker]; ok {
			clear(w.failedJobs)
		}
	}
}

// handleStateChange handles a change of a worker's state: it starts or ends the
// quarantine and checks the jobs on the worker.
func (s *Sched) handleStateChange(w *worker, prev model.WorkerState, now time.Time) {
	state := w.model.State
	if state == prev {
		return
	}
	if state == model.WorkerQuarantine {
		w.probeInterval = s.opt.ProbeAfter
		w.nextProbe = now.Add(w.probeInterval)
		w.probing = false
		s.quarantined[w.model.Name] = true
		s.markFaulty(w)
	}
	if prev == model.WorkerQuarantine {
		delete(s.quarantined, w.model.Name)
		clear(w.failedJobs)
	}
	for _, j := range sortedJobs(s.jobsByWorker[w.model.Name]) {
		s.checkMemberWorkers(j, now)
	}
}

// markFaulty marks the worker as faulty for the jobs that failed there, so that
// those failures no longer count against them.
func (s *Sched) markFaulty(w *worker) {
	for id := range w.failedJobs {
		if j, ok := s.jobs[id]; ok {
			j.faultyWorkers = append(j.faultyWorkers, w.model.Name)
		}
	}
}

// checkMemberWorkers stops a gang that has a member on a lost worker, and a
// stoppable one that has a member on a draining worker. It cancels the claim of
// a gang if any of the workers isn't ready.
func (s *Sched) checkMemberWorkers(j *job, now time.Time) {
	if j.phase == claimed {
		if !s.allWorkersReady(j) {
			s.cancelClaim(j)
		}
		return
	}
	if s.hasLostMember(j) {
		s.unblockBinding(j)
		j.memberLost = true
		s.stopJob(j, now, false, memberLostReason)
		return
	}
	if j.Stoppable && s.onDrainingWorker(j) {
		s.stopJob(j, now, true, "a worker of the gang is being drained")
	}
}

func (s *Sched) allWorkersReady(j *job) bool {
	for _, c := range j.placement {
		w, ok := s.workers[c.Worker]
		if !ok || w.model.State != model.WorkerReady {
			return false
		}
	}
	return true
}

func (s *Sched) onDrainingWorker(j *job) bool {
	for _, c := range j.placement {
		if w, ok := s.workers[c.Worker]; ok && w.model.State == model.WorkerDraining {
			return true
		}
	}
	return false
}

// emitProbes issues the probes that are due.
func (s *Sched) emitProbes(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.quarantined)) {
		w := s.workers[name]
		if w.probing || now.Before(w.nextProbe) {
			continue
		}
		w.probing = true
		s.emit(Decision{Kind: Probe, Worker: name, Reason: "the worker is in quarantine and its probe is due"})
	}
}

// ProbeResult records the result of a probe. A worker that passed is released
// and gets work once the release is committed. One that failed is probed again
// after twice the previous interval.
func (s *Sched) ProbeResult(name string, ok bool, now time.Time) {
	w, known := s.workers[name]
	if !known || w.model.State != model.WorkerQuarantine {
		return
	}
	if ok {
		s.emit(Decision{Kind: Release, Worker: name, Reason: "the worker passed its probe"})
		return
	}
	w.probing = false
	w.probeInterval = min(2*w.probeInterval, s.opt.MaxProbeInterval)
	w.nextProbe = now.Add(w.probeInterval)
}
