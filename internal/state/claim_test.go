package state

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (r *rig) claim(key, body, attempt string) Result {
	return r.apply(Command{Claim: &ClaimRequest{
		Team: "linen", Service: "rota", Key: key, Body: body, Entry: "e1", Attempt: attempt,
	}})
}

func (r *rig) settle(key string, epoch uint64, s ClaimState, body string) Result {
	c := SettleClaim{Team: "linen", Key: key, Epoch: epoch, State: s}
	if s == ClaimAnswered {
		c.Answer = &Answer{Status: 200, Header: []Header{{Name: "X", Value: "y"}}, Body: []byte(body)}
	}
	return r.apply(Command{Settle: &c})
}

func TestClaimGrantedOnce(t *testing.T) {
	r := ready(t)
	first := r.claim("k", "h", "a1")
	require.True(t, first.Claim.Granted)
	other := r.claim("k", "h", "a2")
	require.NoError(t, other.Err)
	require.False(t, other.Claim.Granted)
	require.Equal(t, ClaimFlight, other.Claim.Claim.State)
	require.Equal(t, "e1", other.Claim.Claim.Entry)
	same := r.claim("k", "h", "a1")
	require.True(t, same.Claim.Granted, "the same attempt proposed twice")
	require.Equal(t, first.Claim.Claim.Epoch, same.Claim.Claim.Epoch)
	require.ErrorIs(t, r.claim("k", "other", "a3").Err, ErrKeyReused)
}

func TestClaimsInFlight(t *testing.T) {
	r := ready(t)
	late := func() (keys []string) {
		for c := range r.s.View().InFlight(r.now) {
			keys = append(keys, c.Key)
		}
		return keys
	}
	for _, key := range []string{"k2", "k1", "k3"} {
		r.claim(key, "h", "a")
		r.now = r.now.Add(time.Second)
	}
	require.Equal(t, []string{"k2", "k1", "k3"}, late(), "the oldest first")
	r.restart()
	c, _ := r.s.View().Claim("linen", "k1")
	r.settle("k1", c.Epoch, ClaimNotRun, "")
	require.Equal(t, []string{"k2", "k3"}, late())
	r.claim("k1", "h", "b")
	require.Equal(t, []string{"k2", "k3"}, late(), "granted just now")
	r.now = r.now.Add(72 * time.Hour)
	require.Equal(t, []string{"k2", "k3", "k1"}, late())
	r.must(Command{Expire: &Expire{}})
	require.Empty(t, late())
	require.Zero(t, r.s.View().Counts().Flight)
}

func TestStoredAnswerIsFinal(t *testing.T) {
	r := ready(t)
	epoch := r.claim("k", "h", "a1").Claim.Claim.Epoch
	require.NoError(t, r.settle("k", epoch, ClaimAnswered, "done").Err)
	for _, s := range []ClaimState{ClaimNotRun, ClaimUnknown, ClaimAnswered} {
		out := r.settle("k", epoch, s, "late")
		require.ErrorIs(t, out.Err, ErrSettled, s)
		require.Equal(t, "done", string(out.Claim.Claim.Answer.Body))
	}
	r.restart()
	again := r.claim("k", "h", "a2")
	require.False(t, again.Claim.Granted)
	require.Equal(t, "done", string(again.Claim.Claim.Answer.Body))
}

func TestNotRunFreesTheClaim(t *testing.T) {
	r := ready(t)
	epoch := r.claim("k", "h", "a1").Claim.Claim.Epoch
	require.NoError(t, r.settle("k", epoch, ClaimNotRun, "").Err)
	again := r.claim("k", "h", "a2")
	require.True(t, again.Claim.Granted)
	require.Greater(t, again.Claim.Claim.Epoch, epoch)
	require.ErrorIs(t, r.settle("k", epoch, ClaimAnswered, "late").Err, ErrFenced)
	require.ErrorIs(t, r.claim("k", "other", "a3").Err, ErrKeyReused, "the key stays with its body")
}

