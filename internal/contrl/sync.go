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

// maxSyncWait bounds how long an answer is held back, even if the node allows more.
const maxSyncWait = 5 * time.Second

// minFreshness is how long this process's state must still be fresh for it to answer
// a heartbeat. A process that has been cut off from the leader for half of
// conf.MaxStaleness refuses its nodes while they still have time to try another one.
const minFreshness = conf.MaxStaleness / 2

// errNotFresh makes the node try another control process.
var errNotFresh = &wire.RemoteError{Code: wire.CodeNotLeader, Text: "this control process is cut off from the leader"}

// handleSync answers a heartbeat: as soon as the node lacks a change, or else after
// the wait that the node asks for.
func (c *Control) handleSync(ctx context.Context, peer wire.Peer, req *wire.SyncRequest) (*wire.SyncReply, error) {
	receivedAt := c.env.Clock.Now()
	answerBy := receivedAt.Add(min(maxSyncWait, time.Duration(req.Waitms)*time.Millisecond))
	c.nodes.recordAnswer(peer, req)
	for {
		changed := c.machine.nextChange()
		v := c.state.View()
		now := c.env.Clock.Now()
		maxWait := c.freshDeadline().Sub(now) - minFreshness
		if maxWait <= 0 || req.Revision > v.Revision() {
			return nil, errNotFresh
		}
		if c.needsUpdate(v, req) || !now.Before(answerBy) {
			break
		}
		if !waitChange(ctx, changed, min(answerBy.Sub(now), maxWait)) {
			return nil, ctx.Err()
		}
	}
	rep, err := c.syncReply(c.state.View(), req)
	if err != nil {
		return nil, err
	}
	now := c.env.Clock.Now()
	remaining := c.freshDeadline().Sub(now)
	if remaining <= 0 {
		return nil, errNotFresh
	}
	// The node counts from when it sent the request, which was no later than its
	// arrival here.
	rep.Vouchms = uint32((now.Sub(receivedAt) + remaining).Milliseconds())
	c.nodes.recordAnswer(peer, req)
	return rep, nil
}

// waitChange waits for a change, for at most d. It reports false once ctx is
// done.
func waitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return true
}

// needsUpdate reports whether the node lacks a change of configuration or tasks, or
// asks for a full copy.
func (c *Control) needsUpdate(v state.View, req *wire.SyncRequest) bool {
	if req.Revision != v.Revision() || req.Full {
		return true
	}
	if req.Worker == "" {
		return false
	}
	w, ok := v.Worker(req.Worker)
	return ok && w.Version != req.Tasks
}

// syncReply returns the configuration changes and tasks that the node lacks.
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

// wantedTasks returns the tasks that the worker's agent has to run or hold, without
// those whose member is in a terminal state.
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
