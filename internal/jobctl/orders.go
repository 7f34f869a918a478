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
	// memberCheck is how often the leader drops old jobs and maintains the membership.
	memberCheck = 300 * time.Millisecond
	memberLimit = time.Second // for one change of the membership
	// orderAgain is how long the leader waits for the effect of an order before it
	// sends the order again. An agent repeats an order to its worker every 0.1 s, so
	// this is needed only for orders that the agent has lost.
	orderAgain = 2 * time.Second
	// keepFactor is for how many times the status setting an ended job is kept.
	keepFactor = 2
)

// order sends each agent the orders it doesn't have yet: runs to start, runs to stop
// and recorded ends.
func (l *lead) order() {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := 0
	l.c.state.Read(func(v jobs.View) {
		for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
			h := l.hosts[name]
			held, ok := v.Held(h.worker)
			if !ok {
				continue
			}
			runs += len(held.Runs)
			if h.out == nil || h.rep == nil || !h.rep.Listed {
				continue
			}
			if o := l.ordersFor(v, h, held); o != nil {
				l.send(h, o)
			}
		}
	})
	l.c.meters.runs.Update(float64(runs))
}

// ordersFor returns the orders to send to a host, nil if there are none. The caller
// holds mu.
func (l *lead) ordersFor(v jobs.View, h *host, held *jobs.Held) *wire.HostOrders {
	o := &wire.HostOrders{Seen: held.Seen}
	now := l.now()
	for _, task := range slices.Sorted(maps.Keys(held.Runs)) {
		run := held.Runs[task]
		k := runKey{task, run}
		if why := l.stopWhy(v, task, run); why != "" {
			if now.Sub(h.halted[k]) > orderAgain {
				h.halted[k] = now
				o.Stops = append(o.Stops, &wire.RunStop{Task: task, Run: uint32(run)})
				l.log.Info("stop ordered", zap.String("request", jobOf(task)), zap.String("task", task), zap.Int("run", run),
					zap.String("worker", h.worker.Name), zap.String("why", why), zap.Uint64("term", l.term))
			}
			continue
		}
		if at, sent := h.sent[k]; sent && (now.Sub(at) <= orderAgain || h.lists(k)) {
			continue
		}
		if st := l.startOrder(v, task, run); st != nil {
			h.sent[k] = now
			o.Starts = append(o.Starts, st)
		}
	}
	if len(o.Starts)+len(o.Stops) == 0 && held.Seen <= h.seen {
		return nil
	}
	h.seen = held.Seen
	over := func(k runKey, _ time.Time) bool { return held.Runs[k.task] != k.run }
	maps.DeleteFunc(h.sent, over)
	maps.DeleteFunc(h.halted, over)
	return o
}

// startOrder returns the order to start a run, nil if its job is unknown. The caller
// holds mu.
func (l *lead) startOrder(v jobs.View, task string, run int) *wire.RunStart {
	id, err := jobs.ParseTask(task)
	if err != nil {
		return nil
	}
	j, ok := v.Job(id.Job)
	if !ok {
		return nil
	}
	r := &j.Occurs[id.Occur].Steps[id.Step]
	saved := r.Tasks[id.Index].Saved
	if j.Spec.Steps[id.Step].Gang {
		saved = r.Saved
	}
	key := runKey{task, run}
	b, own := l.runs[key]
	fresh := own && !b.sent
	if own {
		b.sent = true
		l.runs[key] = b
	}
	return &wire.RunStart{Task: task, Run: uint32(run), Spec: j.Spec.Text, Saved: saved, Fresh: fresh}
}

// stopWhy returns the reason why a run has to be stopped, or "". The caller holds mu.
func (l *lead) stopWhy(v jobs.View, task string, run int) string {
	id, err := jobs.ParseTask(task)
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
	st, r := j.Spec.Steps[id.Step], &j.Occurs[id.Occur].Steps[id.Step]
	if !st.Gang || r.Done == st.Count {
		return ""
	}
	for i := range r.Tasks {
		other := jobs.TaskID{Job: id.Job, Occur: id.Occur, Step: id.Step, Index: i}.String()
		if _, ok := l.stopping[runKey{other, run}]; ok {
			return "another member makes room"
		}
		if r.Tasks[i].Run == run && r.Tasks[i].On.Zero() {
			return "another member ended"
		}
	}
	return ""
}

