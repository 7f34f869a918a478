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

// render returns an urgent job whose two members each take all cores, memory and
// accelerators of a worker.
func render(id, command string, idempotent bool) *model.Job {
	return &model.Job{
		ID: id, Team: "linen", Urgency: model.Urgent, Command: command, EstimateMs: 2000, Idempotent: idempotent,
		Shape: model.Shape{Members: 2, Cores: 8, Memory: 8 << 30, Accels: 8, Near: model.NearDomain},
	}
}

func (c *cluster) submit(j *model.Job) {
	c.t.Helper()
	c.apply(model.Op{Kind: model.OpSubmitJob, Job: j})
}

// events returns the entries of the platform's journal for a job.
func (c *cluster) events(job string) []fakes.Event {
	var list fakes.EntryList[fakes.Event]
	getJSON(c.t, c.platURL+"/v1/journal", "", &list)
	var out []fakes.Event
	for _, e := range list.Entries {
		if e.Job == job {
			out = append(out, e)
		}
	}
	return out
}

// requireWhole requires by the platform's journal that no two epochs of a job
// ran at the same time, and that a member started only after the leases of all
// members were held.
func (c *cluster) requireWhole(job string, members int) {
	c.t.Helper()
	held, live := map[uint64]int{}, map[uint64]int{}
	for _, e := range c.events(job) {
		switch e.Kind {
		case fakes.EventHold:
			held[e.Epoch]++
		case fakes.EventStart:
			require.Equal(c.t, members, held[e.Epoch], "a member started before all leases were held")
			live[e.Epoch]++
			for epoch, n := range live {
				require.True(c.t, epoch == e.Epoch || n == 0, "epochs %d and %d ran at the same time", epoch, e.Epoch)
			}
		case fakes.EventEnd:
			if live[e.Epoch] > 0 {
				live[e.Epoch]--
			}
		}
	}
}

func (c *cluster) starts(job string) int {
	n := 0
	for _, e := range c.events(job) {
		if e.Kind == fakes.EventStart {
			n++
		}
	}
	return n
}

// TestUrgentStart bounds the time from submitting an urgent gang until the last
// of its members starts.
func TestUrgentStart(t *testing.T) {
	c := ready(t, small)
	for i := range 5 {
		job := render(fmt.Sprint("urgent-", i), "sleep 200ms", true)
		began := time.Now()
		c.submit(job)
		c.awaitJob(job.ID, 10*time.Second, model.JobDone)
		var last time.Time
		for _, e := range c.events(job.ID) {
			if e.Kind == fakes.EventStart {
				last = e.At
			}
		}
		t.Logf("start after %s", last.Sub(began).Round(time.Millisecond))
		require.Less(t, last.Sub(began), 1600*time.Millisecond)
	}
}

// TestGangLeaderKilled kills the leader while gangs are being prepared and
// started. A non-idempotent gang must start at most once.
func TestGangLeaderKilled(t *testing.T) {
	c := ready(t, small)
	for i, pause := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
		job := render(fmt.Sprint("gang-", i), "sleep 1s", false)
		at := c.leader()
		c.submit(job)
		time.Sleep(pause)
		c.controls[at].kill()
		j := c.awaitEnd(job.ID, 40*time.Second)
		c.controls[at].start()
		c.requireWhole(job.ID, 2)
		require.LessOrEqual(t, c.starts(job.ID), 2)
		t.Logf("killed after %s: %s %s", pause, j.State, j.Reason)
		require.Equal(t, model.JobDone, j.State, j.Reason)
		c.awaitAgents(len(c.agents))
	}
}

func (c *cluster) awaitEnd(id string, within time.Duration) model.Job {
	c.t.Helper()
	var j model.Job
	defer func() {
		if c.t.Failed() {
			why, err := c.op.Explain(context.Background(), id)
			c.t.Logf("job: %+v\nexplain: %+v %v", j, why, err)
		}
	}()
	pollUntil(c.t, within, "job "+id+" ends", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		got, err := c.op.Job(ctx, id)
		if err == nil {
			j = got
		}
		return err == nil && j.State.Ended()
	})
	return j
}

// TestGangAgentFrozen suspends the agent of one member until its lease has
// ended. Every member must stop within one lease term, and the gang must run
// again, complete, under a new epoch.
func TestGangAgentFrozen(t *testing.T) {
	c := ready(t, small)
	job := render("frozen", "sleep 4s", true)
	c.submit(job)
	j := c.awaitJob(job.ID, 10*time.Second, model.JobRunning)
	pollUntil(t, 5*time.Second, "both members run", func() bool { return c.starts(job.ID) == 2 })
	at := c.agentOf(j.Members[0].Worker)
	frozen := time.Now()
	c.agents[at].freeze()
	pollUntil(t, poll.LeaseTerm+3*time.Second, "the first epoch ends", func() bool { return c.ended(job.ID, j.Epoch) == 2 })
	for _, e := range c.events(job.ID) {
		if e.Kind == fakes.EventEnd && e.Epoch == j.Epoch {
			require.Less(t, e.At.Sub(frozen), poll.LeaseTerm, "member %d ran beyond its lease", e.Member)
		}
	}
	j = c.awaitEnd(job.ID, 40*time.Second)
	require.Equal(t, model.JobDone, j.State, j.Reason)
	c.agents[at].thaw()
	c.requireWhole(job.ID, 2)
}

func (c *cluster) ended(job string, epoch uint64) int {
	n := 0
	for _, e := range c.events(job) {
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

// TestSickWorker makes every task on one worker fail. The worker must be put into
// quarantine, so that the jobs succeed on other workers; only the latter is
// checked.
func TestSickWorker(t *testing.T) {
	c := ready(t, small)
	putJSON(t, c.platURL+"/v1/faults/"+c.workerNames()[0], fakes.Fault{Fails: true})
	for i := range 4 {
		job := render(fmt.Sprint("small-", i), "sleep 100ms", true)
		job.Shape = model.Shape{Members: 1, Cores: 1, Memory: 1 << 30, Accels: 8, Near: model.NearWorker}
		c.submit(job)
	}
	for i := range 4 {
		j := c.awaitEnd(fmt.Sprint("small-", i), 40*time.Second)
		require.Equal(t, model.JobDone, j.State, j.Reason)
	}
}

// TestJobFails checks that a job that fails on every worker ends as failed, with
// a reason, and so takes no more accelerators.
func TestJobFails(t *testing.T) {
	c := ready(t, small)
	job := render("broken", "fail", true)
	job.Shape = model.Shape{Members: 1, Cores: 1, Memory: 1 << 30, Accels: 1, Near: model.NearWorker}
	c.submit(job)
	j := c.awaitEnd(job.ID, 40*time.Second)
	require.Equal(t, model.JobFailed, j.State)
	require.NotEmpty(t, j.Reason)
	t.Log(j.Attempts, j.Reason)
}
