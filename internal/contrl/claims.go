package contrl

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/state"
)

const (
	// claimGrace is kept beyond a service's limit before a claim without an
	// outcome is given up.
	claimGrace = 30 * time.Second
	maxLost    = 64 // claims given up in one round
)

// lostClaims returns the settlements of claims whose entry or agent died with
// the outcome. They may have run, so they are settled as unknown; an answer
// that still comes is kept.
func lostClaims(v state.View, now time.Time) []state.SettleClaim {
	var out []state.SettleClaim
	for cl := range v.ClaimsInFlight(now.Add(-claimGrace)) {
		svc, _ := v.Config().Service(cl.Service)
		limit := time.Duration(svc.LimitMs) * time.Millisecond
		if now.Sub(cl.GrantedAt) <= limit+claimGrace {
			continue
		}
		out = append(out, state.SettleClaim{Team: cl.Team, Key: cl.Key, Epoch: cl.Epoch, State: state.ClaimUnknown})
		if len(out) == maxLost {
			break
		}
	}
	return out
}

// settleLost gives up the claims that nobody will settle.
func (l *lead) settleLost(ctx context.Context, now time.Time) error {
	for _, s := range lostClaims(l.c.state.View(), now) {
		if _, err := l.c.propose(ctx, state.Command{Settle: &s}); err != nil {
			return err
		}
		l.c.env.Log.Warn("outcome of a claimed request is lost", zap.String("team", s.Team), zap.Uint64("epoch", s.Epoch))
	}
	return nil
}
