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
	backends       map[string]*backend
	anyTree        *btree.BTreeG[*backend] // usable backend servers with credits for any class, the fastest first
	shortTree      *btree.BTreeG[*backend] // usable backend servers with reserved credits, the fastest first
	suspended      []*backend
	lru            *list.List // all backend servers, the least recently used first
	picks          int        // number of calls of Pick that returned a credit
	logSlowdownSum float64    // sum of the logarithmic slowdowns of the backend servers that have samples
	measured       int        // number of backend servers that have samples
}

// treeDegree is the degree of the B-trees.
const treeDegree = 16

// NewPicker returns a picker without backend servers.
func NewPicker() *Picker {
	return &Picker{
		backends:  map[string]*backend{},
		lru:       list.New(),
		anyTree:   btree.NewG(treeDegree, faster),
		shortTree: btree.NewG(treeDegree, faster),
	}
}

// faster is the order of the trees: by measured speed, then by name.
func faster(a, b *backend) bool {
	if a.logSlowdown != b.logSlowdown {
		return a.logSlowdown < b.logSlowdown
	}
	return a.name < b.name
}

// Add adds a backend server, which begins with a slow start, or ends the draining of
// one that is known.
func (p *Picker) Add(server string) {
	if b := p.backends[server]; b != nil {
		p.update(b, func() { b.draining = false })
		return
	}
	b := &backend{name: server, maxInflight: initialInflight, logSlowdown: p.meanLogSlowdown() + initialLogSlowdown}
	b.lruElement = p.lru.PushFront(b)
	p.backends[server] = b
}

// Drain stops new requests to a backend server until Add is called for it again.
func (p *Picker) Drain(server string) {
	if b := p.backends[server]; b != nil {
		p.update(b, func() { b.draining = true })
	}
}

// Remove removes a backend server with its credits.
func (p *Picker) Remove(server string) {
	b := p.backends[server]
	if b == nil {
		return
	}
	p.removeFromTrees(b)
	p.lru.Remove(b.lruElement)
	if b.samples > 0 {
		p.logSlowdownSum -= b.logSlowdown
		p.measured--
	}
	delete(p.backends, server)
	p.removeSuspended(b)
}

// AddCredit adds a credit. It reports false if the backend server is unknown.
func (p *Picker) AddCredit(c Credit) bool {
	b := p.backends[c.Server]
	if b == nil {
		return false
	}
	p.update(b, func() {
		ids := b.credits(c.Class)
		*ids = append(*ids, c.ID)
	})
	return true
}

// RevokeCredit removes a credit. It reports false if there is no such unused credit, for
// example because a request already uses it; the agent refuses that request.
func (p *Picker) RevokeCredit(c Credit) bool {
	b := p.backends[c.Server]
	if b == nil {
		return false
	}
	ids := b.credits(c.Class)
	for i, id := range *ids {
		if id == c.ID {
			p.update(b, func() { *ids = append((*ids)[:i], (*ids)[i+1:]...) })
			return true
		}
	}
	return false
}

// BestSlot returns the best slot for which there is a credit: the fastest for any
// class, or else the fastest reserved one.
func (p *Picker) BestSlot(now time.Time) admit.Slot {
	p.endSuspensions(now)
	if b, ok := p.anyTree.Min(); ok {
		return admit.Slot{Class: admit.AnySlot, Slowdown: p.relativeSlowdown(b)}
	}
	if b, ok := p.shortTree.Min(); ok {
		return admit.Slot{Class: admit.ShortSlot, Slowdown: p.relativeSlowdown(b)}
	}
	return admit.Slot{}
}

// Pick consumes the best credit for a request of the class. A short request gets a
// reserved slot unless the fastest other slot is much faster.
func (p *Picker) Pick(class admit.Class, now time.Time) (Credit, bool) {
	p.endSuspensions(now)
	best, slotClass := p.fastest(class)
	if best == nil {
		return Credit{}, false
	}
	p.picks++
	if p.picks%exploreInterval == 0 {
		best, slotClass = p.explorationTarget(class, best, slotClass)
	}
	return p.useCredit(best, slotClass), true
}

// PickOther consumes a credit for a hedge: the best one of any backend server but
// the one that already has the request.
func (p *Picker) PickOther(class admit.Class, server string, now time.Time) (Credit, bool) {
	p.endSuspensions(now)
	var best *backend
	slotClass := admit.AnySlot
	consider := func(creditClass admit.SlotClass) func(*backend) bool {
		return func(b *backend) bool {
			if b.name == server {
				return true
			}
			if best == nil || faster(b, best) {
				best, slotClass = b, creditClass
			}
			return false
		}
	}
	if class == admit.Short {
		p.shortTree.Ascend(consider(admit.ShortSlot))
	}
	p.anyTree.Ascend(consider(admit.AnySlot))
	if best == nil {
		return Credit{}, false
	}
	return p.useCredit(best, slotClass), true
}

