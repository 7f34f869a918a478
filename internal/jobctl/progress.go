package jobctl

import (
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// observationOf returns a measurement of a run for the learner, which estimates worker
// speeds and task durations.
func observationOf(run activeRun, task string, outcome jobs.RunOutcome, took time.Duration) allot.Observation {
	id, _ := jobs.ParseTaskID(task) // can't fail: the leader created the name
	return allot.Observation{
		Worker: run.worker, Task: id, Queue: run.queue, Estimate: run.estimate, Outcome: outcome, Duration: took, DistanceFactor: run.slowdown, FromStart: run.fromStart, SingleWorker: run.singleWorker, Gang: run.gang,
	}
}

// updateProgress updates the estimates from the reported progress of runs. It marks
// stalled runs to be stopped, so that they start on another worker, and returns whether
// there are any. A report with the same listing as the one before says nothing new about
// them: the worker's answers may have been lost. The caller holds mu.
func (l *leader) updateProgress(previous, report *wire.HostReport, now time.Time) bool {
	newListing := previous != nil && (report.Listing == 0 || report.Listing != previous.Listing)
	var stalled []runKey
	for _, r := range report.Runs {
		k := runKey{r.Task, int(r.Run)}
		run, ok := l.runs[k]
		if !ok {
			if run, ok = l.adoptRun(report, k, now); !ok {
				continue
			}
		}
		if !run.begun {
			run.begun, run.begunAt = true, now
			l.noteBegun(run.job, now)
		}
		run.stallDetector = run.stallDetector.WithProgress(int(r.Percent), now)
		var updated bool
		if run.progressRate, updated = run.progressRate.WithProgress(int(r.Percent), report.Clock); updated {
			l.learner.LearnProgress(observationOf(run, r.Task, "", run.progressRate.Total()))
		}
		if newListing && run.stallDetector.Stalled(now) {
			stalled = append(stalled, k)
		}
		l.runs[k] = run
	}
	return l.judgeStalls(stalled, now)
}

// judgeStalls judges runs one by one and returns whether there are any to be stopped. The caller holds mu.
func (l *leader) judgeStalls(stalled []runKey, now time.Time) bool {
	defer l.cacheGangs()()
	replan := false
	for _, k := range stalled {
		if _, stopping := l.stopping[k]; stopping {
			continue
		}
		run := l.runs[k]
		replan = l.judgeStall(&run, k, now) || replan
		l.runs[k] = run
	}
	return replan
}

// noteBegun notes that a worker has begun a run of a job. It doesn't wake the leader: the next plan, which isn't far,
// records it. The caller holds mu.
func (l *leader) noteBegun(id string, now time.Time) {
	l.c.state.Read(func(v jobs.View) {
		if j, ok := v.Job(id); ok && j.Phase == jobs.Pending && !l.begunJobs[id] {
			l.begunJobs[id] = true
			l.c.metrics.timeToStart.RecordDuration(now.Sub(l.acceptedAt(j)))
			l.log.Info("job begun", zap.String("request", id), zap.String("queue", j.Queue), zap.Duration("after", now.Sub(l.acceptedAt(j))), zap.Uint64("term", l.term))
		}
	})
}

// adoptRun starts to track a run that an earlier leader started. For a rack-local step it
// waits until the racks of all its running tasks are known. The caller holds mu.
func (l *leader) adoptRun(report *wire.HostReport, k runKey, now time.Time) (activeRun, bool) {
	id, err := jobs.ParseTaskID(k.task)
	if err != nil {
		return activeRun{}, false
	}
	run := activeRun{}
	ok := false
	l.c.state.Read(func(v jobs.View) {
		j, known := v.Job(id.Job)
		if !known {
			return
		}
		o, started := j.Occurrences[id.Occur]
		if !started || id.Step >= len(j.Spec.Steps) || id.Index >= len(o.Steps[id.Step].Tasks) {
			return
		}
		t, st := o.Steps[id.Step].Tasks[id.Index], j.Spec.Steps[id.Step]
		worker := jobs.Worker{Name: report.Worker, StartedMs: report.Born}
		if t.Run != k.run || t.Worker != worker {
			return
		}
		run.startedAt, run.worker, run.queue, run.job, run.gang, run.startOrdered, run.slowdown = now, worker, j.Queue, j.ID, st.Gang, true, 1
		run.estimate = time.Duration(st.EstimateMs) * time.Millisecond
		if st.DataRack != "" && report.Rack != st.DataRack {
			run.slowdown = l.c.cfg.RemoteFactor
		}
		if st.RackLocal {
			racks, complete := l.countRacks(o.Steps[id.Step].Tasks)
			if !complete {
				return
			}
			if racks > 1 {
				run.slowdown = l.c.cfg.RemoteFactor
			}
		}
		run.stallDetector = allot.NewStallDetector(now, time.Duration(run.slowdown*float64(l.taskDuration(j, id.Step))))
		ok = true
	})
	return run, ok
}

// countRacks returns the number of racks on which tasks are running, and whether all of
// their workers have reported. The caller holds mu.
func (l *leader) countRacks(tasks []jobs.Task) (int, bool) {
	rackOf := map[jobs.Worker]string{}
	for _, h := range l.hosts {
		if h.report != nil {
			rackOf[h.worker] = h.report.Rack
		}
	}
	racks := map[string]bool{}
	for _, t := range tasks {
		if t.Worker.Zero() {
			continue
		}
		r, ok := rackOf[t.Worker]
		if !ok {
			return 0, false
		}
		racks[r] = true
	}
	return len(racks), true
}

// avoidWorker makes the scheduler prefer other workers for a job's tasks. The caller
// holds mu.
func (l *leader) avoidWorker(job string, w jobs.Worker) {
	if l.failedOn[job] == nil {
		l.failedOn[job] = map[jobs.Worker]bool{}
	}
	l.failedOn[job][w] = true
}
