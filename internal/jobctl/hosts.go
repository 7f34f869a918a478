package jobctl

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	// maxReportAge is how old the last report of a worker may be for the worker to get
	// new tasks. Reports come twice a second, so one lost report is tolerated.
	maxReportAge = 1200 * time.Millisecond
	// suspectReportAge is the age of the last report above which other workers are
	// preferred: the host may be partitioned, and a task started there would be blocked
	// until the lease ends.
	suspectReportAge = 650 * time.Millisecond
	// maxQueuedOrders is how many orders may be queued for one agent before its stream is
	// closed.
	maxQueuedOrders = 256
	// refusalPause is how long a worker that has refused a start as unavailable gets no other.
	refusalPause = 200 * time.Millisecond
	// refusalSuspicion is how long other workers are preferred to it.
	refusalSuspicion = 2 * time.Second
)

// ReasonUnavailable is the reason for a run that never started because its worker is
// overloaded or unavailable.
const ReasonUnavailable = "unwell"

// host is the leader's state of an agent and the worker on the same host.
type host struct {
	name           string                    // of the agent
	domain         string                    // failure domain of the agent
	evacuated      bool                      // the failure domain was evacuated when the state was read last
	orders         chan *wire.HostOrders     // queue of the stream in use, nil if there is none
	report         *wire.HostReport          // latest report on this stream
	reportedAt     time.Time                 // when the latest report arrived
	listed         map[runKey]*wire.RunState // result of listing for listedIn
	listedIn       *wire.HostReport
	worker         jobs.Worker          // named in the latest report on this stream
	coldUntil      time.Time            // until when the worker is slow after its start
	unstarted      []jobs.UnstartedRun  // reported and not committed yet
	startsSent     map[runKey]time.Time // when starts were ordered on this stream
	stopsSent      map[runKey]time.Time // when stops were ordered on this stream
	endsAcked      uint64               // ends up to this number were acknowledged on this stream
	pausedUntil    time.Time            // the worker has refused a start and gets none before this time
	suspectedUntil time.Time            // the worker has refused a start, and others are preferred until this time
	// earlierLeaseEnd is when leases by orders for earlier incarnations of the worker have ended for certain.
	earlierLeaseEnd time.Time
}

// hostDump is the state of a host in a dump.
type hostDump struct {
	Name       string      `json:"name"` // of the agent
	Domain     string      `json:"domain"`
	Evacuated  bool        `json:"evacuated"`
	Worker     jobs.Worker `json:"worker"`
	ReportedAt time.Time   `json:"heard"` // when the latest report arrived
	StartsSent int         `json:"sent"`  // number of runs whose start was ordered
}

func (l *leader) dump() []hostDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []hostDump
	for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
		h := l.hosts[name]
		list = append(list, hostDump{Name: name, Domain: h.domain, Evacuated: h.evacuated, Worker: h.worker, ReportedAt: h.reportedAt, StartsSent: len(h.startsSent)})
	}
	return list
}

// handleAgentStream serves the stream of an agent: it receives reports and sends orders.
func (c *Control) handleAgentStream(ctx context.Context, _ *wire.Call, st *wire.Stream) error {
	l := c.activeLeader()
	if l == nil {
		return errNotLeading
	}
	_ = st.SetDeadline(time.Time{})
	orders := make(chan *wire.HostOrders, maxQueuedOrders)
	name := st.Peer().Name
	l.attach(name, st.Peer().Domain, orders)
	l.log.Info("agent connected", zap.String("host", name), zap.Uint64("term", l.term))
	defer l.detach(name, orders)
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	g.Go(func() error {
		for {
			select {
			case <-l.termDone:
				return errTermEnded
			case <-ctx.Done():
				return ctx.Err()
			case o, ok := <-orders:
				if !ok {
					return errTermEnded
				}
				if err := st.Send(o); err != nil {
					return err
				}
			}
		}
	})
	g.Go(func() error {
		return wire.Guard(l.log.With(zap.String("host", name)), func() error {
			for {
				report := &wire.HostReport{}
				if err := st.Recv(report); err != nil {
					return err
				}
				if err := l.handleReport(ctx, name, orders, report); err != nil {
					return err
				}
			}
		})
	})
	return g.Wait()
}

// attach makes a stream the one on which an agent's orders are sent.
func (l *leader) attach(name, domain string, orders chan *wire.HostOrders) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.hosts[name]
	if !ok {
		h = &host{name: name}
		l.hosts[name] = h
	}
	// An agent that has just started doesn't know its worker yet, so nothing is
	// ordered before its first report on this stream.
	h.orders, h.report, h.worker = orders, nil, jobs.Worker{}
	h.domain = domain
	l.readEvacuation(h)
	h.resetOrders()
	// The agent needs the current term first: its worker responds only to the term
	// of the latest orders.
	l.queueOrders(h, &wire.HostOrders{})
}

