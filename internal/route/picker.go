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
	any       *btree.BTreeG[*backend] // usable backend servers with credits for any class, the fastest first
	short     *btree.BTreeG[*backend] // usable backend servers with reserved credits, the fastest first
	suspended []*backend
	used      *list.List // all backend servers, the least recently used first
	picks     int        // number of calls of Pick that returned a credit
	slowSum   float64    // sum of the logarithmic slowdowns of the backend servers that have samples
	learned   int        // number of backend servers that have samples
}

// treeDegree is the degree of the B-trees.
const treeDegree = 16

// NewPicker returns a picker without backend servers.
func NewPicker() *Picker {
	return &Picker{
		backends: map[string]*backend{},
		used:     list.New(),
		any:      btree.NewG(treeDegree, faster),
		short:    btree.NewG(treeDegree, faster),
	}
}

// faster is the order of the trees: by measured speed, then by name.
func faster(a, b *backend) bool {
	if a.slow != b.slow {
		return a.slow < b.slow
	}
	return a.name < b.name
}

// Add adds a backend server, which begins with a slow start, or ends the draining of
// one that is known.
func (p *Picker) Add(server string) {
	if b := p.backends[server]; b != nil {
		p.change(b, func() { b.draining = false })
		return
	}
	b := &backend{name: server, limit: startCredit, slow: p.mean() + firstSlow}
	b.used = p.used.PushFront(b)
	p.backends[server] = b
}

// Drain stops new requests to a backend server until Add is called for it again.
func (p *Picker) Drain(server string) {
	if b := p.backends[server]; b != nil {
		p.change(b, func() { b.draining = true })
	}
}

// Remove removes a backend server with its credits.
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

// Grant adds a credit. It reports false if the backend server is unknown.
func (p *Picker) Grant(c Credit) bool {
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

// Revoke removes a credit. It reports false if there is no such unused credit, for
// example because a request already uses it; the agent refuses that request.
func (p *Picker) Revoke(c Credit) bool {
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

// Offer returns the best slot for which there is a credit: the fastest for any
// class, or else the fastest reserved one.
func (p *Picker) Offer(now time.Time) admit.Slot {
	p.release(now)
	if b, ok := p.any.Min(); ok {
		return admit.Slot{Class: admit.AnySlot, Slowdown: p.relative(b)}
	}
	if b, ok := p.short.Min(); ok {
		return admit.Slot{Class: admit.ShortSlot, Slowdown: p.relative(b)}
	}
	return admit.Slot{}
}

// Pick consumes the best credit for a request of the class. A short request gets a
// reserved slot unless the fastest other slot is much faster.
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

// PickOther consumes a credit for a hedge: the best one of any backend server but
// the one that already has the request.
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

// use consumes the oldest credit of a class of a backend server.
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

// reservedBonus is how much slower, as natural logarithm, a reserved slot may be and
// still be preferred for a short request, so that fast slots are left for long
// requests.
const reservedBonus = 0.3

// first returns the backend server to use for a request of the class, and which
// class of its credits; nil if there is none.
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

// Done ends a request on a backend server and updates what is known about that
// server. It returns the run time converted to the mean speed of the fleet.
func (p *Picker) Done(server string, r Result, now time.Time) time.Duration {
	b := p.backends[server]
	if b == nil {
		return r.Took
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
	return time.Duration(float64(r.Took) / p.relative(b))
}

// learn updates the backend server after a success, and the mean over all.
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

// Return ends a request that the agent refused and that has not run. It counts
// neither as success nor as failure.
func (p *Picker) Return(server string) {
	if b := p.backends[server]; b != nil {
		p.change(b, func() { b.inflight = max(0, b.inflight-1) })
	}
}

// Slow returns the run time of requests on a backend server relative to the mean of
// the fleet, or 1 if the server is unknown.
func (p *Picker) Slow(server string) float64 {
	if b := p.backends[server]; b != nil {
		return p.relative(b)
	}
	return 1
}

// mean returns the mean logarithmic slowdown of the backend servers that have
// samples.
func (p *Picker) mean() float64 {
	if p.learned == 0 {
		return 0
	}
	return p.slowSum / float64(p.learned)
}

func (p *Picker) relative(b *backend) float64 { return math.Exp(b.slow - p.mean()) }

// change applies f to a backend server. It takes the server out of the trees before
// and inserts it again after that, because f may change its place in their order.
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