// tidy drops old jobs and maintains the membership.
func (l *lead) tidy(ctx context.Context) {
	now := l.now()
	if now.Sub(l.members) < memberCheck {
		return
	}
	l.members = now
	if drop := l.stale(now); len(drop) > 0 {
		if _, err := l.propose(ctx, jobs.Command{Drop: drop}); err != nil {
			l.log.Warn("ended jobs could not be dropped", zap.Error(err))
		}
	}
	ctx, cancel := context.WithTimeout(ctx, memberLimit)
	defer cancel()
	l.tendMembers(ctx, now)
}

// stale returns the jobs whose retention time after their end is over. It also logs
// jobs whose end it notices for the first time.
func (l *lead) stale(now time.Time) []string {
	keep := keepFactor * time.Duration(l.c.cfg.StatusS) * time.Second
	var drop []string
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.state.Read(func(v jobs.View) {
		for j := range v.Jobs() {
			if !j.Phase.Ended() {
				continue
			}
			at, seen := l.ended[j.ID]
			if !seen {
				l.ended[j.ID] = now
				l.c.meters.toEnd.RecordDuration(now.Sub(l.acceptedAt(j)))
				l.log.Info("job ended", zap.String("request", j.ID), zap.String("queue", j.Queue), zap.String("outcome", string(j.Phase)),
					zap.Duration("after", now.Sub(l.acceptedAt(j))), zap.Uint64("term", l.term))
			} else if now.Sub(at) > keep {
				drop = append(drop, j.ID)
			}
		}
	})
	for _, id := range drop {
		delete(l.ended, id)
		delete(l.born, id)
		delete(l.idle, id)
		delete(l.failedOn, id)
		delete(l.rulings, id)
		l.learner.ForgetJob(id)
		maps.DeleteFunc(l.ready, func(step jobs.TaskID, _ time.Time) bool { return step.Job == id })
		maps.DeleteFunc(l.short, func(step jobs.TaskID, _ shortage) bool { return step.Job == id })
	}
	return drop
}

// tendMembers makes at most one change of the membership. It removes a learner that
// blocks another successor, promotes a learner, or adds a replica that has announced
// itself: one that lost its data directory replaces its old incarnation, any other is
// added while there are too few voters or replaces a voter that is gone.
func (l *lead) tendMembers(ctx context.Context, now time.Time) {
	node := l.c.node
	st := node.Status()
	voters, listed := 0, ""
	for _, m := range st.Members {
		listed += fmt.Sprintf("%s/%s/%s ", m.Name, m.Incarnation, m.Role)
		if m.Role == replog.Voter {
			voters++
		}
	}
	if listed != l.listed {
		l.listed = listed
		l.log.Info("membership", zap.Uint64("term", l.term), zap.Int("voters", voters), zap.Int("members", len(st.Members)), zap.String("list", listed))
	}
	if m, ok := l.rule.Dropped(st, now); ok {
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
	for _, a := range st.Waiting {
		l.c.meet(a.Name)
		taken, err := l.takeIn(ctx, st, a, voters, now)
		if err != nil {
			l.log.Info("replica could not be added", zap.String("name", a.Name), zap.Error(err))
		}
		if taken || err != nil {
			return // at most one change of the membership at a time
		}
	}
}

// takeIn adds a replica that has announced itself if the membership needs it, and
// returns whether it tried to.
func (l *lead) takeIn(ctx context.Context, st replog.Status, a replog.Announced, voters int, now time.Time) (bool, error) {
	replaced := func(inc string) bool {
		return slices.ContainsFunc(st.Members, func(m replog.Member) bool { return m.Replaces == inc })
	}
	for _, m := range st.Members {
		if m.Name == a.Name {
			if replaced(m.Incarnation) {
				return false, nil
			}
			l.log.Warn("replica lost its folder", zap.String("name", a.Name), zap.String("incarnation", m.Incarnation),
				zap.String("next", a.Incarnation))
			return true, l.c.node.Replace(ctx, m.Incarnation, a.Name)
		}
	}
	if voters < 2*l.c.cfg.Losses+1 {
		l.log.Info("replica is added as a learner", zap.String("name", a.Name), zap.String("incarnation", a.Incarnation))
		return true, l.c.node.AddLearner(ctx, a.Name)
	}
	s, ok := l.rule.Successor(st, now)
	if !ok || s.By != a {
		return false, nil
	}
	l.log.Warn("replica replaced", zap.String("name", s.Old.Name), zap.String("by", a.Name), zap.Duration("silent", s.Silent),
		zap.Bool("leaving", s.Old.Leaving), zap.Duration("waited", now.Sub(a.Since)))
	return true, l.c.node.Replace(ctx, s.Old.Incarnation, a.Name)
}