// resetOrders forgets which orders were sent. They have to be sent again on a new stream
// and to a new worker.
func (h *host) resetOrders() {
	h.startsSent, h.stopsSent, h.endsAcked = map[runKey]time.Time{}, map[runKey]time.Time{}, 0
}

// listing returns the runs and ends in the latest report, by run; the state of an ended run is nil.
func (h *host) listing() map[runKey]*wire.RunState {
	if h.listed == nil || h.listedIn != h.report {
		h.listed, h.listedIn = make(map[runKey]*wire.RunState, len(h.report.Runs)), h.report
		for _, e := range h.report.Ends {
			h.listed[runKey{e.Task, int(e.Run)}] = nil
		}
		for _, r := range h.report.Runs {
			h.listed[runKey{r.Task, int(r.Run)}] = r
		}
	}
	return h.listed
}

// listsRun reports whether the latest report contains a run, running or ended.
func (h *host) listsRun(k runKey) bool {
	_, ok := h.listing()[k]
	return ok
}

// runsReportedGone returns the runs that the agent has given up and whose end isn't committed yet.
func (h *host) runsReportedGone() map[runKey]bool {
	gone := map[runKey]bool{}
	for _, u := range h.unstarted {
		gone[runKey{u.Task, u.Run}] = true
	}
	return gone
}

// recordedGone removes the reported runs whose end was committed and returns them.
func (h *host) recordedGone(committed map[jobs.UnstartedRun]bool) []*wire.RunID {
	var recorded []*wire.RunID
	h.unstarted = slices.DeleteFunc(h.unstarted, func(u jobs.UnstartedRun) bool {
		if !committed[u] {
			return false
		}
		recorded = append(recorded, &wire.RunID{Task: u.Task, Run: uint32(u.Run)})
		return true
	})
	return recorded
}

// detach removes a stream unless another one has replaced it.
func (l *leader) detach(name string, orders chan *wire.HostOrders) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.hosts[name]; h.orders == orders {
		h.orders = nil
	}
	l.log.Info("agent disconnected", zap.String("host", name), zap.Uint64("term", l.term))
}

