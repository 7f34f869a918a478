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

// propose commits a command and returns the state machine's result. The command
// carries the term, so that it has no effect once another leader's term has begun.
func (c *Control) propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	l := c.activeLeader()
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

// notLeader converts an error of a commit to one after which the caller asks
// again, or to a refusal if the command is too large. Asking again is safe, since
// every command that callers send is idempotent.
func notLeader(err error) error {
	if errors.Is(err, replog.ErrTooLarge) {
		return &wire.RemoteError{Code: wire.CodeRefused, Text: err.Error()}
	}
	return &wire.RemoteError{Code: wire.CodeNotLeader, Text: err.Error()}
}

// handleReport commits the task states that an agent reports.
func (c *Control) handleReport(ctx context.Context, req *wire.ReportRequest) (*wire.ReportReply, error) {
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
	for _, refused := range res.Refused {
		m := rep.Members[refused.Index]
		c.env.Log.Info("task report refused", zap.String("job", m.Job), zap.Uint64("epoch", m.Epoch), zap.Error(refused.Err))
	}
	return &wire.ReportReply{}, nil
}

// memberStates maps the platform's task states, as agents report them, to states
// of gang members.
var memberStates = map[string]state.MemberState{
	"held":         state.MemberPrepared,
	"running":      state.MemberRunning,
	"checkpointed": state.MemberStopped, // the platform ends the lease when it stops the task after a checkpoint
	"stopped":      state.MemberStopped,
	"expired":      state.MemberStopped,
	"failed":       state.MemberFailed,
	"done":         state.MemberDone,
}

func memberState(taskState string) state.MemberState { return memberStates[taskState] }

// handleClaim commits the claim of a non-idempotent request.
func (c *Control) handleClaim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
	cmd := &state.ClaimRequest{
		Team: req.Team, Service: req.Service, Key: req.Key, BodyHash: hexHash(req.Hash), Entry: req.Entry, Attempt: req.Attempt,
	}
	res, err := c.propose(ctx, state.Command{Claim: cmd})
	if err != nil {
		return nil, refusalError(err)
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

// refusalError converts state.ErrRefused to an error for the caller.
func refusalError(err error) error {
	if errors.Is(err, state.ErrRefused) {
		return &wire.RemoteError{Code: wire.CodeRefused, Text: err.Error()}
	}
	return err
}

// claimError converts an error of the state machine to one for the caller.
func claimError(err error) error {
	switch {
	case errors.Is(err, state.ErrKeyReused):
		return &wire.RemoteError{Code: wire.CodeConflict, Text: err.Error()}
	case errors.Is(err, state.ErrFenced):
		return &wire.RemoteError{Code: wire.CodeNotLeader, Text: err.Error()}
	}
	return &wire.RemoteError{Code: wire.CodeRefused, Text: err.Error()}
}

// handleSettle commits the outcome of a claimed request. If the claim already has an
// outcome, that one is kept, except that an answer replaces an unknown outcome.
func (c *Control) handleSettle(ctx context.Context, req *wire.SettleRequest) (*wire.SettleReply, error) {
	cmd := &state.SettleClaim{Team: req.Team, Key: req.Key, Epoch: req.Epoch}
	switch client.Outcome(req.Outcome) {
	case client.OutcomeAnswer:
		cmd.State = state.ClaimAnswered
		cmd.Answer = storedAnswer(req)
	case client.OutcomeNotRun:
		cmd.State = state.ClaimNotRun
	default:
		cmd.State = state.ClaimUnknown
	}
	res, err := c.propose(ctx, state.Command{Settle: cmd})
	if err != nil {
		return nil, refusalError(err)
	}
	if res.Err != nil && !errors.Is(res.Err, state.ErrSettled) {
		return nil, claimError(res.Err)
	}
	return &wire.SettleReply{}, nil
}

// storedAnswer returns the answer to be stored. It omits header values that aren't
// UTF-8, and all headers if they exceed state.MaxHeaderBytes.
func storedAnswer(req *wire.SettleRequest) *state.Answer {
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

func hexHash(sum []byte) string { return hex.EncodeToString(sum) }
