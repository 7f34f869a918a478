package jobctl

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Orders reach a worker by its name. If it restarts under the same name, an order for the earlier
// incarnation may be executed by the current one, even seconds later. A run of the earlier incarnation
// therefore counts as ended only when the current one has been told to stop it, and has reported that
// it isn't there or that it has ended.

// runsToStop holds the runs that have to be stopped on a worker although they aren't recorded for it,
// with the reason.
type runsToStop map[runKey]string

const (
	earlierIncarnationReason = "ordered to an earlier incarnation"
	unassignedReason         = "not assigned to this worker"
)

// sorted returns the runs in a fixed order.
func (r runsToStop) sorted() []runKey {
	return slices.SortedFunc(maps.Keys(r), func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.task, b.task), a.run-b.run)
	})
}

// isEarlier reports whether w is an earlier incarnation of the worker on a host.
func (h *host) isEarlier(w jobs.Worker) bool {
	return h.worker.Name == w.Name && h.worker != w
}

// unassignedRuns returns, by host name, the runs that aren't recorded for the worker there: those of its
// earlier incarnations, and those that it lists without a record. The caller holds mu.
func (l *leader) unassignedRuns(v jobs.View) map[string]runsToStop {
	unassigned := map[string]runsToStop{}
	add := func(h *host, k runKey, reason string) {
		if unassigned[h.name] == nil {
			unassigned[h.name] = runsToStop{}
		}
		unassigned[h.name][k] = reason
	}
	for _, h := range l.hosts {
		if h.report == nil || !h.report.Listed {
			continue
		}
		record, ok := v.WorkerRecord(h.worker)
		for _, r := range h.report.Runs {
			if k := (runKey{r.Task, int(r.Run)}); !ok || record.Runs[k.task] != k.run {
				add(h, k, unassignedReason)
			}
		}
	}
	for w, record := range v.Workers() {
		h, ok := l.hosts[record.Host]
		if !ok || h.report == nil || !h.report.Listed || !h.isEarlier(w) {
			continue
		}
		for task, run := range record.Runs {
			add(h, runKey{task, run}, earlierIncarnationReason)
		}
	}
	return unassigned
}

// unassignedPlanRun returns the planner's description of a run that isn't recorded for its worker: it takes
// up resources until it has been stopped. It returns false if the task is unknown.
func unassignedPlanRun(v jobs.View, k runKey) (allot.Run, bool) {
	id, err := jobs.ParseTaskID(k.task)
	if err != nil {
		return allot.Run{}, false
	}
	j, ok := v.Job(id.Job)
	if !ok {
		return allot.Run{}, false
	}
	if !j.HasTask(id) {
		return allot.Run{}, false
	}
	return allot.Run{Task: id, Run: k.run, Resources: taskResources(j.Spec.Steps[id.Step]), Priority: j.Priority, Stopping: true}, true
}

// recordedFor returns the incarnation for which a run that h.worker has reported on is recorded:
// h.worker, or an earlier incarnation of it.
func (h *host) recordedFor(v jobs.View, k runKey) jobs.Worker {
	if record, ok := v.WorkerRecord(h.worker); ok && record.Runs[k.task] == k.run {
		return h.worker
	}
	id, err := jobs.ParseTaskID(k.task)
	if err != nil {
		return h.worker
	}
	j, ok := v.Job(id.Job)
	if !ok {
		return h.worker
	}
	t, ok := j.Task(id)
	if !ok || t.Run != k.run || !h.isEarlier(t.Worker) {
		return h.worker
	}
	if record, ok := v.WorkerRecord(t.Worker); ok && record.Host == h.name {
		return t.Worker
	}
	return h.worker
}

// endsOfEarlierIncarnations returns the ends among those of a host's worker whose runs are recorded for
// an earlier incarnation, as ends of that one. Its own numbers are no longer in use, so these ends
// continue them.
func (h *host) endsOfEarlierIncarnations(v jobs.View, ends []jobs.RunEnd) []jobs.RunEnds {
	byWorker := map[jobs.Worker][]jobs.RunEnd{}
	for _, end := range ends {
		w := h.recordedFor(v, runKey{end.Task, end.Run})
		if w == h.worker {
			continue
		}
		record, _ := v.WorkerRecord(w) // recordedFor has found it
		end.Number = record.LastRecordedEnd + uint64(len(byWorker[w])) + 1
		byWorker[w] = append(byWorker[w], end)
	}
	var list []jobs.RunEnds
	for _, w := range slices.SortedFunc(maps.Keys(byWorker), func(a, b jobs.Worker) int { return cmp.Compare(a.StartedMs, b.StartedMs) }) {
		list = append(list, jobs.RunEnds{Worker: w, Host: h.name, Ends: byWorker[w]})
	}
	return list
}

// noteIncarnation sets when the leases that the worker of a report may have from orders for an earlier
// incarnation have ended for certain. The caller holds mu and has not stored the worker yet.
func (l *leader) noteIncarnation(h *host, w jobs.Worker, now time.Time) {
	restarted := h.worker.Name == w.Name && h.worker != w
	l.c.state.Read(func(v jobs.View) {
		for earlier, record := range v.Workers() {
			restarted = restarted || record.Host == h.name && earlier.Name == w.Name && earlier != w
		}
	})
	if restarted {
		terms := l.c.cfg.leaseTerms()
		h.earlierLeaseEnd = terms.CertainEnd(now, terms.RenewalTimeout)
	}
}

// certainLeaseEnd returns when the runs of a worker have ended for certain if nothing more is heard of
// it. Those of an earlier incarnation may run under the lease of the current one. The caller holds mu.
func (l *leader) certainLeaseEnd(w jobs.Worker, record *jobs.WorkerRecord) time.Time {
	end := l.leaseEnds[w]
	h, ok := l.hosts[record.Host]
	if !ok || h.worker.Name != w.Name {
		return end
	}
	for _, other := range []time.Time{h.earlierLeaseEnd, l.leaseEnds[h.worker]} {
		if other.After(end) {
			end = other
		}
	}
	return end
}
