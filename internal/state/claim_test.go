package state

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (h *harness) claim(key, body, attempt string) Result {
	return h.apply(Command{Claim: &ClaimRequest{
		Team: "linen", Service: "rota", Key: key, BodyHash: body, Entry: "e1", Attempt: attempt,
	}})
}

func (h *harness) settle(key string, epoch uint64, s ClaimState, body string) Result {
	c := SettleClaim{Team: "linen", Key: key, Epoch: epoch, State: s}
	if s == ClaimAnswered {
		c.Answer = &Answer{Status: 200, Header: []Header{{Name: "X", Value: "y"}}, Body: []byte(body)}
	}
	return h.apply(Command{Settle: &c})
}

func TestClaimGrantedOnce(t *testing.T) {
	h := newReadyHarness(t)
	first := h.claim("k", "h", "a1")
	require.True(t, first.Claim.Granted)
	other := h.claim("k", "h", "a2")
	require.NoError(t, other.Err)
	require.False(t, other.Claim.Granted)
	require.Equal(t, ClaimInFlight, other.Claim.Claim.State)
	require.Equal(t, "e1", other.Claim.Claim.Entry)
	resent := h.claim("k", "h", "a1")
	require.True(t, resent.Claim.Granted, "the same attempt proposed twice")
	require.Equal(t, first.Claim.Claim.Epoch, resent.Claim.Claim.Epoch)
	require.ErrorIs(t, h.claim("k", "other", "a3").Err, ErrKeyReused)
}

func TestClaimsInFlight(t *testing.T) {
	h := newReadyHarness(t)
	inFlight := func() (keys []string) {
		for c := range h.state.View().ClaimsInFlight(h.now) {
			keys = append(keys, c.Key)
		}
		return keys
	}
	for _, key := range []string{"k2", "k1", "k3"} {
		h.claim(key, "h", "a")
		h.now = h.now.Add(time.Second)
	}
	require.Equal(t, []string{"k2", "k1", "k3"}, inFlight(), "the oldest first")
	h.restart()
	c, _ := h.state.View().Claim("linen", "k1")
	h.settle("k1", c.Epoch, ClaimNotRun, "")
	require.Equal(t, []string{"k2", "k3"}, inFlight())
	h.claim("k1", "h", "b")
	require.Equal(t, []string{"k2", "k3"}, inFlight(), "granted just now")
	h.now = h.now.Add(72 * time.Hour)
	require.Equal(t, []string{"k2", "k3", "k1"}, inFlight())
	h.mustApply(Command{Expire: &Expire{}})
	require.Empty(t, inFlight())
	require.Zero(t, h.state.View().Counts().ClaimsInFlight)
}

func TestStoredAnswerIsFinal(t *testing.T) {
	h := newReadyHarness(t)
	epoch := h.claim("k", "h", "a1").Claim.Claim.Epoch
	require.NoError(t, h.settle("k", epoch, ClaimAnswered, "done").Err)
	for _, s := range []ClaimState{ClaimNotRun, ClaimUnknown, ClaimAnswered} {
		out := h.settle("k", epoch, s, "late")
		require.ErrorIs(t, out.Err, ErrSettled, s)
		require.Equal(t, "done", string(out.Claim.Claim.Answer.Body))
	}
	h.restart()
	again := h.claim("k", "h", "a2")
	require.False(t, again.Claim.Granted)
	require.Equal(t, "done", string(again.Claim.Claim.Answer.Body))
}

func TestNotRunAllowsNewAttempt(t *testing.T) {
	h := newReadyHarness(t)
	epoch := h.claim("k", "h", "a1").Claim.Claim.Epoch
	require.NoError(t, h.settle("k", epoch, ClaimNotRun, "").Err)
	again := h.claim("k", "h", "a2")
	require.True(t, again.Claim.Granted)
	require.Greater(t, again.Claim.Claim.Epoch, epoch)
	require.ErrorIs(t, h.settle("k", epoch, ClaimAnswered, "late").Err, ErrFenced)
	require.ErrorIs(t, h.claim("k", "other", "a3").Err, ErrKeyReused, "the key stays with its body")
}

