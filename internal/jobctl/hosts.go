package jobctl

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	// quiet is the age of the last report from which a worker gets no new tasks.
	// Reports come twice a second, so one lost report is tolerated.
	quiet = 1200 * time.Millisecond
	// overdue is the age of the last report from which other workers are preferred:
	// the host may be partitioned, and a task started there would be blocked until
	// the lease ends.
	overdue = 650 * time.Millisecond
	// maxOrders is how many orders may be queued for one agent before its stream is
	// closed.
	maxOrders = 256
)

// host is the leader's state of an agent and the worker on the same host.
type host struct {
	name   string
	out    chan *wire.HostOrders // queue of the stream in use, nil if there is none
	rep    *wire.HostReport      // latest report on this stream
	heard  time.Time             // when rep arrived
	worker jobs.Worker
	gone   []jobs.RunGone       // reported and not committed yet
	sent   map[runKey]time.Time // when starts were ordered on this stream
	halted map[runKey]time.Time // when stops were ordered on this stream
	seen   uint64               // ends up to this number were acknowledged on this stream
}

// hostDump is the state of a host in a dump.
type hostDump struct {
	Name   string      `json:"name"`
	Worker jobs.Worker `json:"worker"`
	Heard  time.Time   `json:"heard"`
	Sent   int         `json:"sent"`
}

func (l *lead) dump() []hostDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []hostDump
	for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
		h := l.hosts[name]
		list = append(list, hostDump{Name: name, Worker: h.worker, Heard: h.heard, Sent: len(h.sent)})
	}
	return list
}

// handleAttend serves the stream of an agent: it receives reports and sends orders.
func (c *Control) handleAttend(ctx context.Context, _ *wire.Call, st *wire.Stream) error {
	l := c.leading()
	if l == nil {
		return errNotLeading
	}
	_ = st.SetDeadline(time.Time{})
	out := make(chan *wire.HostOrders, maxOrders)
	name := st.Peer().Name
	l.attach(name, out)
	l.log.Info("agent connected", zap.String("host", name), zap.Uint64("term", l.term))
	defer l.detach(name, out)
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	g.Go(func() error {
		for {
			select {
			case <-l.done:
				return errTermOver
			case <-ctx.Done():
				return ctx.Err()
			case o, ok := <-out:
				if !ok {
					return errTermOver
				}
				if err := st.Send(o); err != nil {
					return err
				}
			}
		}
	})
	g.Go(func() error {
		for {
			rep := &wire.HostReport{}
			if err := st.Recv(rep); err != nil {
				return err
			}
			if err := l.report(ctx, name, out, rep); err != nil {
				return err
			}
		}
	})
	return g.Wait()
}

// attach makes a stream the one on which an agent's orders are sent.
func (l *lead) attach(name string, out chan *wire.HostOrders) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.hosts[name]
	if !ok {
		h = &host{name: name}
		l.hosts[name] = h
	}
	// An agent that has just started doesn't know its worker yet, so nothing is
	// ordered before its first report on this stream.
	h.out, h.rep, h.worker = out, nil, jobs.Worker{}
	h.forget()
	// The agent needs the current term first: its worker responds only to the term
	// of the latest orders.
	l.send(h, &wire.HostOrders{})
}

// forget resets what has been ordered, for a new stream or a new worker.
func (h *host) forget() {
	h.sent, h.halted, h.seen = map[runKey]time.Time{}, map[runKey]time.Time{}, 0
}

// lists reports whether the latest report contains a run, running or ended.
func (h *host) lists(k runKey) bool {
	for _, r := range h.rep.Runs {
		if r.Task == k.task && int(r.Run) == k.run {
			return true
		}
	}
	for _, e := range h.rep.Ends {
		if e.Task == k.task && int(e.Run) == k.run {
			return true
		}
	}
	return false
}

func (l *lead) detach(name string, out chan *wire.HostOrders) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.hosts[name]; h.out == out {
		h.out = nil
	}
	l.log.Info("agent disconnected", zap.String("host", name), zap.Uint64("term", l.term))
}

