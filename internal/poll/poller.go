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
	// HoldTime is how long a control process may delay an answer.
	HoldTime = time.Second
	// answerTime is the time allowed for an answer in addition to HoldTime.
	answerTime = 700 * time.Millisecond
	// callTime is the timeout of a call to one control process.
	callTime = 2 * time.Second
	// homeInterval is the time between two attempts to return to the preferred process.
	homeInterval = 3 * time.Second
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
	// Request returns the next heartbeat.
	Request() *wire.SyncRequest
	// Reply handles an answer, which is valid until deadline.
	Reply(rep *wire.SyncReply, deadline time.Time) error
}

// Poller sends heartbeats to one control process at a time and switches to the next
// one when an answer does not arrive in time.
type Poller struct {
	links []Link
	node  Node
	clock kern.Clock
	log   *zap.Logger
	cur   atomic.Int64 // index in links of the process in use, modulo their number
	home  int64        // index of the preferred process
	back  time.Time    // time of the next attempt to return to the preferred process; used by Run alone
}

// New returns a Poller for the node of the given name. There must be at least one
// link.
func New(name string, links []Link, node Node, clock kern.Clock, log *zap.Logger) *Poller {
	p := &Poller{links: links, node: node, clock: clock, log: log, home: int64(Home(name, len(links)))}
	p.cur.Store(p.home)
	return p
}

// Home returns the index of the preferred one of n control processes for the node of
// the given name. It depends on the name, so that the nodes spread evenly.
func Home(name string, n int) int {
	return int(xxhash.Sum64String(name) % uint64(n))
}

// Run sends heartbeats until ctx is done.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.turnHome()
		cur := p.cur.Load()
		if err := p.once(ctx, p.link(cur)); err != nil && ctx.Err() == nil {
			p.log.Debug("control process did not answer", zap.String("addr", p.link(cur).Addr()), zap.Error(err))
			p.cur.CompareAndSwap(cur, cur+1)
			kern.Sleep(ctx, retryPause)
		}
	}
	return nil
}

// turnHome returns from a substitute to the preferred control process after a while.
// Otherwise every node would stay with the first one that answers after an election,
// which is the leader.
func (p *Poller) turnHome() {
	now := p.clock.Now()
	cur := p.cur.Load()
	if (cur-p.home)%int64(len(p.links)) == 0 || now.Before(p.back) {
		return
	}
	if !p.back.IsZero() {
		p.cur.CompareAndSwap(cur, p.home)
	}
	p.back = now.Add(homeInterval)
}

// link returns the link of index n, modulo the number of links.
func (p *Poller) link(n int64) Link { return p.links[n%int64(len(p.links))] }

// once sends one heartbeat. The validity of the answer is counted from the time of
// sending, so that neither network delay nor a clock offset can lengthen it.
func (p *Poller) once(ctx context.Context, l Link) error {
	req := p.node.Request()
	req.Waitms = uint32(HoldTime.Milliseconds())
	sent := p.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, HoldTime+answerTime)
	defer cancel()
	rep := &wire.SyncReply{}
	if err := l.Call(ctx, wire.MethodSync, req, rep); err != nil {
		return err
	}
	return p.node.Reply(rep, sent.Add(time.Duration(rep.Vouchms)*time.Millisecond))
}

// Call calls a method of a control process. It tries them in turn until one answers or
// ctx is done. A refusal counts as an answer.
func (p *Poller) Call(ctx context.Context, method string, req, resp proto.Message) error {
	for {
		cur := p.cur.Load()
		err := p.try(ctx, p.link(cur), method, req, resp)
		if err == nil || isRefusal(err) {
			return err
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "call %s", method)
		}
		p.cur.CompareAndSwap(cur, cur+1)
		kern.Sleep(ctx, retryPause)
	}
}

func (p *Poller) try(ctx context.Context, l Link, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
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

// LeaseDeadline returns the end of leases, given the end of the validity of the answer
// of control. Both are counted from the time when the heartbeat was sent.
func LeaseDeadline(vouched time.Time) time.Time {
	return vouched.Add(LeaseTerm - conf.Bound)
}
