package contrl

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// maxHold bounds how long an answer is held back whatever the node asks for.
const maxHold = 5 * time.Second

// leastLeft is what must be left of this process's own knowledge for it to
// answer. One that has been cut off for half the bound sends its nodes away
// while they still have time to turn to another.
const leastLeft = conf.MaxStaleness / 2

// errNotFresh makes the node turn to another control process.
var errNotFresh = &wire.RemoteError{Code: wire.CodeNotLeader, Text: "this control process is cut off from the leader"}

// handleSync answers a heartbeat: at once when something changed for the node,
// or else after the time that the node allows.
func (c *Control) handleSync(ctx context.Context, peer wire.Peer, req *wire.SyncRequest) (*wire.SyncReply, error) {
	arrived := c.env.Clock.Now()
	until := arrived.Add(min(maxHold, time.Duration(req.Waitms)*time.Millisecond))
	c.nodes.answered(peer, req)
	for {
		next := c.mach.next()
		v := c.state.View()
		now := c.env.Clock.Now()
		spare := c.vouchedUntil().Sub(now) - leastLeft
		if spare <= 0 || req.Revision > v.Revision() {
			return nil, errNotFresh
		}
		if c.differs(v, req) || !now.Before(until) {
			break
		}
		if !waitChange(ctx, next, min(until.Sub(now), spare)) {
			return nil, ctx.Err()
		}
	}
	rep, err := c.syncReply(c.state.View(), req)
	if err != nil {
		return nil, err
	}
	now := c.env.Clock.Now()
	left := c.vouchedUntil().Sub(now)
	if left <= 0 {
		return nil, errNotFresh
	}
	// The node counts from the sending of its request, which was no later than
	// its arrival here.
	rep.Vouchms = uint32((now.Sub(arrived) + left).Milliseconds())
	c.nodes.answered(peer, req)
	return rep, nil
}

// waitChange waits for a change, for at most d. It reports false once ctx is
// done.
func waitChange(ctx context.Context, next <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-next:
	case <-t.C:
	}
	return true
}

// differs reports whether the node lacks something.
func (c *Control) differs(v state.View, req *wire.SyncRequest) bool {
	if req.Revision != v.Revision() || req.Full {
		return true
	}
	if req.Worker == "" {
		return false
	}
	w, ok := v.Worker(req.Worker)
	return ok && w.Version != req.Tasks
}

func (c *Control) syncReply(v state.View, req *wire.SyncRequest) (*wire.SyncReply, error) {
	rep := &wire.SyncReply{Revision: v.Revision()}
	if req.Full {
		req.Revision = 0
	}
	if req.Revision != v.Revision() || req.Revision == 0 {
		data, err := json.Marshal(v.Delta(req.Revision).WithCluster(c.env.Node.Cluster))
		if err != nil {
			return nil, errors.Wrap(err, "encode configuration delta")
		}
		rep.Config = data
	}
	if req.Worker == "" {
		return rep, nil
	}
	w, ok := v.Worker(req.Worker)
	if !ok {
		return rep, nil
	}
	rep.Drain = w.DesiredState != model.WorkerReady
	if w.Version == req.Tasks && !req.Full {
		rep.Tasks = req.Tasks
		return rep, nil
	}
	rep.Tasks, rep.Taskschanged = w.Version, true
	rep.Wanted = wantedTasks(v, w)
	return rep, nil
}

// wantedTasks returns what the worker's agent has to carry out. Tasks whose
// member has come to rest are left out.
func wantedTasks(v state.View, w state.Worker) []*wire.Task {
	a, _ := v.Assignments(w.Name, 0)
	out := make([]*wire.Task, 0, len(a.Changed))
	for _, t := range a.Changed {
		j, ok := v.Job(t.Job)
		if !ok || t.Member < len(j.MemberStates) && j.MemberStates[t.Member].Terminal() {
			continue
		}
		out = append(out, &wire.Task{
			Job: t.Job, Member: uint32(t.Member), Epoch: t.Epoch, Phase: string(t.Phase), Command: t.Command,
			Cores: uint32(j.Shape.Cores), Memory: j.Shape.Memory, Accels: uint32(j.Shape.Accels), Team: j.Team,
		})
	}
	return out
}
