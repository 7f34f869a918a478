package guard

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// ErrFull is returned if the budget has no room. Nothing of the request has run.
var ErrFull = errors.New("too much held for clients")

// ErrTooLarge is returned for a request that exceeds the whole budget. It is never served here.
var ErrTooLarge = errors.New("larger than all that may be held for clients")

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Budget is what a process may hold for clients. A nil Budget limits nothing.
type Budget struct {
	limits  Limits
	clock   Clock
	log     *zap.Logger
	metrics tally.Scope

	mu       sync.Mutex
	used     int64
	holders  map[*Holder]bool
	byClient map[netip.Addr]int
	refused  map[Reason]int // since the last log line
	loggedAt time.Time
}

// Reason says why a client was turned away.
type Reason string

// Values of Reason.
const (
	ReasonConns  Reason = "conns"  // too many connections
	ReasonClient Reason = "client" // too many connections from one address
	ReasonBytes  Reason = "bytes"  // no room for the request
	ReasonSlow   Reason = "slow"   // closed to make room
	ReasonIdle   Reason = "idle"   // closed between two requests to make room
)

// logInterval is the least time between two log lines about clients turned away.
const logInterval = 5 * time.Second

// New returns an empty budget.
func New(limits Limits, clock Clock, log *zap.Logger, metrics tally.Scope) *Budget {
	return &Budget{
		limits: limits, clock: clock, log: log, metrics: metrics,
		holders: map[*Holder]bool{}, byClient: map[netip.Addr]int{}, refused: map[Reason]int{},
	}
}

// Handshakes returns a budget for the connections from other processes that haven't proved who they are.
func (b *Budget) Handshakes() *Budget {
	if b == nil {
		return nil
	}
	n := b.limits.Handshakes
	return New(Limits{Bytes: int64(n) * connBytes, Conns: n}, b.clock, b.log, b.metrics.SubScope("handshake"))
}

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }

// Admit takes room for a connection and returns its holder, or nil if there is none. cut closes the connection; it
// is called at most once, from another goroutine, and must not block.
func (b *Budget) Admit(client netip.Addr, cut func()) *Holder {
	b.mu.Lock()
	h, cuts := b.admit(client, cut)
	b.mu.Unlock()
	run(cuts)
	return h
}

func (b *Budget) admit(client netip.Addr, cut func()) (*Holder, []func()) {
	now := b.clock.Now()
	if b.limits.Client > 0 && b.byClient[client] >= b.limits.Client {
		b.count(ReasonClient, now)
		return nil, nil
	}
	var cuts []func()
	for len(b.holders) >= b.limits.Conns || b.used+connBytes > b.limits.Bytes {
		victim := b.victim(nil, now)
		if victim == nil {
			b.count(ReasonConns, now)
			return nil, cuts
		}
		cuts = append(cuts, b.evict(victim, now))
	}
	h := &Holder{budget: b, client: client, cut: cut, bytes: connBytes, phase: PhaseHead, startedAt: now, movedAt: now}
	b.holders[h] = true
	b.byClient[client]++
	b.used += connBytes
	b.gauge()
	return h, cuts
}

// take takes n bytes for h.
func (b *Budget) take(h *Holder, n int64) ([]func(), error) {
	now := b.clock.Now()
	if b.holders[h] && h.bytes+n > b.limits.Bytes {
		b.count(ReasonBytes, now)
		return nil, ErrTooLarge
	}
	var cuts []func()
	for {
		if !b.holders[h] {
			return cuts, ErrFull
		}
		if b.hasRoom(h, n) {
			h.bytes += n
			b.used += n
			return cuts, nil
		}
		victim := b.victim(h, now)
		if victim == nil {
			b.count(ReasonBytes, now)
			return cuts, ErrFull
		}
		cuts = append(cuts, b.evict(victim, now))
	}
}

// hasRoom reports whether h may take n more bytes. Small requests may use the whole budget. A request that is alone
// may use it too, whatever its size.
func (b *Budget) hasRoom(h *Holder, n int64) bool {
	limit := b.limits.unreserved()
	if h.bytes+n <= smallBytes || b.used-h.bytes <= int64(len(b.holders)-1)*connBytes {
		limit = b.limits.Bytes
	}
	return b.used+n <= limit
}

// evict removes a holder and returns the function that closes its connection.
func (b *Budget) evict(h *Holder, now time.Time) func() {
	reason := ReasonSlow
	if h.phase == PhaseIdle {
		reason = ReasonIdle
	}
	b.count(reason, now)
	b.remove(h)
	return h.cut
}

// remove removes a holder with all that it holds.
func (b *Budget) remove(h *Holder) {
	if !b.holders[h] {
		return
	}
	delete(b.holders, h)
	b.used -= h.bytes
	if b.byClient[h.client]--; b.byClient[h.client] <= 0 {
		delete(b.byClient, h.client)
	}
	b.gauge()
}

// count counts a client that was turned away. It writes at most one line in logInterval.
func (b *Budget) count(reason Reason, now time.Time) {
	b.metrics.Tagged(map[string]string{"why": string(reason)}).Counter("turned_away").Inc(1)
	b.refused[reason]++
	if now.Sub(b.loggedAt) < logInterval {
		return
	}
	b.loggedAt = now
	b.log.Warn("clients turned away", zap.Any("why", b.refused), zap.Int64("bytes", b.used), zap.Int("conns", len(b.holders)))
	b.refused = map[Reason]int{}
}

func (b *Budget) gauge() {
	b.metrics.Gauge("bytes").Update(float64(b.used))
	b.metrics.Gauge("conns").Update(float64(len(b.holders)))
}

func run(cuts []func()) {
	for _, cut := range cuts {
		cut()
	}
}
