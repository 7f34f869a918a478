package jobctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	// maintenanceInterval is how often the leader drops old jobs and maintains the
	// membership.
	maintenanceInterval = 300 * time.Millisecond
	membershipTimeout   = time.Second // for one change of the membership
	// orderRetryInterval is how long the leader waits for the effect of an order before
	// it sends the order again. An agent repeats an order to its worker every 0.1 s, so
	// this is needed only for orders that the agent has lost.
	orderRetryInterval = 2 * time.Second
	// retentionFactor is how long an ended job is kept, in multiples of the time for
	// which its status can be read.
	retentionFactor = 2
)

// sendOrders sends each agent the orders it doesn't have yet: runs to start, runs to stop
// and recorded ends.
func (l *leader) sendOrders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.cacheGangs()()
	runs, evacuated := 0, 0
	l.c.state.Read(func(v jobs.View) {
		l.c.metrics.domainsEvacuated.Update(float64(len(v.Evacuations())))
		unassigned := l.unassignedRuns(v)
		for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
			h := l.hosts[name]
			changed := l.noteEvacuation(v, h)
			if h.evacuated {
				evacuated++
			}
			record, ok := v.WorkerRecord(h.worker)
			if !ok {
				record = &jobs.WorkerRecord{}
			}
			runs += len(record.Runs)
			if h.orders == nil || h.report == nil || !h.report.Listed {
				continue
			}
			messages := l.ordersFor(v, h, record, unassigned[name])
			if changed && len(messages) == 0 {
				messages = []*wire.HostOrders{{Seen: record.LastRecordedEnd}}
			}
			for _, o := range messages {
				l.queueOrders(h, o)
			}
		}
	})
	l.c.metrics.runs.Update(float64(runs))
	l.c.metrics.hostsEvacuated.Update(float64(evacuated))
}

// ordersFor returns the messages with orders to send to a host. Besides the runs in the worker's record it takes those
// to be stopped that aren't. Starts that would fill the host's queue wait for a later call. The caller holds mu.
func (l *leader) ordersFor(v jobs.View, h *host, record *jobs.WorkerRecord, unassigned runsToStop) []*wire.HostOrders {
	batch := newOrderBatch(record.LastRecordedEnd, len(h.orders))
	now := l.now()
	for _, k := range unassigned.sorted() {
		if st := l.stopOrder(h, k, unassigned[k], now); st != nil {
			batch.addStop(st)
		}
	}
	var due []runKey // to be started
	gone := h.runsReportedGone()
	for _, task := range slices.Sorted(maps.Keys(record.Runs)) {
		run := record.Runs[task]
		k := runKey{task, run}
		if gone[k] {
			continue // its end is about to be recorded, and its task to get another run
		}
		if reason := l.stopReason(v, task, run); reason != "" {
			if st := l.stopOrder(h, k, reason, now); st != nil {
				batch.addStop(st)
			}
			continue
		}
		at, sent := h.startsSent[k]
		if sent && (now.Sub(at) <= orderRetryInterval || h.listsRun(k)) {
			continue
		}
		if h.evacuated {
			for _, st := range l.withdrawStart(h, k, sent, now) {
				batch.addStop(st)
			}
			continue
		}
		due = append(due, k)
	}
	takeTurns(due)
	for _, k := range due {
		if batch.full() {
			break
		}
		if st := l.startOrder(v, k.task, k.run); st != nil {
			h.startsSent[k] = now
			batch.addStart(st)
		}
	}
	if batch.empty() && record.LastRecordedEnd <= h.endsAcked {
		return nil
	}
	h.endsAcked = record.LastRecordedEnd
	ended := func(k runKey, _ time.Time) bool { return record.Runs[k.task] != k.run && unassigned[k] == "" }
	maps.DeleteFunc(h.startsSent, ended)
	maps.DeleteFunc(h.stopsSent, ended)
	return batch.messages
}

// stopOrder returns the order to stop a run, nil if it was sent a short while ago. The caller holds mu.
func (l *leader) stopOrder(h *host, k runKey, reason string, now time.Time) *wire.RunStop {
	if now.Sub(h.stopsSent[k]) <= orderRetryInterval {
		return nil
	}
	h.stopsSent[k] = now
	l.log.Info("stop ordered", zap.String("request", jobOf(k.task)), zap.String("task", k.task), zap.Int("run", k.run),
		zap.String("worker", h.worker.Name), zap.String("why", reason), zap.Uint64("term", l.term))
	return &wire.RunStop{Task: k.task, Run: uint32(k.run)}
}

