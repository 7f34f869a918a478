package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// printStep prints one line of the demo if the flag verbose is set.
func printStep(format string, args ...any) {
	if *verbose {
		fmt.Printf("%-28s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
	}
}

// TestDemo runs the usual deployment with few agents and workers: requests of
// each kind, a gang, a drain under load and an orderly shutdown.
func TestDemo(t *testing.T) {
	c := newCluster(t, smallCluster)
	c.awaitEntries()
	printStep("started: %d control, %d entries, %d agents in 3 failure domains", len(c.controls), len(c.entries), len(c.agents))
	c.configure()
	printStep("configured by intent, plan and confirm: 2 teams, 1 service, 1 guaranteed shape")
	c.awaitAgents(len(c.agents))
	printStep("announced: %d backend servers, ready at both entries", len(c.agents))

	demoCalls(t, c)
	demoGang(c)
	demoDrain(t, c)
	for _, p := range append(append(append([]*proc{}, c.agents...), c.entries...), c.controls...) {
		require.Equal(t, 0, p.stop(25*time.Second), p.name)
	}
	printStep("stopped: every process ended by itself with status 0")
}

func demoCalls(t *testing.T, c *cluster) {
	for _, spec := range []requestSpec{
		{id: "short-1", workMs: 20, body: "short work", class: "short"},
		{id: "long-1", workMs: 600, body: "long work", class: "long"},
		{id: "urgent-1", workMs: 20, body: "urgent work", urgency: "urgent"},
	} {
		r := c.call(0, spec)
		requireAnswer(t, spec, r)
		printStep("request %s: answered by %s in %s", spec.id, r.answer.Backend, r.elapsed.Round(time.Millisecond))
	}
	first := c.call(0, requestSpec{id: "once-1", idempotencyKey: "order-17", workMs: 50, body: "order"})
	requireAnswer(t, requestSpec{id: "once-1", body: "order"}, first)
	second := c.call(1, requestSpec{id: "once-2", idempotencyKey: "order-17", workMs: 50, body: "order"})
	require.Equal(t, client.OutcomeAnswer, second.outcome, second.body)
	require.Equal(t, first.body, second.body)
	require.Equal(t, 1, fakes.RunsByKey(c.backendRuns())["order-17"])
	printStep("non-idempotent request with key order-17, sent again through the other entry: same answer, ran once")
}

func demoGang(c *cluster) {
	job := model.Job{
		ID: "demo-gang", Team: "linen", Urgency: model.Normal, Command: "sleep 1s", EstimateMs: 1000, Stoppable: true, Idempotent: true,
		Shape: model.Shape{Members: 2, Cores: 8, Memory: 8 << 30, Accels: 8, Proximity: model.ProximityDomain},
	}
	c.apply(model.Op{Kind: model.OpSubmitJob, Job: &job})
	start := time.Now()
	j := c.awaitJobState(job.ID, 25*time.Second, model.JobDone)
	printStep("gang %s of 2 members: done in %s on %s and %s under epoch %d", j.ID, time.Since(start).Round(time.Millisecond),
		j.Members[0].Worker, j.Members[1].Worker, j.Epoch)
}

// awaitJobState waits until a job is in the wanted state and returns it.
func (c *cluster) awaitJobState(id string, timeout time.Duration, want model.JobState) model.Job {
	c.t.Helper()
	var j model.Job
	pollUntil(c.t, timeout, "job "+id+" is "+string(want), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		got, err := c.operator.Job(ctx, id)
		if err == nil {
			j = got
		}
		return err == nil && j.State == want
	})
	return j
}

func demoDrain(t *testing.T, c *cluster) {
	const callers, requestsPerCaller = 8, 15
	var g errgroup.Group
	for i := range callers {
		g.Go(func() error {
			for n := range requestsPerCaller {
				spec := requestSpec{id: fmt.Sprintf("load-%d-%d", i, n), workMs: 40, body: fmt.Sprint(i, n)}
				r := c.call(i%len(c.entries), spec)
				if r.err != nil || r.outcome != client.OutcomeAnswer || r.answer.Hash != sha256Hex(spec.body) {
					return fmt.Errorf("%s: outcome %q status %d: %s: %w", spec.id, r.outcome, r.status, r.body, r.err)
				}
			}
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.operator.DrainAgent(ctx, "agt1")
	require.NoError(t, err)
	drainStart := time.Now()
	pollUntil(t, 3*time.Second, "no entry lists agt1 as ready", func() bool {
		for i := range c.entries {
			for _, agent := range c.entryDump(fmt.Sprintf("ent%d", i+1)).Agents {
				if agent.Agent == "agt1" && agent.State == "ready" {
					return false
				}
			}
		}
		return true
	})
	elapsed := time.Since(drainStart)
	require.NoError(t, g.Wait())
	printStep("drained agt1 under load: no new work after %s, all of %d requests answered", elapsed.Round(time.Millisecond), callers*requestsPerCaller)
}
