package contrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

type nopChecker struct{}

func (nopChecker) Check(state.View, []model.Op) state.CheckResult { return state.CheckResult{} }

// TestLostClaims checks that a claim is settled as unknown only after its
// service's limit and claimGrace have passed.
func TestLostClaims(t *testing.T) {
	s, now, index := state.New(), time.Unix(1_800_000_000, 0), uint64(0)
	apply := func(cmd state.Command) state.Result {
		cmd.Term, cmd.Now = 1, now
		data, err := state.Encode(cmd)
		require.NoError(t, err)
		index++
		r := s.Apply(index, data).(state.Result)
		require.NoError(t, r.Err)
		return r
	}
	planCommand := state.PreparePlan(s.View(), model.Intent{ID: "i", Operator: "ola", Ops: []model.Op{
		{Kind: model.OpSetTeam, Team: &model.Team{Name: "linen", Weight: 1}},
		{Kind: model.OpSetService, Service: &model.Service{Name: "rota", ShortMs: 100, LimitMs: 60_000, MaxBodyBytes: 1000, KeepDays: 1}},
	}}, nopChecker{}, now, now.Add(time.Minute))
	plan := apply(state.Command{Plan: &planCommand}).Plan
	confirm := state.PrepareConfirm(s.View(), plan.ID, "ola", nopChecker{})
	apply(state.Command{Confirm: &confirm})
	apply(state.Command{Claim: &state.ClaimRequest{Team: "linen", Service: "rota", Key: "van-17", BodyHash: "h", Entry: "e1", Attempt: "a"}})
	require.Empty(t, lostClaims(s.View(), now.Add(time.Minute+claimGrace)))
	lost := lostClaims(s.View(), now.Add(time.Minute+claimGrace+time.Second))
	require.Len(t, lost, 1)
	apply(state.Command{Settle: &lost[0]})
	claim, ok := s.View().Claim("linen", "van-17")
	require.True(t, ok)
	require.Equal(t, state.ClaimUnknown, claim.State)
	require.Empty(t, lostClaims(s.View(), now.Add(time.Hour)))
}
