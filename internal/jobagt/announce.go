package jobagt

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

const (
	// maxReplaced is the number of former incarnations that are remembered. An announcement may be late by some
	// seconds, in which a worker restarts a few times at most.
	maxReplaced = 16
	// maxDeviations is how many announcements in a row may describe the worker in another way before that is believed.
	// A worker's own announcements come between those of another writer.
	maxDeviations = 2
)

// describesSame reports whether two announcements of an incarnation agree on what doesn't change during its life.
func (ann Announcement) describesSame(other Announcement) bool {
	return ann.Service == other.Service && ann.Address == other.Address && ann.CPU == other.CPU && ann.Memory == other.Memory &&
		ann.Accels == other.Accels && slices.Equal(ann.Labels, other.Labels)
}

// Announce implements AnnouncementReceiver.
//
// Anybody may announce a worker, and start times don't order incarnations, since the time of day may be set back between
// two starts. So an announced worker replaces the one in use only when it has answered a hold. An incarnation that has
// answered before another one is over for good.
func (a *Agent) Announce(ann Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ann.Draining && ann.RemainMs > 0 {
		ann.earliestExit = a.env.BootClock.Now().Add(time.Duration(ann.RemainMs) * time.Millisecond)
	}
	reason := ""
	switch {
	case slices.Contains(a.replaced, ann.Worker):
		reason = "another incarnation has answered since"
	case ann.Worker == a.announced.Worker:
		reason = a.update(ann)
	case ann.Worker == a.state.worker:
		a.use(ann)
	default:
		reason = a.addCandidate(ann)
	}
	if reason != "" {
		a.log.Info("announcement ignored", zap.String("worker", ann.Worker.Name), zap.Int64("born", ann.Worker.StartedMs), zap.Int64("seq", ann.Seq),
			zap.String("service", ann.Service), zap.Int64("newest", a.announced.Seq), zap.String("why", reason))
	}
}

// update takes a further announcement of the worker in use. It returns why it ignores it, or "". The caller holds a.mu.
func (a *Agent) update(ann Announcement) string {
	old := a.announced
	if !ann.describesSame(old) {
		if a.deviations++; a.deviations <= maxDeviations {
			return "it contradicts earlier ones"
		}
	} else if ann.Seq <= old.Seq {
		return "a later one has come"
	}
	a.deviations = 0
	a.announced = ann
	if !ann.Draining {
		// The report of an exit may have come late, from an earlier incarnation: it names only the worker.
		a.exitReported = false
	}
	if ann.Draining != old.Draining {
		a.announcementChanged()
	}
	return ""
}

// use makes an announcement the one of the worker in use, which has answered. The caller holds a.mu.
func (a *Agent) use(ann Announcement) {
	a.announced, a.exitReported, a.deviations = ann, false, 0
	a.announcementChanged()
}

// announcementChanged handles a change of the worker in use, or of whether it is draining. The caller holds a.mu.
func (a *Agent) announcementChanged() {
	ann := a.announced
	a.log.Info("worker announced", zap.String("worker", ann.Worker.Name), zap.Int64("born", ann.Worker.StartedMs), zap.Int64("seq", ann.Seq),
		zap.Bool("draining", ann.Draining), zap.Int64("remain", ann.RemainMs), zap.String("service", ann.Service))
	if a.draining() {
		a.cutGrant()
	}
	a.triggerReport()
	a.triggerHold()
}

// noteReplaced remembers an incarnation in whose place another one answers. The caller holds a.mu.
func (a *Agent) noteReplaced(w jobs.Worker) {
	if w.Zero() {
		return
	}
	a.replaced = append(a.replaced, w)
	a.replaced = a.replaced[max(0, len(a.replaced)-maxReplaced):]
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