// report stores a report of an agent and extends the lease of its worker.
func (l *lead) report(ctx context.Context, name string, out chan *wire.HostOrders, rep *wire.HostReport) error {
	granted := false
	now := l.now()
	if rep.Listed && !rep.Lost && rep.Clock > 0 {
		// A lease may be extended only while this replica is certain to lead: the
		// next leader computes the ends of leases from the start of its own term.
		if err := l.view(ctx, func(jobs.View) {}); err != nil {
			return err
		}
		granted = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[name]
	if h.out != out {
		return errTermOver
	}
	if l.take(h, rep, now) {
		l.wake()
	}
	answer := &wire.HostOrders{} // sent even without a lease: an agent looks for another leader if this one is silent
	if granted {
		l.leases[h.worker] = l.c.cfg.leaseEnds(now)
		answer.Lease = rep.Clock + l.c.cfg.leaseMs()
	}
	l.send(h, answer)
	return nil
}

// take stores a report and returns whether it calls for a new plan. The caller holds
// mu.
func (l *lead) take(h *host, rep *wire.HostReport, now time.Time) bool {
	w := jobs.Worker{Name: rep.Worker, Born: rep.Born}
	old := h.rep
	news := old == nil || w != h.worker || rep.Draining != old.Draining || rep.Lost != old.Lost || rep.Listed != old.Listed ||
		len(rep.Ends) > 0 || len(rep.Gone) > 0 || now.Sub(h.heard) > quiet
	if w != h.worker {
		l.log.Info("worker seen", zap.String("host", h.name), zap.String("worker", w.Name), zap.Int64("born", w.Born),
			zap.String("before", h.worker.Name), zap.Strings("labels", rep.Labels), zap.Int64("cpu", rep.Cpu),
			zap.Int64("accels", rep.Accels), zap.Uint64("term", l.term))
		h.forget()
	}
	if old != nil && (rep.Draining != old.Draining || rep.Lost != old.Lost) {
		l.log.Info("worker changed state", zap.String("host", h.name), zap.String("worker", w.Name),
			zap.Bool("draining", rep.Draining), zap.Bool("lost", rep.Lost), zap.Int64("seq", rep.Seq))
	}
	for _, g := range rep.Gone {
		h.gone = append(h.gone, jobs.RunGone{Worker: w, Task: g.Task, Run: int(g.Run)})
		l.log.Info("run never started", zap.String("request", jobOf(g.Task)), zap.String("task", g.Task), zap.Uint32("run", g.Run),
			zap.String("worker", w.Name), zap.String("reason", g.Reason))
	}
	h.rep, h.worker, h.heard = rep, w, now
	return l.sample(rep, now) || news
}

// jobOf returns the job id in a task name, "" if the name is invalid.
func jobOf(task string) string {
	id, err := jobs.ParseTask(task)
	if err != nil {
		return ""
	}
	return id.Job
}

// send queues orders for an agent. If the queue is full, it closes the stream. The
// caller holds mu.
func (l *lead) send(h *host, o *wire.HostOrders) {
	if h.out == nil {
		return
	}
	o.Term, o.Worker, o.Born = l.term, h.worker.Name, h.worker.Born
	select {
	case h.out <- o:
	default:
		l.log.Warn("agent reads its orders too slowly; its stream is closed", zap.String("host", h.name))
		close(h.out)
		h.out = nil
	}
}

// collect returns a command with all ends, unstarted runs and lost workers that aren't
// recorded yet, and whether there are any.
func (l *lead) collect() (jobs.Command, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cmd := jobs.Command{}
	now := l.now()
	l.c.state.Read(func(v jobs.View) {
		for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
			h := l.hosts[name]
			cmd.Gone = append(cmd.Gone, h.gone...)
			if e, ok := newEnds(v, h); ok {
				cmd.Ends = append(cmd.Ends, e)
			}
		}
		for w, held := range v.Workers() {
			if why := l.lostWhy(w, held, now); why != "" {
				cmd.Lost = append(cmd.Lost, jobs.Lost{Worker: w, Saved: l.savedOn(w, held)})
				l.c.meters.lost.Inc(1)
				l.log.Warn("worker lost", zap.String("worker", w.Name), zap.Int64("born", w.Born), zap.String("host", held.Host),
					zap.String("why", why), zap.Int("runs", len(held.Runs)), zap.Uint64("term", l.term))
			}
		}
	})
	return cmd, len(cmd.Gone)+len(cmd.Ends)+len(cmd.Lost) > 0
}

