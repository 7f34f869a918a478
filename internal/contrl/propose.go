package contrl

import (
	"context"
	"encoding/hex"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const proposeTimeout = 5 * time.Second

// propose commits a command and returns what the state machine made of it. The
// term fences it: once another leader has begun, it changes nothing.
func (c *Control) propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	l := c.leading()
	if l == nil {
		return state.Result{}, notLeader(replog.ErrNotLeader)
	}
	cmd.Term = l.term
	cmd.Now = c.env.Clock.Now()
	data, err := state.Encode(cmd)
	if err != nil {
		return state.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, res, err := c.node.Propose(ctx, data)
	if err != nil {
		return state.Result{}, notLeader(err)
	}
	out, ok := res.(state.Result)
	if !ok {
		return state.Result{}, errors.Newf("unexpected result %T", res)
	}
	return out, nil
}

// notLeader turns a failure to commit into an error after which the caller
// asks again. Every command that callers send is idempotent.
func notLeader(err error) error {
	if errors.Is(err, replog.ErrTooLarge) {
		return &wire.RemoteError{Code: wire.CodeRefused, Text: err.Error()}
	}
	return &wire.RemoteError{Code: wire.CodeNotLeader, Text: err.Error()}
}

// report commits what agents say of their tasks.
func (c *Control) report(ctx context.Context, req *wire.ReportRequest) (*wire.ReportReply, error) {
	rep := &state.Report{}
	for _, r := range req.Reports {
		st := memberState(r.State)
		if st == state.MemberUnreported {
			continue
		}
		rep.Members = append(rep.Members, state.MemberReport{
			Job: r.Job, Epoch: r.Epoch, Member: int(r.Member), State: st, Reason: r.Reason,
		})
	}
	if len(rep.Members) == 0 {
		return &wire.ReportReply{}, nil
	}
	res, err := c.propose(ctx, state.Command{Report: rep})
	if err != nil {
		return nil, err
	}
	for _, bad := range res.Refused {
		m := rep.Members[bad.Index]
		c.env.Log.Info("report of a task refused", zap.String("job", m.Job), zap.Uint64("epoch", m.Epoch), zap.Error(bad.Err))
	}
	return &wire.ReportReply{}, nil
}

// memberStates maps the platform's task states, as agents report them.
var memberStates = map[string]state.MemberState{
	"held":         state.MemberPrepared,
	"running":      state.MemberRunning,
	"checkpointed": state.MemberStopped, // the platform ends a lease with its checkpoint's stop
	"stopped":      state.MemberStopped,
	"expired":      state.MemberStopped,
	"failed":       state.MemberFailed,
	"done":         state.MemberDone,
}

func memberState(task string) state.MemberState { return memberStates[task] }

// claim commits the claim of a non-idempotent request.
func (c *Control) claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
	cmd := &state.ClaimRequest{
		Team: req.Team, Service: req.Service, Key: req.Key, BodyHash: hashText(req.Hash), Entry: req.Entry, Attempt: req.Attempt,
	}
	res, err := c.propose(ctx, state.Command{Claim: cmd})
	if err != nil {
		return nil, refusedInput(err)
	}
	if res.Err != nil {
		return nil, claimError(res.Err)
	}
	cl := res.Claim.Claim
	rep := &wire.ClaimReply{Epoch: cl.Epoch, Entry: cl.Entry, State: wire.ClaimUnknown}
	switch {
	case res.Claim.Granted:
		rep.State = wire.ClaimGranted
	case cl.State == state.ClaimInFlight:
		rep.State = wire.ClaimRunning
	case cl.State == state.ClaimAnswered && cl.Answer != nil && !cl.Answer.BodyDropped:
		rep.State = wire.ClaimAnswered
		rep.Status, rep.Body = uint32(cl.Answer.Status), cl.Answer.Body
		for _, h := range cl.Answer.Header {
			rep.Headers = append(rep.Headers, &wire.Header{Name: h.Name, Value: []byte(h.Value)})
		}
	}
	return rep, nil
}

func refusedInput(err error) error {
	if errors.Is(err, state.ErrRefused) {
		return &wire.RemoteError{Code: wire.CodeRefused, Text: err.Error()}
	}
	return err
}

func claimError(err error) error {
	switch {
	case errors.Is(err, state.ErrKeyReused):
		return &wire.RemoteError{Code: wire.CodeConflict, Text: err.Error()}
	case errors.Is(err, state.ErrFenced):
		return &wire.RemoteError{Code: wire.CodeNotLeader, Text: err.Error()}
	}
	return &wire.RemoteError{Code: wire.CodeRefused, Text: err.Error()}
}

// settle commits the outcome of a claimed request. An outcome that is there
// already stands.
func (c *Control) settle(ctx context.Context, req *wire.SettleRequest) (*wire.SettleReply, error) {
	cmd := &state.SettleClaim{Team: req.Team, Key: req.Key, Epoch: req.Epoch}
	switch client.Outcome(req.Outcome) {
	case client.OutcomeAnswer:
		cmd.State = state.ClaimAnswered
		cmd.Answer = keptAnswer(req)
	case client.OutcomeNotRun:
		cmd.State = state.ClaimNotRun
	default:
		cmd.State = state.ClaimUnknown
	}
	res, err := c.propose(ctx, state.Command{Settle: cmd})
	if err != nil {
		return nil, refusedInput(err)
	}
	if res.Err != nil && !errors.Is(res.Err, state.ErrSettled) {
		return nil, claimError(res.Err)
	}
	return &wire.SettleReply{}, nil
}

func keptAnswer(req *wire.SettleRequest) *state.Answer {
	a := &state.Answer{Status: int(req.Status), Body: req.Body}
	size := 0
	for _, h := range req.Headers {
		if !utf8.Valid(h.Value) {
			continue
		}
		size += len(h.Name) + len(h.Value)
		a.Header = append(a.Header, state.Header{Name: h.Name, Value: string(h.Value)})
	}
	if size > state.MaxHeaderBytes {
		a.Header = nil
	}
	return a
}

func hashText(sum []byte) string { return hex.EncodeToString(sum) }
