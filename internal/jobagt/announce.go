package jobagt

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// maxReplaced is the number of former incarnations that are remembered. An announcement may be late by some
// seconds, in which a worker restarts a few times at most.
const maxReplaced = 16

// Announce implements AnnouncementReceiver.
//
// Start times don't order incarnations, since the time of day may be set back between two starts. An announced
// worker counts as there once it answers, and an incarnation that has answered before another one is over for good.
func (a *Agent) Announce(ann Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reason := a.outdated(ann); reason != "" {
		a.log.Info("old announcement ignored", zap.String("worker", ann.Worker.Name), zap.Int64("born", ann.Worker.StartedMs),
			zap.Int64("seq", ann.Seq), zap.Int64("newest", a.announced.Seq), zap.String("why", reason))
		return
	}
	if ann.Draining && ann.RemainMs > 0 {
		ann.earliestExit = a.env.BootClock.Now().Add(time.Duration(ann.RemainMs) * time.Millisecond)
	}
	old := a.announced
	if ann.Worker == a.confirmed.Worker && ann.Worker != old.Worker {
		// The worker that answered last. It is taken again if the one announced since doesn't answer in its place.
		a.confirmed = ann
		return
	}
	a.announced = ann
	if ann.Worker != old.Worker || !ann.Draining {
		// The report of an exit may have come late, from an earlier incarnation: it names only the worker.
		a.exitReported = false
	}
	if ann.Worker == old.Worker && ann.Draining == old.Draining {
		return
	}
	a.log.Info("worker announced", zap.String("worker", ann.Worker.Name), zap.Int64("born", ann.Worker.StartedMs), zap.Int64("seq", ann.Seq),
		zap.Bool("draining", ann.Draining), zap.Int64("remain", ann.RemainMs), zap.String("service", ann.Service))
	if a.draining() {
		a.cutGrant()
	}
	a.triggerReport()
	a.triggerHold()
}

// outdated returns why an announcement says nothing new, or "". The caller holds a.mu.
func (a *Agent) outdated(ann Announcement) string {
	if slices.Contains(a.replaced, ann.Worker) {
		return "another incarnation has answered since"
	}
	for _, known := range []Announcement{a.announced, a.confirmed} {
		if ann.Worker == known.Worker && ann.Seq <= known.Seq {
			return "a later one has come"
		}
	}
	return ""
}

// noteReplaced remembers an incarnation in whose place another one answers. The caller holds a.mu.
func (a *Agent) noteReplaced(w jobs.Worker) {
	if w.Zero() {
		return
	}
	a.replaced = append(a.replaced, w)
	a.replaced = a.replaced[max(0, len(a.replaced)-maxReplaced):]
}

// noteAnswer settles which announcement is in force after a worker has answered. The caller holds a.mu.
func (a *Agent) noteAnswer(w jobs.Worker) {
	switch w {
	case a.announced.Worker:
		a.confirmed = a.announced
	case a.confirmed.Worker:
		a.withdrawAnnouncement(a.announced.Worker)
	}
}

// withdrawAnnouncement drops an announcement of a worker that isn't there: it came from somebody
// else, or from a worker that has exited. The last confirmed announcement takes its place. It
// reports whether there was one to drop. The caller holds a.mu.
func (a *Agent) withdrawAnnouncement(worker jobs.Worker) bool {
	if a.announced.Worker != worker || a.confirmed.Worker == worker {
		return false
	}
	a.announced = Announcement{} // any worker may announce itself next
	if a.confirmed.Worker == a.state.worker {
		a.announced = a.confirmed
	}
	if a.draining() {
		a.cutGrant()
	}
	a.log.Warn("announcement withdrawn: another worker answers", zap.String("worker", worker.Name), zap.Int64("born", worker.StartedMs),
		zap.String("confirmed", a.announced.Worker.Name))
	a.triggerReport()
	a.triggerHold()
	return true
}

// Leave implements AnnouncementReceiver. An announcement as ready that follows takes it back.
func (a *Agent) Leave(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if worker != a.announced.Worker.Name {
		return
	}
	a.exitReported = true
	a.announced.Draining = true
	a.cutGrant()
	a.log.Info("worker leaves", zap.String("worker", worker))
	a.triggerReport()
	a.triggerHold()
}