// handleReport stores a report of an agent and extends the lease of its worker.
func (l *leader) handleReport(ctx context.Context, name string, orders chan *wire.HostOrders, report *wire.HostReport) error {
	extendLease := false
	now := l.now()
	if report.Listed && !report.Lost && report.Clock > 0 {
		// A lease may be extended only while this replica is certain to lead: the
		// next leader computes the ends of leases from the start of its own term.
		if err := l.view(ctx, func(jobs.View) {}); err != nil {
			return err
		}
		extendLease = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[name]
	if h.orders != orders {
		return errTermEnded
	}
	l.readEvacuation(h)
	if l.storeReport(h, report, now) {
		l.wake()
	}
	answer := &wire.HostOrders{} // sent even without a lease: an agent looks for another leader if this one is silent
	if extendLease {
		l.leaseEnds[h.worker] = l.c.cfg.leaseEnd(now, report.Draining)
		answer.Lease = report.Clock + l.c.cfg.leaseTerms().Grant(report.Draining).Milliseconds()
		answer.Begin = l.c.cfg.beginLimit(report.Clock, h.evacuated)
	}
	l.queueOrders(h, answer)
	return nil
}

// storeReport stores a report and returns whether a new plan is needed. The caller
// holds mu.
func (l *leader) storeReport(h *host, report *wire.HostReport, now time.Time) bool {
	w := jobs.Worker{Name: report.Worker, StartedMs: report.Born}
	previous := h.report
	replan := previous == nil || w != h.worker || report.Draining != previous.Draining || report.Lost != previous.Lost || report.Listed != previous.Listed ||
		len(report.Ends) > 0 || len(report.Gone) > 0 || now.Sub(h.reportedAt) > maxReportAge
	if w != h.worker {
		l.log.Info("worker seen", zap.String("host", h.name), zap.String("worker", w.Name), zap.Int64("born", w.StartedMs),
			zap.String("before", h.worker.Name), zap.Strings("labels", report.Labels), zap.Int64("cpu", report.Cpu),
			zap.Int64("accels", report.Accels), zap.Uint64("term", l.term))
		h.resetOrders()
		h.pausedUntil, h.suspectedUntil = time.Time{}, time.Time{}
		l.noteIncarnation(h, w, now)
	}
	if previous != nil && (report.Draining != previous.Draining || report.Lost != previous.Lost) {
		l.log.Info("worker changed state", zap.String("host", h.name), zap.String("worker", w.Name),
			zap.Bool("draining", report.Draining), zap.Bool("lost", report.Lost), zap.Int64("seq", report.Seq))
	}
	if previous == nil || w != h.worker || report.Seq != previous.Seq {
		// Reports repeat what the worker last announced, so only a new announcement counts from now.
		h.coldUntil = now.Add(time.Duration(report.Coldms) * time.Millisecond)
	}
	h.report, h.worker, h.reportedAt = report, w, now
	for _, gone := range report.Gone {
		u := jobs.UnstartedRun{Task: gone.Task, Run: int(gone.Run)}
		l.c.state.Read(func(v jobs.View) { u.Worker = h.recordedFor(v, runKey{u.Task, u.Run}) })
		h.unstarted = append(h.unstarted, u)
		if gone.Reason == ReasonUnavailable {
			h.pausedUntil, h.suspectedUntil = now.Add(refusalPause), now.Add(refusalSuspicion)
		}
		l.log.Info("run never started", zap.String("request", jobOf(gone.Task)), zap.String("task", gone.Task), zap.Uint32("run", gone.Run),
			zap.String("worker", w.Name), zap.Int64("born", u.Worker.StartedMs), zap.String("reason", gone.Reason))
	}
	return l.updateProgress(previous, report, now) || replan
}

// jobOf returns the job id in a task name, "" if the name is invalid.
func jobOf(task string) string {
	id, err := jobs.ParseTaskID(task)
	if err != nil {
		return ""
	}
	return id.Job
}

// queueOrders queues orders for an agent. If the queue is full, it closes the stream. The
// caller holds mu.
func (l *leader) queueOrders(h *host, o *wire.HostOrders) {
	if h.orders == nil {
		return
	}
	o.Term, o.Worker, o.Born = l.term, h.worker.Name, h.worker.StartedMs
	o.Fence = l.c.fences.of(l.term, h.name, h.worker)
	o.Evacuated = h.evacuated
	select {
	case h.orders <- o:
	default:
		l.log.Warn("agent reads its orders too slowly; its stream is closed", zap.String("host", h.name))
		close(h.orders)
		h.orders = nil
	}
}

// collectUnrecorded returns a command with the ends, unstarted runs, lost workers and begun jobs
// that aren't recorded yet, and whether there are any. If there are too many for one command it
// wakes the leader for the others. Workers are lost only once all reported ends are recorded:
// after that their tasks would run again.
func (l *leader) collectUnrecorded() (jobs.Command, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cmd := jobs.Command{}
	entries := 0 // ends and unstarted runs in the command
	now := l.now()
	l.c.state.Read(func(v jobs.View) {
		for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
			h := l.hosts[name]
			if entries >= maxEndsPerCommand {
				l.wake()
				return
			}
			unstarted := h.unstarted[:min(len(h.unstarted), maxEndsPerCommand-entries)]
			cmd.Unstarted, entries = append(cmd.Unstarted, unstarted...), entries+len(unstarted)
			if e, ok := unrecordedEnds(v, h); ok {
				cmd.Ends = append(append(cmd.Ends, h.endsOfEarlierIncarnations(v, e.Ends)...), e)
				entries += len(e.Ends)
			}
		}
		for w, record := range v.Workers() {
			if reason := l.lostReason(w, record, now); reason != "" {
				cmd.LostWorkers = append(cmd.LostWorkers, jobs.LostWorker{Worker: w, Checkpoints: l.reportedCheckpoints(w, record)})
				l.c.metrics.workersLost.Inc(1)
				l.log.Warn("worker lost", zap.String("worker", w.Name), zap.Int64("born", w.StartedMs), zap.String("host", record.Host),
					zap.String("why", reason), zap.Int("runs", len(record.Runs)), zap.Uint64("term", l.term))
			}
		}
	})
	cmd.BegunJobs = slices.Sorted(maps.Keys(l.begunJobs))
	return cmd, len(cmd.Unstarted)+len(cmd.Ends)+len(cmd.LostWorkers)+len(cmd.BegunJobs) > 0
}