// startOrder returns the order to start a run, nil if its job is unknown. The caller
// holds mu.
func (l *leader) startOrder(v jobs.View, task string, run int) *wire.RunStart {
	id, err := jobs.ParseTaskID(task)
	if err != nil {
		return nil
	}
	j, ok := v.Job(id.Job)
	if !ok {
		return nil
	}
	record := &j.Occurrences[id.Occur].Steps[id.Step]
	checkpoint := record.Tasks[id.Index].Checkpoint
	if j.Spec.Steps[id.Step].Gang {
		checkpoint = record.GangCheckpoint
	}
	key := runKey{task, run}
	active, tracked := l.runs[key]
	firstOrder := tracked && !active.startOrdered
	if tracked {
		active.startOrdered = true
		l.runs[key] = active
	}
	return &wire.RunStart{Task: task, Run: uint32(run), Spec: j.Spec.Text, Saved: checkpoint, Fresh: firstOrder}
}

// stopReason returns the reason why a run has to be stopped, or "". The caller holds mu.
func (l *leader) stopReason(v jobs.View, task string, run int) string {
	id, err := jobs.ParseTaskID(task)
	if err != nil {
		return "unreadable name"
	}
	j, ok := v.Job(id.Job)
	if !ok {
		return "no such job"
	}
	if j.Phase == jobs.Canceled || j.Phase == jobs.Failed {
		return string(j.Phase)
	}
	if forJob, ok := l.stopping[runKey{task, run}]; ok {
		return "makes room for " + forJob
	}
	r, ok := j.StepRecord(id)
	if !ok {
		return "no such run"
	}
	st := j.Spec.Steps[id.Step]
	if !st.Gang || r.TasksDone == st.Count {
		return ""
	}
	return l.gangStopReason(id, run, r)
}

// maintain drops old jobs and maintains the membership.
func (l *leader) maintain(ctx context.Context) {
	now := l.now()
	if now.Sub(l.lastMaintenance) < maintenanceInterval {
		return
	}
	l.lastMaintenance = now
	if expired := l.expiredJobs(now); len(expired) > 0 {
		if _, err := l.propose(ctx, jobs.Command{DropJobs: expired}); err != nil {
			l.log.Warn("ended jobs could not be dropped", zap.Error(err))
		}
	}
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	l.maintainMembers(ctx, now)
}

// expiredJobs returns the jobs whose retention time after their end is over. It also logs
// jobs whose end it notices for the first time.
func (l *leader) expiredJobs(now time.Time) []string {
	retention := retentionFactor * time.Duration(l.c.cfg.StatusRetentionS) * time.Second
	var expired []string
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextDropAt = time.Time{}
	l.c.state.Read(func(v jobs.View) {
		_, stored := v.Stored("")
		l.c.metrics.storedBytes.Update(float64(stored))
		for j := range v.Jobs() {
			if !j.Phase.Ended() {
				continue
			}
			at, seen := l.endTimes[j.ID]
			if !seen {
				l.endTimes[j.ID] = now
				l.c.metrics.timeToEnd.RecordDuration(now.Sub(l.acceptedAt(j)))
				l.log.Info("job ended", zap.String("request", j.ID), zap.String("queue", j.Queue), zap.String("outcome", string(j.Phase)),
					zap.Duration("after", now.Sub(l.acceptedAt(j))), zap.Uint64("term", l.term))
				at = now
			} else if now.Sub(at) > retention {
				expired = append(expired, j.ID)
				continue
			}
			if dropAt := at.Add(retention); l.nextDropAt.IsZero() || dropAt.Before(l.nextDropAt) {
				l.nextDropAt = dropAt
			}
		}
	})
	l.forgetSteps(expired)
	for _, id := range expired {
		delete(l.endTimes, id)
		delete(l.acceptTimes, id)
		delete(l.idleTimes, id)
		delete(l.failedOn, id)
		delete(l.loggedVerdicts, id)
		l.learner.ForgetJob(id)
	}
	return expired
}