// newEnds returns the ends in the latest report that aren't recorded yet.
func newEnds(v jobs.View, h *host) (jobs.Ends, bool) {
	if h.rep == nil || !h.rep.Listed {
		return jobs.Ends{}, false
	}
	e := jobs.Ends{Worker: h.worker, Host: h.name}
	seen := uint64(0)
	if held, ok := v.Held(h.worker); ok {
		seen = held.Seen
	}
	for _, end := range h.rep.Ends {
		if end.Number > seen {
			e.Ends = append(e.Ends, jobs.End{
				Number: end.Number, Task: end.Task, Run: int(end.Run), How: jobs.How(end.How), Saved: end.Saved,
			})
		}
	}
	slices.SortFunc(e.Ends, func(a, b jobs.End) int { return int(a.Number) - int(b.Number) })
	return e, len(e.Ends) > 0
}

// lostWhy returns the reason why a worker incarnation is certain to have ended, or "".
func (l *lead) lostWhy(w jobs.Worker, held *jobs.Held, now time.Time) string {
	h, ok := l.hosts[held.Host]
	switch {
	case ok && h.rep != nil && h.worker == w && h.rep.Lost:
		return "gone"
	case ok && h.rep != nil && h.worker != w && h.rep.Listed:
		return "another one is in its place"
	case l.leases[w].IsZero():
		// This leader has not granted a lease yet. A lease granted by an earlier
		// leader ends no later than one granted now.
		l.leases[w] = l.c.cfg.leaseEnds(now)
	case now.After(l.leases[w]):
		return "lease ended"
	}
	return ""
}

// savedOn returns the checkpoints in a worker's latest report, by task name.
func (l *lead) savedOn(w jobs.Worker, held *jobs.Held) map[string]string {
	saved := map[string]string{}
	if h, ok := l.hosts[held.Host]; ok && h.worker == w && h.rep != nil {
		for _, r := range h.rep.Runs {
			if r.Saved != "" {
				saved[r.Task] = r.Saved
			}
		}
	}
	return saved
}

// recorded updates the leader's state after a command of collect was committed.
func (l *lead) recorded(cmd jobs.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, h := range l.hosts {
		h.gone = slices.DeleteFunc(h.gone, func(g jobs.RunGone) bool { return slices.Contains(cmd.Gone, g) })
	}
	for _, g := range cmd.Gone {
		delete(l.runs, runKey{g.Task, g.Run})
		delete(l.stopping, runKey{g.Task, g.Run})
	}
	for _, e := range cmd.Ends {
		for _, end := range e.Ends {
			l.learn(e.Worker, end, now)
		}
	}
	for _, lost := range cmd.Lost {
		l.learner.Forget(lost.Worker)
		delete(l.leases, lost.Worker)
	}
}

// learn logs the end of a run, removes the run and updates the estimates. The caller
// holds mu.
func (l *lead) learn(w jobs.Worker, end jobs.End, now time.Time) {
	key := runKey{end.Task, end.Run}
	b, ok := l.runs[key]
	room := l.stopping[key]
	delete(l.runs, key)
	delete(l.stopping, key)
	l.c.meters.end(string(end.How))
	l.log.Info("end", zap.String("request", jobOf(end.Task)), zap.String("task", end.Task), zap.Int("run", end.Run),
		zap.String("worker", w.Name), zap.String("outcome", string(end.How)), zap.Uint64("number", end.Number),
		zap.Duration("took", now.Sub(b.at)), zap.String("madeway", room), zap.Uint64("term", l.term))
	if !ok {
		return
	}
	l.learner.Ended(outcomeOf(b, key.task, end.How, now.Sub(b.at)), now)
	if end.How == jobs.RunFailed {
		l.avoid(b.job, w)
	}
}

func outcomeOf(b begun, task string, how jobs.How, took time.Duration) allot.Outcome {
	id, _ := jobs.ParseTask(task) // can't fail: the leader created the name
	return allot.Outcome{
		Worker: b.worker, Task: id, Queue: b.queue, Guess: b.guess, How: how, Took: took, Factor: b.factor, Whole: b.whole, Single: b.single, Gang: b.gang,
	}
}

