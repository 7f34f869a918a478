package route

import (
	"container/list"
	"math"
	"time"

	"github.com/google/btree"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// Picker chooses which of the credits of an entry a request uses. It is not
// safe for concurrent use.
type Picker struct {
	backends  map[string]*backend
	any       *btree.BTreeG[*backend] // by speed, those with credits for any class
	short     *btree.BTreeG[*backend] // by speed, those with reserved credits
	suspended []*backend
	used      *list.List // backend servers, the one used longest ago first
	picks     int
	slowSum   float64 // sum of the logarithms of those with a learned speed
	learned   int     // their number
}

// treeDegree is the degree of the trees.
const treeDegree = 16

// NewPicker returns a picker that knows no backend server.
func NewPicker() *Picker {
	return &Picker{
		backends: map[string]*backend{},
		used:     list.New(),
		any:      btree.NewG(treeDegree, faster),
		short:    btree.NewG(treeDegree, faster),
	}
}

func faster(a, b *backend) bool {
	if a.slow != b.slow {
		return a.slow < b.slow
	}
	return a.name < b.name
}

// Add announces a backend server. It begins with a slow start.
func (p *Picker) Add(server string) {
	if b := p.backends[server]; b != nil {
		p.change(b, func() { b.draining = false })
		return
	}
	b := &backend{name: server, limit: startCredit, slow: p.mean() + firstSlow}
	b.used = p.used.PushFront(b)
	p.backends[server] = b
}

// Drain excludes a backend server from new requests.
func (p *Picker) Drain(server string) {
	if b := p.backends[server]; b != nil {
		p.change(b, func() { b.draining = true })
	}
}

// Remove forgets a backend server with its credits.
func (p *Picker) Remove(server string) {
	b := p.backends[server]
	if b == nil {
		return
	}
	p.unlist(b)
	p.used.Remove(b.used)
	if b.samples > 0 {
		p.slowSum -= b.slow
		p.learned--
	}
	delete(p.backends, server)
	p.dropSuspended(b)
}

// AddCredit adds a credit. It reports false if the backend server isn't known.
func (p *Picker) AddCredit(c Credit) bool {
	b := p.backends[c.Server]
	if b == nil {
		return false
	}
	p.change(b, func() {
		ids := b.list(c.Class)
		*ids = append(*ids, c.ID)
	})
	return true
}

// RevokeCredit drops a credit. It reports false if the credit isn't held, for
// example because a request uses it; the agent refuses that request.
func (p *Picker) RevokeCredit(c Credit) bool {
	b := p.backends[c.Server]
	if b == nil {
		return false
	}
	ids := b.list(c.Class)
	for i, id := range *ids {
		if id == c.ID {
			p.change(b, func() { *ids = append((*ids)[:i], (*ids)[i+1:]...) })
			return true
		}
	}
	return false
}

// BestSlot returns the best slot that a request may use now: the fastest for any
// class, or else the fastest reserved one.
func (p *Picker) BestSlot(now time.Time) admit.Slot {
	p.release(now)
	if b, ok := p.any.Min(); ok {
		return admit.Slot{Class: admit.AnySlot, Slowdown: p.relative(b)}
	}
	if b, ok := p.short.Min(); ok {
		return admit.Slot{Class: admit.ShortSlot, Slowdown: p.relative(b)}
	}
	return admit.Slot{}
}

// Pick uses up the best credit for a request of the class. A short request
// takes the fastest slot, and a reserved one before another on the same
// backend server.
func (p *Picker) Pick(class admit.Class, now time.Time) (Credit, bool) {
	p.release(now)
	best, kind := p.first(class)
	if best == nil {
		return Credit{}, false
	}
	p.picks++
	if p.picks%exploreEvery == 0 {
		best, kind = p.stale(class, best, kind)
	}
	return p.use(best, kind), true
}

// PickOther uses up a credit for a hedge: the best one of another backend
// server than the one that has the request already.
func (p *Picker) PickOther(class admit.Class, server string, now time.Time) (Credit, bool) {
	p.release(now)
	var best *backend
	kind := admit.AnySlot
	other := func(k admit.SlotClass) func(*backend) bool {
		return func(b *backend) bool {
			if b.name == server {
				return true
			}
			if best == nil || faster(b, best) {
				best, kind = b, k
			}
			return false
		}
	}
	if class == admit.Short {
		p.short.Ascend(other(admit.ShortSlot))
	}
	p.any.Ascend(other(admit.AnySlot))
	if best == nil {
		return Credit{}, false
	}
	return p.use(best, kind), true
}

func (p *Picker) use(b *backend, kind admit.SlotClass) Credit {
	c := Credit{Server: b.name, Class: kind}
	p.used.MoveToBack(b.used)
	p.change(b, func() {
		ids := b.list(kind)
		c.ID = (*ids)[0]
		*ids = (*ids)[1:]
		b.inflight++
	})
	return c
}

// reservedBonus is the logarithm by which a reserved slot may be slower and
// still be preferred for a short request, so that long ones find fast slots.
const reservedBonus = 0.3

func (p *Picker) first(class admit.Class) (*backend, admit.SlotClass) {
	anyBest, ok := p.any.Min()
	if !ok {
		anyBest = nil
	}
	if class == admit.Long {
		return anyBest, admit.AnySlot
	}
	shortBest, ok := p.short.Min()
	if ok && (anyBest == nil || shortBest.slow <= anyBest.slow+reservedBonus) {
		return shortBest, admit.ShortSlot
	}
	return anyBest, admit.AnySlot
}

// Done ends a request that used a credit of the backend server. It returns the
// run time at the mean speed of the fleet.
func (p *Picker) Done(server string, r Result, now time.Time) time.Duration {
	b := p.backends[server]
	if b == nil {
		return r.RunTime
	}
	p.change(b, func() {
		b.inflight = max(0, b.inflight-1)
		if r.OK {
			p.learn(b, r)
			return
		}
		b.fail()
		if b.fails >= failLimit || b.suspends > 0 {
			p.suspend(b, now)
		}
	})
	return time.Duration(float64(r.RunTime) / p.relative(b))
}

func (p *Picker) learn(b *backend, r Result) {
	samples, before := b.samples, b.slow
	b.succeed(r)
	switch {
	case samples > 0:
		p.slowSum += b.slow - before
	case b.samples > 0:
		p.slowSum += b.slow
		p.learned++
	}
}

// DoneNotRun ends a request that the agent refused as not run: nothing is learned.
func (p *Picker) DoneNotRun(server string) {
	if b := p.backends[server]; b != nil {
		p.change(b, func() { b.inflight = max(0, b.inflight-1) })
	}
}

// Slowdown returns the learned time of a backend server relative to the mean.
func (p *Picker) Slowdown(server string) float64 {
	if b := p.backends[server]; b != nil {
		return p.relative(b)
	}
	return 1
}

func (p *Picker) mean() float64 {
	if p.learned == 0 {
		return 0
	}
	return p.slowSum / float64(p.learned)
}

func (p *Picker) relative(b *backend) float64 { return math.Exp(b.slow - p.mean()) }

// change changes a backend server and keeps the trees in order.
func (p *Picker) change(b *backend, f func()) {
	p.unlist(b)
	f()
	if !b.usable() {
		return
	}
	if len(b.short) > 0 {
		p.short.ReplaceOrInsert(b)
		b.listed[0] = true
	}
	if len(b.any) > 0 {
		p.any.ReplaceOrInsert(b)
		b.listed[1] = true
	}
}

func (p *Picker) unlist(b *backend) {
	if b.listed[0] {
		p.short.Delete(b)
	}
	if b.listed[1] {
		p.any.Delete(b)
	}
	b.listed = [2]bool{}
}