// forgetSteps forgets the steps of expired jobs, and those of finished occurrences. The caller holds mu.
func (l *leader) forgetSteps(expired []string) {
	isExpired := make(map[string]bool, len(expired))
	for _, id := range expired {
		isExpired[id] = true
	}
	l.c.state.Read(func(v jobs.View) {
		over := func(step jobs.TaskID) bool {
			j, ok := v.Job(step.Job)
			return isExpired[step.Job] || ok && j.OccurrenceFinished(step.Occur)
		}
		maps.DeleteFunc(l.readyTimes, func(step jobs.TaskID, _ time.Time) bool { return over(step) })
		maps.DeleteFunc(l.shortages, func(step jobs.TaskID, _ shortage) bool { return over(step) })
	})
}

// maintainMembers makes at most one change of the membership. It removes a learner that
// blocks another successor, promotes a learner, or adds a replica that has announced
// itself: one that lost its data directory replaces its old incarnation, any other is
// added while there are too few voters or replaces a voter that is gone.
func (l *leader) maintainMembers(ctx context.Context, now time.Time) {
	node := l.c.node
	st := node.Status()
	voters, memberList := 0, ""
	for _, m := range st.Members {
		memberList += fmt.Sprintf("%s/%s/%s ", m.Name, m.Incarnation, m.Role)
		if m.Role == replog.Voter {
			voters++
		}
	}
	if memberList != l.loggedMembers {
		l.loggedMembers = memberList
		l.log.Info("membership", zap.Uint64("term", l.term), zap.Int("voters", voters), zap.Int("members", len(st.Members)), zap.String("list", memberList))
	}
	if m, ok := l.replacementPolicy.LearnerToRemove(st, now); ok {
		err := node.Remove(ctx, m.Incarnation)
		l.log.Warn("learner removed before it became a voter", zap.String("name", m.Name), zap.String("incarnation", m.Incarnation), zap.Error(err))
		return
	}
	for _, m := range st.Members {
		if m.Role == replog.Learner && m.Replaces == "" {
			if err := node.Promote(ctx, m.Incarnation); err == nil {
				l.log.Info("replica votes", zap.String("name", m.Name), zap.String("incarnation", m.Incarnation))
			}
			return
		}
	}
	for _, waiting := range st.WaitingReplicas {
		l.c.addPeer(waiting.Name)
		changed, err := l.addReplica(ctx, st, waiting, voters, now)
		if err != nil {
			l.log.Info("replica could not be added", zap.String("name", waiting.Name), zap.Error(err))
		}
		if changed || err != nil {
			return // at most one change of the membership at a time
		}
	}
}

// addReplica adds a replica that has announced itself if the membership needs it, and
// returns whether it tried to.
func (l *leader) addReplica(ctx context.Context, st replog.Status, waiting replog.WaitingReplica, voters int, now time.Time) (bool, error) {
	isReplaced := func(incarnation string) bool {
		return slices.ContainsFunc(st.Members, func(m replog.Member) bool { return m.Replaces == incarnation })
	}
	for _, m := range st.Members {
		if m.Name == waiting.Name {
			if isReplaced(m.Incarnation) {
				return false, nil
			}
			l.log.Warn("replica lost its folder", zap.String("name", waiting.Name), zap.String("incarnation", m.Incarnation),
				zap.String("next", waiting.Incarnation))
			return true, l.c.node.Replace(ctx, m.Incarnation, waiting.Name)
		}
	}
	if voters < 2*l.c.cfg.MaxLosses+1 {
		l.log.Info("replica is added as a learner", zap.String("name", waiting.Name), zap.String("incarnation", waiting.Incarnation))
		return true, l.c.node.AddLearner(ctx, waiting.Name)
	}
	r, ok := l.replacementPolicy.NextReplacement(st, now)
	if !ok || r.NewReplica != waiting {
		return false, nil
	}
	l.log.Warn("replica replaced", zap.String("name", r.OldVoter.Name), zap.String("by", waiting.Name), zap.Duration("silent", r.SilentFor),
		zap.Bool("leaving", r.OldVoter.Leaving), zap.Duration("waited", now.Sub(waiting.WaitingSince)))
	return true, l.c.node.Replace(ctx, r.OldVoter.Incarnation, waiting.Name)
}