// sample updates the estimates from the reported progress of runs. It marks stalled
// runs to be stopped, so that they start on another worker, and returns whether there
// are any. The caller holds mu.
func (l *lead) sample(rep *wire.HostReport, now time.Time) bool {
	news := false
	for _, r := range rep.Runs {
		k := runKey{r.Task, int(r.Run)}
		b, ok := l.runs[k]
		if !ok {
			if b, ok = l.adopt(rep, k, now); !ok {
				continue
			}
		}
		b.pulse = b.pulse.WithProgress(int(r.Percent), now)
		elapsed := now.Sub(b.at)
		var fresh bool
		if b.pace, fresh = b.pace.WithProgress(int(r.Percent), rep.Clock); fresh {
			l.learner.Progress(outcomeOf(b, r.Task, "", b.pace.Whole()))
		}
		if _, stops := l.stopping[k]; !stops && b.pulse.Stalled(now) {
			l.stopping[k] = stalled
			l.learner.Stalled(b.worker, now)
			l.avoid(b.job, b.worker)
			news = true
			l.log.Warn("run stands still", zap.String("request", b.job), zap.String("task", r.Task), zap.Int("run", k.run),
				zap.String("worker", b.worker.Name), zap.Uint32("percent", r.Percent), zap.Duration("after", elapsed), zap.Uint64("term", l.term))
		}
		l.runs[k] = b
	}
	return news
}

// adopt starts to track a run that an earlier leader started. For a rack-local step it
// waits until the racks of all its running tasks are known. The caller holds mu.
func (l *lead) adopt(rep *wire.HostReport, k runKey, now time.Time) (begun, bool) {
	id, err := jobs.ParseTask(k.task)
	if err != nil {
		return begun{}, false
	}
	b := begun{}
	ok := false
	l.c.state.Read(func(v jobs.View) {
		j, known := v.Job(id.Job)
		if !known {
			return
		}
		o, begun := j.Occurs[id.Occur]
		if !begun || id.Step >= len(j.Spec.Steps) || id.Index >= len(o.Steps[id.Step].Tasks) {
			return
		}
		t, st := o.Steps[id.Step].Tasks[id.Index], j.Spec.Steps[id.Step]
		on := jobs.Worker{Name: rep.Worker, Born: rep.Born}
		if t.Run != k.run || t.On != on {
			return
		}
		b.at, b.worker, b.queue, b.job, b.gang, b.sent, b.factor = now, on, j.Queue, j.ID, st.Gang, true, 1
		b.guess = time.Duration(st.EstimateMs) * time.Millisecond
		if st.DataRack != "" && rep.Rack != st.DataRack {
			b.factor = l.c.cfg.Remote
		}
		if st.Compact {
			racks, whole := l.racksOf(o.Steps[id.Step].Tasks)
			if !whole {
				return
			}
			if racks > 1 {
				b.factor = l.c.cfg.Remote
			}
		}
		b.pulse = allot.NewPulse(now, time.Duration(b.factor*float64(l.workOf(j, id.Step))))
		ok = true
	})
	return b, ok
}

// racksOf returns the number of racks on which tasks are running, and whether all of
// their workers have reported. The caller holds mu.
func (l *lead) racksOf(tasks []jobs.Task) (int, bool) {
	rack := map[jobs.Worker]string{}
	for _, h := range l.hosts {
		if h.rep != nil {
			rack[h.worker] = h.rep.Rack
		}
	}
	racks := map[string]bool{}
	for _, t := range tasks {
		if t.On.Zero() {
			continue
		}
		r, ok := rack[t.On]
		if !ok {
			return 0, false
		}
		racks[r] = true
	}
	return len(racks), true
}

// stalled is used instead of a job id as the reason for stopping a stalled run.
const stalled = "nothing: it stands still"

// avoid makes the scheduler prefer other workers for a job's tasks. The caller holds
// mu.
func (l *lead) avoid(job string, w jobs.Worker) {
	if l.failedOn[job] == nil {
		l.failedOn[job] = map[jobs.Worker]bool{}
	}
	l.failedOn[job][w] = true
}