// useCredit consumes the oldest credit of a class of a backend server.
func (p *Picker) useCredit(b *backend, slotClass admit.SlotClass) Credit {
	c := Credit{Server: b.name, Class: slotClass}
	p.lru.MoveToBack(b.lruElement)
	p.update(b, func() {
		ids := b.credits(slotClass)
		c.ID = (*ids)[0]
		*ids = (*ids)[1:]
		b.inflight++
	})
	return c
}

// reservedLogTolerance is how much slower, as natural logarithm, a reserved slot may be and
// still be preferred for a short request, so that fast slots are left for long
// requests.
const reservedLogTolerance = 0.3

// fastest returns the backend server to use for a request of the class, and which
// class of its credits; nil if there is none.
func (p *Picker) fastest(class admit.Class) (*backend, admit.SlotClass) {
	anyBest, ok := p.anyTree.Min()
	if !ok {
		anyBest = nil
	}
	if class == admit.Long {
		return anyBest, admit.AnySlot
	}
	shortBest, ok := p.shortTree.Min()
	if ok && (anyBest == nil || shortBest.logSlowdown <= anyBest.logSlowdown+reservedLogTolerance) {
		return shortBest, admit.ShortSlot
	}
	return anyBest, admit.AnySlot
}

// Done ends a request on a backend server and updates what is known about that
// server. It returns the run time converted to the mean speed of the fleet.
func (p *Picker) Done(server string, r Result, now time.Time) time.Duration {
	b := p.backends[server]
	if b == nil {
		return r.RunTime
	}
	p.update(b, func() {
		b.inflight = max(0, b.inflight-1)
		if r.OK {
			p.recordSuccess(b, r)
			return
		}
		b.recordFailure()
		if b.consecutiveFails >= maxConsecutiveFails || b.suspensions > 0 {
			p.suspend(b, now)
		}
	})
	return time.Duration(float64(r.RunTime) / p.relativeSlowdown(b))
}

// recordSuccess updates the backend server after a success, and the mean over all.
func (p *Picker) recordSuccess(b *backend, r Result) {
	samples, before := b.samples, b.logSlowdown
	b.recordSuccess(r)
	switch {
	case samples > 0:
		p.logSlowdownSum += b.logSlowdown - before
	case b.samples > 0:
		p.logSlowdownSum += b.logSlowdown
		p.measured++
	}
}

// DoneNotRun ends a request that the agent refused and that has not run. It counts
// neither as success nor as failure.
func (p *Picker) DoneNotRun(server string) {
	if b := p.backends[server]; b != nil {
		p.update(b, func() { b.inflight = max(0, b.inflight-1) })
	}
}

// Slowdown returns the run time of requests on a backend server relative to the mean of
// the fleet, or 1 if the server is unknown.
func (p *Picker) Slowdown(server string) float64 {
	if b := p.backends[server]; b != nil {
		return p.relativeSlowdown(b)
	}
	return 1
}

// meanLogSlowdown returns the mean logarithmic slowdown of the backend servers that have
// samples.
func (p *Picker) meanLogSlowdown() float64 {
	if p.measured == 0 {
		return 0
	}
	return p.logSlowdownSum / float64(p.measured)
}

func (p *Picker) relativeSlowdown(b *backend) float64 {
	return math.Exp(b.logSlowdown - p.meanLogSlowdown())
}

// update applies f to a backend server. It takes the server out of the trees before
// and inserts it again after that, because f may change its place in their order.
func (p *Picker) update(b *backend, f func()) {
	p.removeFromTrees(b)
	f()
	if !b.usable() {
		return
	}
	if len(b.shortCredits) > 0 {
		p.shortTree.ReplaceOrInsert(b)
		b.inTree[0] = true
	}
	if len(b.anyCredits) > 0 {
		p.anyTree.ReplaceOrInsert(b)
		b.inTree[1] = true
	}
}

func (p *Picker) removeFromTrees(b *backend) {
	if b.inTree[0] {
		p.shortTree.Delete(b)
	}
	if b.inTree[1] {
		p.anyTree.Delete(b)
	}
	b.inTree = [2]bool{}
}