// unrecordedEnds returns the ends in the latest report that aren't recorded yet.
func unrecordedEnds(v jobs.View, h *host) (jobs.RunEnds, bool) {
	if h.report == nil || !h.report.Listed {
		return jobs.RunEnds{}, false
	}
	e := jobs.RunEnds{Worker: h.worker, Host: h.name}
	lastRecorded := uint64(0)
	if record, ok := v.WorkerRecord(h.worker); ok {
		lastRecorded = record.LastRecordedEnd
	}
	for _, end := range h.report.Ends {
		if end.Number > lastRecorded {
			e.Ends = append(e.Ends, jobs.RunEnd{
				Number: end.Number, Task: end.Task, Run: int(end.Run), Outcome: jobs.RunOutcome(end.How), Checkpoint: end.Saved,
			})
		}
	}
	slices.SortFunc(e.Ends, func(a, b jobs.RunEnd) int { return int(a.Number) - int(b.Number) })
	return e, len(e.Ends) > 0
}

// lostReason returns the reason why a worker incarnation is certain to have ended, or "".
// It sets the end of the lease of a worker for which this leader has none. The caller
// holds mu.
func (l *leader) lostReason(w jobs.Worker, record *jobs.WorkerRecord, now time.Time) string {
	h, ok := l.hosts[record.Host]
	switch {
	case ok && h.report != nil && h.worker == w && h.report.Lost:
		return "gone"
	case ok && h.report != nil && h.worker != w && h.report.Listed && (h.worker.Name != w.Name || len(record.Runs) == 0):
		return "another one is in its place"
	case l.leaseEnds[w].IsZero():
		// This leader has not granted a lease yet. A lease granted by an earlier
		// leader ends no later than one granted now.
		l.leaseEnds[w] = l.c.cfg.leaseEnd(now, false)
	case now.After(l.certainLeaseEnd(w, record)):
		return "lease ended"
	}
	return ""
}

// reportedCheckpoints returns the checkpoints in a worker's latest report, by task name.
// The caller holds mu.
func (l *leader) reportedCheckpoints(w jobs.Worker, record *jobs.WorkerRecord) map[string]string {
	checkpoints := map[string]string{}
	if h, ok := l.hosts[record.Host]; ok && h.worker == w && h.report != nil {
		for _, r := range h.report.Runs {
			if r.Saved != "" {
				checkpoints[r.Task] = r.Saved
			}
		}
	}
	return checkpoints
}

// applyRecorded updates the leader's state after a command of collectUnrecorded was
// committed.
func (l *leader) applyRecorded(cmd jobs.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	gone := make(map[jobs.UnstartedRun]bool, len(cmd.Unstarted))
	for _, u := range cmd.Unstarted {
		gone[u] = true
	}
	for _, h := range l.hosts {
		if recorded := h.recordedGone(gone); len(recorded) > 0 {
			l.queueOrders(h, &wire.HostOrders{Gone: recorded})
		}
	}
	for _, u := range cmd.Unstarted {
		delete(l.runs, runKey{u.Task, u.Run})
		delete(l.stopping, runKey{u.Task, u.Run})
	}
	finished := map[runKey]bool{} // the end of a run of an earlier incarnation is there twice
	for _, e := range cmd.Ends {
		for _, end := range e.Ends {
			if k := (runKey{end.Task, end.Run}); !finished[k] {
				finished[k] = true
				l.finishRun(e.Worker, end, now)
			}
		}
	}
	for _, id := range cmd.BegunJobs {
		delete(l.begunJobs, id)
	}
	for _, lost := range cmd.LostWorkers {
		l.learner.ForgetWorker(lost.Worker)
		delete(l.leaseEnds, lost.Worker)
	}
}

// finishRun logs the end of a run, removes the run and updates the estimates. The caller
// holds mu.
func (l *leader) finishRun(w jobs.Worker, end jobs.RunEnd, now time.Time) {
	key := runKey{end.Task, end.Run}
	active, ok := l.runs[key]
	stopFor := l.stopping[key]
	delete(l.runs, key)
	delete(l.stopping, key)
	l.c.metrics.countRunEnd(string(end.Outcome))
	took := time.Duration(0)
	if ok {
		took = now.Sub(active.startedAt)
	}
	l.log.Info("end", zap.String("request", jobOf(end.Task)), zap.String("task", end.Task), zap.Int("run", end.Run),
		zap.String("worker", w.Name), zap.String("outcome", string(end.Outcome)), zap.Uint64("number", end.Number),
		zap.Duration("took", took), zap.String("madeway", stopFor), zap.Uint64("term", l.term))
	if !ok {
		return
	}
	l.learner.LearnEnd(observationOf(active, key.task, end.Outcome, took), now)
	if end.Outcome == jobs.RunFailed {
		l.avoidWorker(active.job, w)
	}
}
