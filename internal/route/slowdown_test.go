package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// TestLearnedSpeedAndRunTimeDoNotDiverge checks that the estimates of server speeds and of run
// times, each of which is computed from the other, do not drift without bound. Ten
// equal backend servers answer very short requests, sent one at a time, so that the
// server that is taken for the fastest gets them all.
func TestLearnedSpeedAndRunTimeDoNotDiverge(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	q := admit.New(admit.Options{}.Defaults())
	q.SetTeams([]model.Team{{Name: "linen", Slots: 16, Weight: 1}})
	q.SetServices([]model.Service{{Name: "rota", ShortMs: 200, LimitMs: 20_000}})
	q.SetCapacity("rota", 80, 1)
	p := NewPicker()
	for i := range 10 {
		name := fmt.Sprint("agt", i)
		p.Add(name)
		for k := range 8 {
			p.AddCredit(Credit{Server: name, ID: uint64(100*i + k + 1), Class: admit.AnySlot})
		}
	}
	for n := range 5000 {
		r := admit.Request{ID: fmt.Sprint(n), Team: "linen", Service: "rota", Idempotent: true}
		require.NoError(t, q.Push(r, now), "request %d", n)
		r, ok := q.PopSlot("rota", p.BestSlot(now), now)
		require.True(t, ok)
		c, ok := p.Pick(r.Class, now)
		require.True(t, ok)
		runTime := 300 * time.Microsecond
		now = now.Add(runTime)
		meanSpeedRunTime := p.Done(c.Server, Result{ExpectedRunTime: q.ExpectedRunTime(r), RunTime: runTime, OK: true}, now)
		q.Done(r, meanSpeedRunTime, admit.OutcomeAnswer, now)
		p.AddCredit(c)
	}
	require.InDelta(t, 300e-6, q.ExpectedRunTime(admit.Request{Team: "linen", Service: "rota"}).Seconds(), 600e-6)
}
