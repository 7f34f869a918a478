package contrl

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/state"
)

const (
	// claimGrace is the time after a service's limit until a claim without an
	// outcome is settled as unknown.
	claimGrace      = 30 * time.Second
	maxLostPerRound = 64 // claims settled in one round
)

// lostClaims returns the settlements for claims without an outcome whose time
// has run out, as when the entry or agent failed before it reported one. The
// requests may have run, so the claims are settled as unknown. An answer that
// arrives later is still stored.
func lostClaims(v state.View, now time.Time) []state.SettleClaim {
	var out []state.SettleClaim
	for cl := range v.ClaimsInFlight(now.Add(-claimGrace)) {
		svc, _ := v.Config().Service(cl.Service)
		limit := time.Duration(svc.LimitMs) * time.Millisecond
		if now.Sub(cl.GrantedAt) <= limit+claimGrace {
			continue
		}
		out = append(out, state.SettleClaim{Team: cl.Team, Key: cl.Key, Epoch: cl.Epoch, State: state.ClaimUnknown})
		if len(out) == maxLostPerRound {
			break
		}
	}
	return out
}

// settleLostClaims settles the claims whose outcome will not be reported any more.
func (l *leader) settleLostClaims(ctx context.Context, now time.Time) error {
	for _, s := range lostClaims(l.c.state.View(), now) {
		if _, err := l.c.propose(ctx, state.Command{Settle: &s}); err != nil {
			return err
		}
		l.c.env.Log.Warn("outcome of a claimed request is lost", zap.String("team", s.Team), zap.Uint64("epoch", s.Epoch))
	}
	return nil
}