func TestUnknownIsNeverGrantedAgain(t *testing.T) {
	r := ready(t)
	epoch := r.claim("k", "h", "a1").Claim.Claim.Epoch
	require.NoError(t, r.settle("k", epoch, ClaimUnknown, "").Err)
	require.False(t, r.claim("k", "h", "a1").Claim.Granted)
	require.ErrorIs(t, r.settle("k", epoch, ClaimNotRun, "").Err, ErrSettled)
	require.False(t, r.claim("k", "h", "a2").Claim.Granted)
	require.NoError(t, r.settle("k", epoch, ClaimAnswered, "late").Err, "the answer may still come")
	require.Equal(t, "late", string(r.claim("k", "h", "a2").Claim.Claim.Answer.Body))
}

func TestClaimsAreKeptAsLongAsTheServiceSays(t *testing.T) {
	r := ready(t)
	r.carry(setService("short", 1))
	first := r.claim("k", "h", "a1").Claim.Claim
	require.Equal(t, r.now.Add(48*time.Hour), first.Deadline)
	next, ok := r.s.View().NextDeadline()
	require.True(t, ok)
	require.Equal(t, first.Deadline, next, "plans are kept for longer")
	r.now = first.Deadline.Add(-time.Second)
	r.must(Command{Expire: &Expire{}})
	_, ok = r.s.View().Claim("linen", "k")
	require.True(t, ok)
	r.now = first.Deadline
	require.Equal(t, 1, r.must(Command{Expire: &Expire{}}).Expired)
	_, ok = r.s.View().Claim("linen", "k")
	require.False(t, ok)
	require.Greater(t, r.claim("k", "h", "a2").Claim.Claim.Epoch, first.Epoch, "epochs never repeat")
}

func TestBadClaims(t *testing.T) {
	r := ready(t)
	r.carry(setService("none", 0))
	bad := map[string]ClaimRequest{
		"key":  {Team: "linen", Service: "rota", Key: strings.Repeat("k", MaxKey+1), Body: "h", Entry: "e", Attempt: "a"},
		"body": {Team: "linen", Service: "rota", Key: "k", Entry: "e", Attempt: "a"},
		"team": {Team: "li\xffen", Service: "rota", Key: "k", Body: "h", Entry: "e", Attempt: "a"},
	}
	for field, c := range bad {
		require.Equal(t, field, c.Check()[0].Field)
		_, err := Encode(Command{Term: 1, Now: start, Claim: &c})
		require.ErrorIs(t, err, ErrRefused)
		require.ErrorContains(t, err, field)
		require.ErrorIs(t, r.s.data.claimRequest(c).Err, ErrRefused)
	}
	for field, c := range map[string]ClaimRequest{
		"team":    {Team: "who", Service: "rota", Key: "k", Body: "h", Entry: "e", Attempt: "a"},
		"service": {Team: "linen", Service: "none", Key: "k", Body: "h", Entry: "e", Attempt: "a"},
	} {
		out := r.apply(Command{Claim: &c})
		require.ErrorIs(t, out.Err, ErrRefused)
		require.Equal(t, field, out.Refusals[0].Field)
	}
	for field, c := range map[string]SettleClaim{
		"state":         {State: ClaimFlight},
		"answer":        {State: ClaimAnswered},
		"answer.status": {State: ClaimAnswered, Answer: &Answer{}},
		"answer.body":   {State: ClaimAnswered, Answer: &Answer{Status: 200, Body: make([]byte, MaxAnswer+1)}},
		"answer.header": {State: ClaimAnswered, Answer: &Answer{Status: 200, Header: []Header{{Name: strings.Repeat("n", MaxHeader+1)}}}},
	} {
		require.Equal(t, field, c.Check()[0].Field)
	}
	require.ErrorIs(t, r.settle("who", 1, ClaimUnknown, "").Err, ErrNotFound)
}
