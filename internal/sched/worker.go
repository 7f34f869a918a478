package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// elsewhere is the number of other workers that a job must have failed on for
// its failures to be attributed to the job.
const elsewhere = 2

const lostReason = "a worker of the gang is lost"

// worker is a worker with its failure history.
type worker struct {
	model    model.Worker
	blamedBy map[string]bool // jobs that failed here since a job last succeeded here
	probeAt  time.Time       // when the next probe is due, while in quarantine
	wait     time.Duration   // time between the last two probes
	probing  bool
}

func newWorker() *worker { return &worker{blamedBy: make(map[string]bool)} }

// chargeAll records the failures of a committed job that follow the known ones
// with the workers that it failed on.
func (s *Sched) chargeAll(m model.Job, known []string, now time.Time) {
	for i := len(known); i < len(m.FailedOn); i++ {
		w, ok := s.workers[m.FailedOn[i]]
		if !ok {
			continue
		}
		w.blamedBy[m.ID] = true
		s.judgeWorker(w, now)
	}
}

// judgeWorker quarantines a worker that many different jobs failed on. A job that
// also fails on other workers doesn't count: it more likely causes the failure
// itself.
func (s *Sched) judgeWorker(w *worker, now time.Time) {
	if w.model.State != model.WorkerReady {
		return
	}
	count := 0
	for id := range w.blamedBy {
		j, ok := s.jobs[id]
		if !ok || s.failedWorkers(j, w.model.Name) < elsewhere {
			count++
		}
	}
	if count < s.opt.WorkerJobs {
		return
	}
	reason := fmt.Sprintf("%d different jobs failed on worker %s since its last success", count, w.model.Name)
	s.emit(Decision{Kind: Quarantine, Worker: w.model.Name, Reason: reason})
	s.SetWorker(w.model.WithState(model.WorkerQuarantine), now)
}

// blame counts the healthy workers that the job has failed on: those that are not
// in quarantine and that no other job failed on.
func (s *Sched) blame(j *job) int {
	seen := make(map[string]bool, len(j.FailedOn))
	for _, name := range j.FailedOn {
		if !j.avoids(name) {
			continue
		}
		w, ok := s.workers[name]
		if !ok || w.model.State == model.WorkerQuarantine {
			continue
		}
		if len(w.blamedBy) <= 1 {
			seen[name] = true
		}
	}
	return len(seen)
}

// judgeJob fails a job that has failed on several healthy workers, or on so many
// workers that their health no longer matters. It reports whether the job fails.
func (s *Sched) judgeJob(j *job) bool {
	if j.failing || len(j.FailedOn) < s.opt.JobWorkers {
		return j.failing
	}
	healthy, all := s.blame(j), s.failedWorkers(j, "")
	if healthy < s.opt.JobWorkers && all < 2*s.opt.JobWorkers {
		return false
	}
	s.fail(j, fmt.Sprintf("failed on %d workers, %d of which run other jobs well: %v", all, healthy, j.FailedOn))
	return true
}

// failedWorkers counts the workers outside of quarantine that the job has failed
// on, without the worker named but.
func (s *Sched) failedWorkers(j *job, but string) int {
	seen := make(map[string]bool, len(j.FailedOn))
	for _, name := range j.FailedOn {
		w, ok := s.workers[name]
		if ok && name != but && j.avoids(name) && w.model.State != model.WorkerQuarantine {
			seen[name] = true
		}
	}
	return len(seen)
}

// fail removes a queued job from the queue and issues the decision to fail it.
func (s *Sched) fail(j *job, reason string) {
	s.team(j.Team).queue.Delete(j)
	s.lift(j)
	j.failing = true
	s.emit(Decision{Kind: Fail, Job: j.ID, Reason: reason})
}

// absolve removes a job that was failed from the failure history of the workers
// that it failed on, as the failures are attributed to the job.
func (s *Sched) absolve(m model.Job) {
	for _, name := range m.FailedOn {
		if w, ok := s.workers[name]; ok {
			delete(w.blamedBy, m.ID)
		}
	}
}

// clearFailures clears the failure history of workers on which a job has
// succeeded.
func (s *Sched) clearFailures(cells []place.Cell) {
	for _, c := range cells {
		if w, ok := s.workers[c.Worker]; ok {
			clear(w.blamedBy)
		}
	}
}

// watchState handles a change of a worker's state: it starts or ends the
// quarantine and checks the jobs on the worker.
func (s *Sched) watchState(w *worker, was model.WorkerState, now time.Time) {
	state := w.model.State
	if state == was {
		return
	}
	if state == model.WorkerQuarantine {
		w.wait = s.opt.ProbeAfter
		w.probeAt = now.Add(w.wait)
		w.probing = false
		s.sick[w.model.Name] = true
		s.withdrawCharges(w)
	}
	if was == model.WorkerQuarantine {
		delete(s.sick, w.model.Name)
		clear(w.blamedBy)
	}
	for _, j := range sortedJobs(s.on[w.model.Name]) {
		s.checkMembers(j, now)
	}
}

// withdrawCharges marks the worker as faulty for the jobs that failed there, so
// that those failures no longer count against them.
func (s *Sched) withdrawCharges(w *worker) {
	for id := range w.blamedBy {
		if j, ok := s.jobs[id]; ok {
			j.uncharged = append(j.uncharged, w.model.Name)
		}
	}
}

// checkMembers stops a gang that has a member on a lost worker, and a stoppable
// one that has a member on a draining worker. It cancels the claim of a gang if
// any of the workers isn't ready.
func (s *Sched) checkMembers(j *job, now time.Time) {
	if j.phase == claimed {
		if !s.allReady(j) {
			s.unclaim(j)
		}
		return
	}
	if s.dying(j) {
		s.dropFirm(j)
		j.lost = true
		s.stop(j, now, false, lostReason)
		return
	}
	if j.Stoppable && s.draining(j) {
		s.stop(j, now, true, "a worker of the gang is being drained")
	}
}

func (s *Sched) allReady(j *job) bool {
	for _, c := range j.cells {
		w, ok := s.workers[c.Worker]
		if !ok || w.model.State != model.WorkerReady {
			return false
		}
	}
	return true
}

func (s *Sched) draining(j *job) bool {
	for _, c := range j.cells {
		if w, ok := s.workers[c.Worker]; ok && w.model.State == model.WorkerDraining {
			return true
		}
	}
	return false
}

// probes issues the probes that are due.
func (s *Sched) probes(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.sick)) {
		w := s.workers[name]
		if w.probing || now.Before(w.probeAt) {
			continue
		}
		w.probing = true
		s.emit(Decision{Kind: Probe, Worker: name, Reason: "the worker is in quarantine and its probe is due"})
	}
}

// ProbeResult records the result of a probe. A worker that passed is released and
// gets work once the release is committed. One that failed is probed again after
// twice the previous interval.
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
	w.wait = min(2*w.wait, s.opt.ProbeMax)
	w.probeAt = now.Add(w.wait)
}
