package jobagt

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const (
	// holdWait is how long a worker holds back its list while nothing ends. It
	// bounds the age of the clock that a lease counts from.
	holdWait = 400 * time.Millisecond
	// holdTimeout is how long an answer may take beyond holdWait.
	holdTimeout = time.Second
	// holdPause is kept between two holds, so that ends that wait for their
	// commit don't make the worker answer again and again.
	holdPause = 20 * time.Millisecond
	// missPause is kept after a hold without an answer.
	missPause = 150 * time.Millisecond
	// goneAfter is how long a worker that has said that it leaves must have no
	// listener before it counts as gone.
	goneAfter = 200 * time.Millisecond
)

// watch asks the worker again and again what is on it.
func (a *Agent) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		a.mu.Lock()
		told := a.told.Worker
		a.mu.Unlock()
		if told.Zero() {
			a.rest(ctx, holdWait)
			continue
		}
		if a.look(ctx, told) {
			a.rest(ctx, holdPause)
		} else {
			a.rest(ctx, missPause)
		}
	}
	return nil
}

// rest waits, or less if there is something for the next hold.
func (a *Agent) rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-a.poke:
		kern.Sleep(ctx, time.Millisecond) // orders that come together go together
	}
}

// look extends the worker's lease and takes in its list.
func (a *Agent) look(ctx context.Context, told jobs.Worker) bool {
	a.mu.Lock()
	h := HoldOrder{Term: a.term, WaitMs: holdWait.Milliseconds()}
	if a.life.worker == told {
		h.LeaseEnd, h.RecordedEnds = a.life.lease, a.life.seen
		if !a.life.listed || len(a.life.listing.Ends) > 0 && a.life.listing.Ends[len(a.life.listing.Ends)-1].Number <= h.RecordedEnds || a.life.settling() {
			h.WaitMs = 0
		}
	} else {
		h.WaitMs = 0
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, holdWait+holdTimeout)
	defer cancel()
	list, err := a.worker.Hold(ctx, told, h)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.missed(told, err)
		return false
	}
	a.listed(list)
	return true
}

// missed notes a hold without an answer. The caller holds mu.
func (a *Agent) missed(told jobs.Worker, err error) {
	a.log.Debug("worker did not answer", zap.String("worker", told.Name), zap.Error(err))
	l := &a.life
	if l.worker != told || l.lost {
		return
	}
	usable := l.usable()
	l.misses++
	defer func() {
		if l.usable() != usable {
			a.log.Warn("worker given nothing until it answers", zap.String("worker", told.Name), zap.Error(err))
			a.notify()
		}
	}()
	switch {
	case errors.Is(err, ErrNoListener):
		now := a.env.BootClock.Now()
		if l.refused == 0 {
			l.since = now
			a.log.Warn("worker does not listen", zap.String("worker", told.Name), zap.Bool("left", a.left))
		}
		l.refused++
		// Only a worker that said so is gone for certain; of any other the lease
		// has to end first.
		if !a.left || now.Sub(l.since) < goneAfter {
			return
		}
	default:
		l.refused = 0
		return
	}
	l.lost = true
	a.log.Warn("worker gone", zap.String("worker", told.Name), zap.Int64("born", told.StartedMs), zap.Int("runs", len(l.runs)))
	a.notify()
}

// missesBorne is how many holds in a row may go without an answer before the
// worker is given nothing new. A link that loses a packet costs one.
const missesBorne = 1

// usable tells whether the worker shows what is on it.
func (l *life) usable() bool { return l.listed && l.refused == 0 && l.misses <= missesBorne }

// listed takes in a worker's list. The caller holds mu.
func (a *Agent) listed(list Listing) {
	l := &a.life
	if l.worker != list.Worker {
		a.log.Info("worker answers", zap.String("worker", list.Worker.Name), zap.Int64("born", list.Worker.StartedMs),
			zap.String("before", l.worker.Name), zap.Int("runs", len(list.Runs)), zap.Int("ends", len(list.Ends)))
		*l = life{worker: list.Worker, runs: map[key]*run{}}
	}
	first := !l.usable()
	ended := len(list.Ends) > 0 && (len(l.listing.Ends) == 0 || list.Ends[len(list.Ends)-1].Number > l.listing.Ends[len(l.listing.Ends)-1].Number)
	l.listed, l.misses, l.refused, l.lost = true, 0, 0, false
	l.listing = list
	l.count++
	settled := l.settle(a.log)
	if first || ended || settled {
		a.notify()
	}
}