func TestUnknownClaimIsNeverGrantedAgain(t *testing.T) {
	h := newReadyHarness(t)
	epoch := h.claim("k", "h", "a1").Claim.Claim.Epoch
	require.NoError(t, h.settle("k", epoch, ClaimUnknown, "").Err)
	require.False(t, h.claim("k", "h", "a1").Claim.Granted)
	require.ErrorIs(t, h.settle("k", epoch, ClaimNotRun, "").Err, ErrSettled)
	require.False(t, h.claim("k", "h", "a2").Claim.Granted)
	require.NoError(t, h.settle("k", epoch, ClaimAnswered, "late").Err, "the answer may still come")
	require.Equal(t, "late", string(h.claim("k", "h", "a2").Claim.Claim.Answer.Body))
}

func TestClaimRetentionFollowsService(t *testing.T) {
	h := newReadyHarness(t)
	h.mustConfirm(setService("short", 1))
	first := h.claim("k", "h", "a1").Claim.Claim
	require.Equal(t, h.now.Add(48*time.Hour), first.Deadline)
	next, ok := h.state.View().NextDeadline()
	require.True(t, ok)
	require.Equal(t, first.Deadline, next, "plans are kept for longer")
	h.now = first.Deadline.Add(-time.Second)
	h.mustApply(Command{Expire: &Expire{}})
	_, ok = h.state.View().Claim("linen", "k")
	require.True(t, ok)
	h.now = first.Deadline
	require.Equal(t, 1, h.mustApply(Command{Expire: &Expire{}}).Expired)
	_, ok = h.state.View().Claim("linen", "k")
	require.False(t, ok)
	require.Greater(t, h.claim("k", "h", "a2").Claim.Claim.Epoch, first.Epoch, "epochs never repeat")
}

func TestInvalidClaimsAreRefused(t *testing.T) {
	h := newReadyHarness(t)
	h.mustConfirm(setService("none", 0))
	invalid := map[string]ClaimRequest{
		"key":  {Team: "linen", Service: "rota", Key: strings.Repeat("k", MaxKeyBytes+1), BodyHash: "h", Entry: "e", Attempt: "a"},
		"body": {Team: "linen", Service: "rota", Key: "k", Entry: "e", Attempt: "a"},
		"team": {Team: "li\xffen", Service: "rota", Key: "k", BodyHash: "h", Entry: "e", Attempt: "a"},
	}
	for field, c := range invalid {
		require.Equal(t, field, c.Check()[0].Field)
		_, err := Encode(Command{Term: 1, Now: startTime, Claim: &c})
		require.ErrorIs(t, err, ErrRefused)
		require.ErrorContains(t, err, field)
		require.ErrorIs(t, h.state.data.claimRequest(c).Err, ErrRefused)
	}
	for field, c := range map[string]ClaimRequest{
		"team":    {Team: "who", Service: "rota", Key: "k", BodyHash: "h", Entry: "e", Attempt: "a"},
		"service": {Team: "linen", Service: "none", Key: "k", BodyHash: "h", Entry: "e", Attempt: "a"},
	} {
		out := h.apply(Command{Claim: &c})
		require.ErrorIs(t, out.Err, ErrRefused)
		require.Equal(t, field, out.Refusals[0].Field)
	}
	for field, c := range map[string]SettleClaim{
		"state":         {State: ClaimInFlight},
		"answer":        {State: ClaimAnswered},
		"answer.status": {State: ClaimAnswered, Answer: &Answer{}},
		"answer.body":   {State: ClaimAnswered, Answer: &Answer{Status: 200, Body: make([]byte, MaxAnswerBytes+1)}},
		"answer.header": {State: ClaimAnswered, Answer: &Answer{Status: 200, Header: []Header{{Name: strings.Repeat("n", MaxHeaderBytes+1)}}}},
	} {
		require.Equal(t, field, c.Check()[0].Field)
	}
	require.ErrorIs(t, h.settle("who", 1, ClaimUnknown, "").Err, ErrNotFound)
}
