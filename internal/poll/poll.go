// Package poll keeps an entry or agent in step with the control processes: a
// heartbeat that is held back at the other end until something changes, so that
// changes arrive at once and an idle process sends one message a second.
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
	// MaxHoldTime is how long a control process may hold an answer back.
	MaxHoldTime = time.Second
	// answerTime is how long a control process may take beyond HoldTime.
	answerTime = 700 * time.Millisecond
	// callTime bounds one try of a call to one control process.
	callTime = 2 * time.Second
	// homeInterval separates two tries to go back home.
	homeInterval = 3 * time.Second
	// retryPause separates two tries when no control process answers.
	retryPause = 100 * time.Millisecond
)

// Link calls a method of one control process.
type Link interface {
	Call(ctx context.Context, method string, req, resp proto.Message) error
	Addr() string
}

// Node is what a Poller speaks for.
type Node interface {
	// Request returns the next heartbeat.
	SyncRequest() *wire.SyncRequest
	// Reply takes an answer. What it says holds until deadline.
	HandleSyncReply(rep *wire.SyncReply, deadline time.Time) error
}

// Poller sends heartbeats to one control process at a time and turns to the
// next one when an answer does not come in time.
type Poller struct {
	links []Link
	node  Node
	clock kern.Clock
	log   *zap.Logger
	cur   atomic.Int64
	home  int64     // the one that the node's name gives
	back  time.Time // when home is tried again
}

// New returns a poller over links, of which there is at least one, for the
// node of that name.
func New(name string, links []Link, node Node, clock kern.Clock, log *zap.Logger) *Poller {
	p := &Poller{links: links, node: node, clock: clock, log: log, home: int64(PreferredIndex(name, len(links)))}
	p.cur.Store(p.home)
	return p
}

// PreferredIndex returns which of n control processes serves the node of that name, so
// that the nodes spread evenly.
func PreferredIndex(name string, n int) int {
	return int(xxhash.Sum64String(name) % uint64(n))
}

// Run polls until ctx is done.
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

// turnHome goes back, now and then, from the control process that stood in to
// the one at home. Without it every node would stay with the first one
// that answers after an election, which is the leader.
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

func (p *Poller) link(n int64) Link { return p.links[n%int64(len(p.links))] }

// once sends one heartbeat. The answer's validity counts from the moment of
// sending, so that neither delay nor a clock's offset can lengthen it.
func (p *Poller) once(ctx context.Context, l Link) error {
	req := p.node.SyncRequest()
	req.Waitms = uint32(MaxHoldTime.Milliseconds())
	sent := p.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, MaxHoldTime+answerTime)
	defer cancel()
	rep := &wire.SyncReply{}
	if err := l.Call(ctx, wire.MethodSync, req, rep); err != nil {
		return err
	}
	return p.node.HandleSyncReply(rep, sent.Add(time.Duration(rep.Vouchms)*time.Millisecond))
}

// Call calls method on a control process. It tries each one in turn until one
// answers or ctx is done; a refusal is an answer.
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

// isRefusal tells a control process's own refusal from a failure to reach the
// leader, after which another control process may do better.
func isRefusal(err error) bool {
	return errors.Is(err, wire.ErrRemote) && !errors.Is(err, wire.ErrNotLeader)
}

// LeaseTerm is how long a task may run on without word from control.
const LeaseTerm = 10 * time.Second

// LeaseDeadline returns until when leases may run, given the deadline until
// which control's answer holds. Both count from the sending of the request.
func LeaseDeadline(vouched time.Time) time.Time {
	return vouched.Add(LeaseTerm - conf.MaxStaleness)
}
