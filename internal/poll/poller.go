// Package poll keeps an entry or agent up to date by long polling of the control
// processes: the answer to a heartbeat is delayed until something changes, so that
// changes arrive at once and an idle process sends only one message per second.
package poll

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	// MaxHoldTime is how long a control process may delay an answer.
	MaxHoldTime = time.Second
	// answerMargin is the time allowed for an answer in addition to MaxHoldTime.
	answerMargin = 700 * time.Millisecond
	// callTimeout is the timeout of a call to one control process.
	callTimeout = 2 * time.Second
	// returnInterval is the time between two attempts to return to the preferred process.
	returnInterval = 3 * time.Second
	// retryPause is the time between two attempts when a control process does not answer.
	retryPause = 100 * time.Millisecond
)

// Link calls methods of one control process.
type Link interface {
	Call(ctx context.Context, method string, req, resp proto.Message) error
	Addr() string
}

// Node is the entry or agent for which a Poller sends heartbeats.
type Node interface {
	// SyncRequest returns the next heartbeat.
	SyncRequest() *wire.SyncRequest
	// HandleSyncReply handles an answer, which is valid until freshUntil.
	HandleSyncReply(rep *wire.SyncReply, freshUntil time.Time) error
}

// Poller sends heartbeats to one control process at a time and switches to the next
// one when an answer does not arrive in time.
type Poller struct {
	links      []Link
	node       Node
	clock      kern.Clock
	log        *zap.Logger
	current    atomic.Int64 // index in links of the process in use, modulo their number
	preferred  int64        // index of the preferred process
	nextReturn time.Time    // time of the next attempt to return to the preferred process; used by Run alone
}

// New returns a Poller for the node of the given name. There must be at least one
// link.
func New(name string, links []Link, node Node, clock kern.Clock, log *zap.Logger) *Poller {
	p := &Poller{links: links, node: node, clock: clock, log: log, preferred: int64(PreferredIndex(name, len(links)))}
	p.current.Store(p.preferred)
	return p
}

// PreferredIndex returns the index of the preferred one of n control processes for the node of
// the given name. It depends on the name, so that the nodes spread evenly.
func PreferredIndex(name string, n int) int {
	return int(xxhash.Sum64String(name) % uint64(n))
}

// Run sends heartbeats until ctx is done.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.returnToPreferred()
		current := p.current.Load()
		if err := p.sendHeartbeat(ctx, p.linkAt(current)); err != nil && ctx.Err() == nil {
			p.log.Debug("control process did not answer", zap.String("addr", p.linkAt(current).Addr()), zap.Error(err))
			p.current.CompareAndSwap(current, current+1)
			kern.Sleep(ctx, retryPause)
		}
	}
	return nil
}

// returnToPreferred returns from a substitute to the preferred control process after a while.
// Otherwise every node would stay with the first one that answers after an election,
// which is the leader.
func (p *Poller) returnToPreferred() {
	now := p.clock.Now()
	current := p.current.Load()
	if (current-p.preferred)%int64(len(p.links)) == 0 || now.Before(p.nextReturn) {
		return
	}
	if !p.nextReturn.IsZero() {
		p.current.CompareAndSwap(current, p.preferred)
	}
	p.nextReturn = now.Add(returnInterval)
}

// linkAt returns the link of index n, modulo the number of links.
func (p *Poller) linkAt(n int64) Link { return p.links[n%int64(len(p.links))] }

// sendHeartbeat sends one heartbeat. The validity of the answer is counted from the time of
// sending, so that neither network delay nor a clock offset can lengthen it.
func (p *Poller) sendHeartbeat(ctx context.Context, l Link) error {
	req := p.node.SyncRequest()
	req.Waitms = uint32(MaxHoldTime.Milliseconds())
	sent := p.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, MaxHoldTime+answerMargin)
	defer cancel()
	reply := &wire.SyncReply{}
	if err := l.Call(ctx, wire.MethodSync, req, reply); err != nil {
		return err
	}
	return p.node.HandleSyncReply(reply, sent.Add(time.Duration(reply.Vouchms)*time.Millisecond))
}

// Call calls a method of a control process. It tries them in turn until one answers or
// ctx is done. A refusal counts as an answer.
func (p *Poller) Call(ctx context.Context, method string, req, resp proto.Message) error {
	for {
		current := p.current.Load()
		err := p.callOnce(ctx, p.linkAt(current), method, req, resp)
		if err == nil || isRefusal(err) {
			return err
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "call %s", method)
		}
		p.current.CompareAndSwap(current, current+1)
		kern.Sleep(ctx, retryPause)
	}
}

func (p *Poller) callOnce(ctx context.Context, l Link, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.Call(ctx, method, req, resp)
}

// isRefusal reports whether the control process refused the call itself. It reports
// false if the process or the leader could not be reached, because another process may
// succeed then.
func isRefusal(err error) bool {
	return errors.Is(err, wire.ErrRemote) && !errors.Is(err, wire.ErrNotLeader)
}

// LeaseTerm is how long a task may run on without an answer from control.
const LeaseTerm = 10 * time.Second

// LeaseDeadline returns the end of leases, given the time until which the answer
// of control is valid. Both are counted from the time when the heartbeat was sent.
func LeaseDeadline(freshUntil time.Time) time.Time {
	return freshUntil.Add(LeaseTerm - conf.MaxStaleness)
}
