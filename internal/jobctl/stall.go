package jobctl

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// gangPatience is how long the members of a gang wait for one that hasn't begun before the gang is stopped. An agent
// sends an order that isn't answered three times within it, and it is shorter than the time after which workers end the
// members that wait.
const gangPatience = 2500 * time.Millisecond

const (
	// stalledReason is used instead of a job id as the reason for stopping a stalled run.
	stalledReason = "nothing: it stands still"
	// unbegunReason is that for stopping a gang of which a member hasn't begun.
	unbegunReason = "nothing: the others wait for it"
)

// judgeStall handles a run that has made no progress for too long. Only a run that could have made some stands still: one
// that is being stopped, or whose gang isn't complete, says nothing about its worker. It marks runs to be stopped and
// returns whether there are any. The caller holds mu.
func (l *leader) judgeStall(run *activeRun, k runKey, now time.Time) bool {
	stopping, gang := false, gangProgress{}
	l.c.state.Read(func(v jobs.View) {
		if stopping = l.stopReason(v, k.task, k.run) != ""; !stopping && run.gang {
			gang = l.gangBegun(v, k)
		}
	})
	switch {
	case stopping:
		return false
	case len(gang.missing) > 0 && now.Sub(run.startedAt) < gangPatience:
		return false
	case len(gang.missing) > 0:
		l.stopForUnbegun(run.job, gang.missing, now)
		return true
	}
	if run.stallDetector = run.stallDetector.WithLaterStart(run.begunAt).WithLaterStart(gang.completeAt); !run.stallDetector.Stalled(now) {
		return false
	}
	l.stopping[k] = stalledReason
	l.gangs.forget()
	l.learner.Stalled(run.worker, now)
	l.avoidWorker(run.job, run.worker)
	l.log.Warn("run stands still", zap.String("request", run.job), zap.String("task", k.task), zap.Int("run", k.run),
		zap.String("worker", run.worker.Name), zap.Int("percent", run.stallDetector.Percent()), zap.Duration("after", now.Sub(run.startedAt)), zap.Uint64("term", l.term))
	return true
}

// gangProgress tells which members of a gang's run haven't begun, and when the last of the others has.
type gangProgress struct {
	missing    []runKey
	completeAt time.Time
}

// gangBegun returns the progress of a run's gang. The caller holds mu.
func (l *leader) gangBegun(v jobs.View, k runKey) gangProgress {
	id, err := jobs.ParseTaskID(k.task)
	if err != nil {
		return gangProgress{}
	}
	j, ok := v.Job(id.Job)
	if !ok {
		return gangProgress{}
	}
	record, ok := j.StepRecord(id)
	if !ok {
		return gangProgress{}
	}
	id.Index = 0
	if l.gangs != nil {
		if p, ok := l.gangs.progress[gangRun{id, k.run}]; ok {
			return p
		}
	}
	p := gangProgress{}
	prefix := id.StepName() + "."
	for i, t := range record.Tasks {
		if t.Run != k.run || t.Worker.Zero() {
			continue
		}
		member := runKey{prefix + strconv.Itoa(i), k.run}
		switch other, ok := l.runs[member]; {
		case !ok || !other.begun:
			p.missing = append(p.missing, member)
		case other.begunAt.After(p.completeAt):
			p.completeAt = other.begunAt
		}
	}
	if l.gangs != nil {
		l.gangs.progress[gangRun{id, k.run}] = p
	}
	return p
}

// stopForUnbegun marks the members of a gang that haven't begun to be stopped, which ends the others too. The job's
// next start avoids their workers. The caller holds mu.
func (l *leader) stopForUnbegun(job string, missing []runKey, now time.Time) {
	l.gangs.forget()
	for _, k := range missing {
		l.stopping[k] = unbegunReason
		run, ok := l.runs[k]
		if !ok {
			continue
		}
		l.avoidWorker(job, run.worker)
		l.log.Warn("gang waits for a run", zap.String("request", job), zap.String("task", k.task), zap.Int("run", k.run),
			zap.String("worker", run.worker.Name), zap.Duration("after", now.Sub(run.startedAt)), zap.Uint64("term", l.term))
	}
}
