package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// newGangJob returns an urgent job with two members that each take a whole
// worker.
func newGangJob(id, command string, idempotent bool) *model.Job {
	return &model.Job{
		ID: id, Team: "linen", Urgency: model.Urgent, Command: command, EstimateMs: 2000, Idempotent: idempotent,
		Shape: model.Shape{Members: 2, Cores: 8, Memory: 8 << 30, Accels: 8, Proximity: model.ProximityDomain},
	}
}

func (c *cluster) submitJob(j *model.Job) {
	c.t.Helper()
	c.apply(model.Op{Kind: model.OpSubmitJob, Job: j})
}

// jobEvents returns the entries of the platform's journal for a job.
func (c *cluster) jobEvents(job string) []fakes.Event {
	var list fakes.EntryList[fakes.Event]
	getJSON(c.t, c.platformURL+"/v1/journal", "", &list)
	var events []fakes.Event
	for _, e := range list.Entries {
		if e.Job == job {
			events = append(events, e)
		}
	}
	return events
}

// requireGangRules requires by the platform's journal that no two epochs of a
// job ran at the same time, and that a member started only after the leases of
// all members were held.
func (c *cluster) requireGangRules(job string, members int) {
	c.t.Helper()
	held, running := map[uint64]int{}, map[uint64]int{}
	for _, e := range c.jobEvents(job) {
		switch e.Kind {
		case fakes.EventHold:
			held[e.Epoch]++
		case fakes.EventStart:
			require.Equal(c.t, members, held[e.Epoch], "a member started before all leases were held")
			running[e.Epoch]++
			for epoch, n := range running {
				require.True(c.t, epoch == e.Epoch || n == 0, "epochs %d and %d ran at the same time", epoch, e.Epoch)
			}
		case fakes.EventEnd:
			if running[e.Epoch] > 0 {
				running[e.Epoch]--
			}
		}
	}
}

func (c *cluster) startCount(job string) int {
	n := 0
	for _, e := range c.jobEvents(job) {
		if e.Kind == fakes.EventStart {
			n++
		}
	}
	return n
}

// TestUrgentStart bounds the time from submitting an urgent gang until the last
// of its members starts.
func TestUrgentStart(t *testing.T) {
	c := newReadyCluster(t, smallCluster)
	for i := range 5 {
		job := newGangJob(fmt.Sprint("urgent-", i), "sleep 200ms", true)
		submitted := time.Now()
		c.submitJob(job)
		c.awaitJobState(job.ID, 10*time.Second, model.JobDone)
		var lastStart time.Time
		for _, e := range c.jobEvents(job.ID) {
			if e.Kind == fakes.EventStart {
				lastStart = e.At
			}
		}
		t.Logf("start after %s", lastStart.Sub(submitted).Round(time.Millisecond))
		require.Less(t, lastStart.Sub(submitted), 1600*time.Millisecond)
	}
}

// TestGangLeaderKilled kills the leader while gangs are being prepared and
// started. A non-idempotent gang must start at most once.
func TestGangLeaderKilled(t *testing.T) {
	c := newReadyCluster(t, smallCluster)
	for i, delay := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
		job := newGangJob(fmt.Sprint("gang-", i), "sleep 1s", false)
		leader := c.leaderIndex()
		c.submitJob(job)
		time.Sleep(delay)
		c.controls[leader].kill()
		j := c.awaitJobEnd(job.ID, 40*time.Second)
		c.controls[leader].start()
		c.requireGangRules(job.ID, 2)
		require.LessOrEqual(t, c.startCount(job.ID), 2)
		t.Logf("killed after %s: %s %s", delay, j.State, j.Reason)
		require.Equal(t, model.JobDone, j.State, j.Reason)
		c.awaitAgents(len(c.agents))
	}
}

func (c *cluster) awaitJobEnd(id string, timeout time.Duration) model.Job {
	c.t.Helper()
	var j model.Job
	defer func() {
		if c.t.Failed() {
			explanation, err := c.operator.Explain(context.Background(), id)
			c.t.Logf("job: %+v\nexplain: %+v %v", j, explanation, err)
		}
	}()
	pollUntil(c.t, timeout, "job "+id+" ends", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		got, err := c.operator.Job(ctx, id)
		if err == nil {
			j = got
		}
		return err == nil && j.State.Ended()
	})
	return j
}

// TestGangAgentSuspended suspends the agent of one member until its lease has
// ended. Every member must stop within one lease term, and the gang must run
// again, complete, under a new epoch.
func TestGangAgentSuspended(t *testing.T) {
	c := newReadyCluster(t, smallCluster)
	job := newGangJob("suspended", "sleep 4s", true)
	c.submitJob(job)
	j := c.awaitJobState(job.ID, 10*time.Second, model.JobRunning)
	pollUntil(t, 5*time.Second, "both members run", func() bool { return c.startCount(job.ID) == 2 })
	agent := c.agentOf(j.Members[0].Worker)
	suspended := time.Now()
	c.agents[agent].suspend()
	pollUntil(t, poll.LeaseTerm+3*time.Second, "the first epoch ends", func() bool { return c.endCount(job.ID, j.Epoch) == 2 })
	for _, e := range c.jobEvents(job.ID) {
		if e.Kind == fakes.EventEnd && e.Epoch == j.Epoch {
			require.Less(t, e.At.Sub(suspended), poll.LeaseTerm, "member %d ran beyond its lease", e.Member)
		}
	}
	j = c.awaitJobEnd(job.ID, 40*time.Second)
	require.Equal(t, model.JobDone, j.State, j.Reason)
	c.agents[agent].resume()
	c.requireGangRules(job.ID, 2)
}

func (c *cluster) endCount(job string, epoch uint64) int {
	n := 0
	for _, e := range c.jobEvents(job) {
		if e.Kind == fakes.EventEnd && e.Epoch == epoch {
			n++
		}
	}
	return n
}

// agentOf returns the index of the agent that serves a worker.
func (c *cluster) agentOf(worker string) int {
	for i, name := range c.workerNames() {
		if name == worker {
			return i
		}
	}
	require.Fail(c.t, "no such worker", worker)
	return -1
}

// TestFailingWorker makes every task on one worker fail. The worker must be put
// into quarantine, so that the jobs succeed on other workers; only the latter
// is checked.
func TestFailingWorker(t *testing.T) {
	c := newReadyCluster(t, smallCluster)
	putJSON(t, c.platformURL+"/v1/faults/"+c.workerNames()[0], fakes.Fault{Fails: true})
	for i := range 4 {
		job := newGangJob(fmt.Sprint("small-", i), "sleep 100ms", true)
		job.Shape = model.Shape{Members: 1, Cores: 1, Memory: 1 << 30, Accels: 8, Proximity: model.ProximityWorker}
		c.submitJob(job)
	}
	for i := range 4 {
		j := c.awaitJobEnd(fmt.Sprint("small-", i), 40*time.Second)
		require.Equal(t, model.JobDone, j.State, j.Reason)
	}
}

// TestFailingJob checks that a job that fails on every worker ends as failed,
// with a reason, and so takes no more accelerators.
func TestFailingJob(t *testing.T) {
	c := newReadyCluster(t, smallCluster)
	job := newGangJob("failing", "fail", true)
	job.Shape = model.Shape{Members: 1, Cores: 1, Memory: 1 << 30, Accels: 1, Proximity: model.ProximityWorker}
	c.submitJob(job)
	j := c.awaitJobEnd(job.ID, 40*time.Second)
	require.Equal(t, model.JobFailed, j.State)
	require.NotEmpty(t, j.Reason)
	t.Log(j.Attempts, j.Reason)
}
