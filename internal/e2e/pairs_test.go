package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// TestPairs causes two failures at the same time, or a failure during a drain, a
// reclaim or cancellations.
func TestPairs(t *testing.T) {
	tests := []struct {
		name string
		run  func(*testing.T)
	}{
		{name: "leader killed, follower partitioned", run: pairLeaderSilent},
		{name: "data folder lost, leader restarted", run: pairDiskRestart},
		{name: "agent drained under overload", run: pairDrainCrest},
		{name: "reclaim, first rack lost", run: func(t *testing.T) { pairReclaimRack(t, reclaim{workers: 6, members: 2, lost: 0}) }},
		{name: "reclaim, last rack lost", run: func(t *testing.T) { pairReclaimRack(t, reclaim{workers: 6, members: 2, lost: 1}) }},
		{name: "reclaim, only rack lost", run: func(t *testing.T) { pairReclaimRack(t, reclaim{workers: 5, members: 3, lost: 0, short: true}) }},
		{name: "cancellations, leader killed", run: pairCancelLeader},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

// count returns the number of changes acknowledged so far.
func (ch *changes) count() int {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return len(ch.acked)
}

// awaitMore waits until n more changes are acknowledged.
func (ch *changes) awaitMore(t *testing.T, n int, what string) {
	t.Helper()
	want := ch.count() + n
	pollUntil(t, 15*time.Second, what, func() bool { return ch.count() >= want })
}

// pairLeaderSilent kills the leader while another control process is partitioned
// from both others. The remaining one has no quorum and must acknowledge
// nothing. Once the partition is healed, the two commit changes again and have
// all that were acknowledged.
func pairLeaderSilent(t *testing.T) {
	const cut = 2
	sz := controlOnly
	sz.cutoff = cut + 1
	c := newCluster(t, sz)
	c.await()
	at := c.leaderBut(cut)
	left := 1 - at
	ch := c.startChanges("t")
	ch.awaitMore(t, 5, "changes with all members")
	c.setRelays(fakes.ModeSilent)
	ch.awaitMore(t, 5, "changes during the partition")
	c.controls[at].kill()
	_, err := c.change("no-quorum", time.Second)
	require.Error(t, err, "one control process of three acknowledged a change")
	c.setRelays(fakes.ModePass)
	ch.awaitMore(t, 5, "changes after the partition is healed")
	c.controls[at].start()
	ch.awaitMore(t, 5, "changes after the restart")
	acked := ch.end(t)
	c.requireTeams(acked)
	// The partitioned process and the former leader have all changes as well.
	c.awaitMatch()
	c.controls[left].kill()
	c.awaitLeader()
	c.requireTeams(acked)
}

// leaderBut returns the index of the leader. As long as the control process at
// index not leads, it kills that one, waits for another leader and restarts it.
func (c *cluster) leaderBut(not int) int {
	c.t.Helper()
	at := c.leader()
	for range 5 {
		if at != not {
			return at
		}
		c.controls[not].kill()
		pollUntil(c.t, 10*time.Second, "another leader", func() bool {
			at = c.leader()
			return at != not
		})
		c.controls[not].start()
		at = c.leader()
	}
	require.NotEqual(c.t, not, at)
	return at
}

// awaitMatch waits until every replica leads, or is live and has the whole log.
func (c *cluster) awaitMatch() {
	c.t.Helper()
	for i := range c.controls {
		c.awaitMember(fmt.Sprintf("ctl%d", i+1), func(m client.Member) bool {
			return m.Role == client.MemberLeader || m.Live && m.Lag == 0
		})
	}
}

// pairDiskRestart deletes a follower's data folder and restarts the leader
// meanwhile, under load of non-idempotent requests. All of these are sent again
// after the repair and must not run twice.
func pairDiskRestart(t *testing.T) {
	c := ready(t, small)
	l := c.startLoad(4, true)
	ch := c.startChanges("t")
	ch.awaitMore(t, 3, "changes before the failures")
	l.awaitMore(t, 40, "requests before the failures")
	leader := c.leader()
	lost := (leader + 1) % 3
	name := fmt.Sprintf("ctl%d", lost+1)
	c.controls[lost].kill()
	c.controls[leader].kill()
	require.NoError(t, os.RemoveAll(filepath.Join(c.dir, name)))
	c.controls[lost].start()
	c.controls[leader].start()
	c.awaitMember(name, func(m client.Member) bool { return m.Role == client.MemberWaiting })
	ch.awaitMore(t, 3, "changes before the repair")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.op.ChangeMembers(ctx, client.MemberChange{ID: uuid.NewString(), Operator: operatorName, Verb: client.MemberReplace, Name: name, With: name})
	require.NoError(t, err)
	c.awaitMember(name, func(m client.Member) bool { return m.Repair == client.RepairDone && m.Role == client.MemberFollower })
	ch.awaitMore(t, 3, "changes after the repair")
	l.awaitMore(t, 40, "requests after the repair")
	acked := ch.end(t)
	replies := l.end(t)
	checkRuns(t, c, replies)
	c.resend(t, replies)
	checkRuns(t, c, replies)
	c.requireTeams(acked)
}

// awaitMore waits until n more requests have a reply.
func (l *load) awaitMore(t *testing.T, n int, what string) {
	t.Helper()
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.replies)
	}
	want := count() + n
	pollUntil(t, 15*time.Second, what, func() bool { return count() >= want })
}

// resend sends every request again with its idempotency key. A request that was
// answered before must get the same answer.
func (c *cluster) resend(t *testing.T, replies map[string]reply) {
	t.Helper()
	n, answered := 0, 0
	for id, r := range replies {
		n++
		again := c.call(n%len(c.entries), ask{id: id, once: "key-" + id, body: id, ms: 20})
		if r.err != nil || r.outcome != client.OutcomeAnswer {
			continue
		}
		answered++
		require.NoError(t, again.err, id)
		require.Equal(t, r.body, again.body, id)
	}
	t.Logf("%d requests sent again, %d of them answered before", n, answered)
}

// flood is a load above capacity, of requests with a short deadline.
type flood struct {
	load

	answered, refused atomic.Int64
}

const (
	floodWithin = 400 * time.Millisecond // deadline of each request
	floodPause  = 20 * time.Millisecond  // pause of a caller after a refusal
)

// startFlood starts callers that send requests without pause, half of them
// non-idempotent.
func (c *cluster) startFlood(callers int) *flood {
	f := &flood{load: load{stop: make(chan struct{}), replies: map[string]reply{}}}
	for i := range callers {
		f.group.Go(func() error {
			for n := 0; ; n++ {
				select {
				case <-f.stop:
					return nil
				default:
				}
				a := ask{id: fmt.Sprintf("load-%d-%d", i, n), ms: 100, within: floodWithin}
				a.body = a.id
				if n%2 == 0 {
					a.once = "key-" + a.id
				}
				f.keep(a, c.call((i+n)%len(c.entries), a))
			}
		})
	}
	return f
}

func (f *flood) keep(a ask, r reply) {
	f.mu.Lock()
	f.replies[a.id] = r
	f.mu.Unlock()
	switch r.outcome {
	case client.OutcomeAnswer:
		f.answered.Add(1)
	case client.OutcomeNotRun:
		f.refused.Add(1)
		time.Sleep(floodPause)
	}
}

// leaveBound is the time after which a draining agent must get no new work.
const leaveBound = 3 * time.Second

// pairDrainCrest drains an agent while callers send far more requests than all
// agents can handle.
func pairDrainCrest(t *testing.T) {
	c := ready(t, size{controls: 3, entries: 2, agents: 3, workers: 3})
	f := c.startFlood(150)
	pollUntil(t, 10*time.Second, "requests are both answered and refused", func() bool { return f.answered.Load() > 20 && f.refused.Load() > 20 })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.op.DrainAgent(ctx, "agt1")
	require.NoError(t, err)
	bound := time.Now().Add(leaveBound)
	pollUntil(t, leaveBound+time.Second, "the bound of the drain has passed", func() bool { return time.Now().After(bound) })
	answered := f.answered.Load()
	pollUntil(t, 10*time.Second, "requests are still answered", func() bool { return f.answered.Load() > answered+20 })
	replies := f.end(t)
	checkCrest(t, c, replies, bound)
}

// checkCrest checks that refused requests did not run, that no other request
// ended without an answer before its deadline, and that the drained agent got no
// work after bound.
func checkCrest(t *testing.T, c *cluster, replies map[string]reply, bound time.Time) {
	t.Helper()
	ran := map[string][]fakes.Run{}
	drained := 0
	for _, r := range c.journal() {
		ran[r.Request] = append(ran[r.Request], r)
		if r.Backend == "back1" {
			drained++
			require.True(t, r.Started.Before(bound), "%s started on the drained agent %s too late", r.Request, r.Started.Sub(bound))
		}
	}
	require.Positive(t, drained, "the drained agent had no work")
	outcomes := map[client.Outcome]int{}
	for id, r := range replies {
		outcomes[r.outcome]++
		require.NoError(t, r.err, id)
		switch r.outcome {
		case client.OutcomeNotRun:
			require.Empty(t, ran[id], "%s: %s", id, r.body)
		case client.OutcomeAnswer:
			requireAnswer(t, ask{id: id, body: id}, r)
			require.NotEmpty(t, ran[id], id)
		default:
			// Deadlines are sent in whole milliseconds.
			require.GreaterOrEqual(t, r.took, floodWithin-time.Millisecond, "%s ended before its deadline: %s", id, r.body)
		}
	}
	checkRuns(t, c, keyed(replies, ran))
	t.Log(outcomes)
}

// keyed returns the replies to the requests that ran with an idempotency key.
func keyed(replies map[string]reply, ran map[string][]fakes.Run) map[string]reply {
	out := map[string]reply{}
	for id, runs := range ran {
		if runs[0].Key != "" {
			out[id] = replies[id]
		}
	}
	return out
}

// reclaim is one case of a rack that is lost during a reclaim.
type reclaim struct {
	workers, members int
	lost             int  // index of the rack whose agents are killed
	short            bool // the rest of the fleet is too small for the guarantee
}

const rackWorkers = 3 // workers in each rack of the fake platform

// pairReclaimRack submits a team's guaranteed gang while a job of another team
// borrows the whole fleet, and kills all agents of a rack once the borrowing job
// is being stopped.
func pairReclaimRack(t *testing.T, rc reclaim) {
	c := ready(t, size{controls: 3, entries: 1, agents: rc.workers, workers: rc.workers})
	job := render("owner", "sleep 1s", true)
	job.Shape.Members = rc.members
	c.apply(model.Op{Kind: model.OpSetTeam, Team: &model.Team{Name: "linen", Slots: 16, Weight: 2, Guarantees: []model.Guarantee{{Shape: job.Shape, Count: 1}}, Keys: []string{hash(teamKey)}}})
	guest := render("borrower", "forever", true)
	guest.Team, guest.Urgency, guest.Stoppable = "garden", model.Normal, true
	guest.Shape.Members, guest.Shape.Near = rc.workers, model.NearAny
	c.submit(guest)
	borrowed := c.awaitJob(guest.ID, 10*time.Second, model.JobRunning)
	pollUntil(t, 5*time.Second, "all members of the borrowing job run", func() bool { return c.starts(guest.ID) == rc.workers })
	asked := time.Now()
	c.submit(job)
	c.awaitStopping(guest.ID)
	rack := c.agents[rc.lost*rackWorkers : min((rc.lost+1)*rackWorkers, rc.workers)]
	for _, p := range rack {
		p.kill()
	}
	killed := time.Now()
	pollUntil(t, poll.LeaseTerm+3*time.Second, "all members of the borrowing job have stopped", func() bool { return c.ended(guest.ID, borrowed.Epoch) == rc.workers })
	if rc.short {
		c.awaitShort("linen")
		require.Zero(t, c.starts(job.ID), "a gang started that the fleet is too small for")
		for _, p := range rack {
			p.start()
		}
	}
	j := c.awaitEnd(job.ID, 20*time.Second)
	require.Equal(t, model.JobDone, j.State, j.Reason)
	c.requireWhole(job.ID, rc.members)
	// Members whose agents were killed may run for one lease term after the kill.
	within := poll.LeaseTerm + killed.Sub(asked)
	events := append(c.events(job.ID), c.events(guest.ID)...)
	require.Empty(t, fakes.GangFaults(events, map[string]int{job.ID: rc.members, guest.ID: rc.workers}, within, time.Now()))
}

// awaitStopping waits until a running job has left the state running.
func (c *cluster) awaitStopping(id string) {
	c.t.Helper()
	pollUntil(c.t, 10*time.Second, "job "+id+" is no longer running", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		j, err := c.op.Job(ctx, id)
		return err == nil && j.State != model.JobRunning
	})
}

// awaitShort waits until a guarantee of a team is reported as short.
func (c *cluster) awaitShort(team string) {
	c.t.Helper()
	pollUntil(c.t, 20*time.Second, "the guarantee of "+team+" is reported as short", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		rep, err := c.op.Guarantees(ctx)
		if err != nil {
			return false
		}
		for _, line := range rep.Lines {
			if line.Team == team && line.Short > 0 {
				return true
			}
		}
		return false
	})
}

const (
	waveJobs    = 200
	waveCallers = 16
)

// pairCancelLeader cancels many jobs, some of them running, and kills the leader
// after a quarter of the cancellations.
func pairCancelLeader(t *testing.T) {
	c := ready(t, small)
	c.submitWave()
	pollUntil(t, 10*time.Second, "some jobs run", func() bool { return c.starts(waveJob(0)) > 0 })
	at := c.leader()
	var acked atomic.Int64
	var g, kill errgroup.Group
	g.SetLimit(waveCallers)
	var once sync.Once
	for i := range waveJobs {
		g.Go(func() error {
			if err := c.cancel(waveJob(i)); err != nil {
				return err
			}
			if acked.Add(1) >= waveJobs/4 {
				once.Do(func() { kill.Go(func() error { c.controls[at].kill(); return nil }) })
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.NoError(t, kill.Wait())
	ended := map[string]time.Time{}
	for i := range waveJobs {
		j := c.awaitEnd(waveJob(i), 15*time.Second)
		require.Equal(t, model.JobCancelled, j.State, "%s: %s", j.ID, j.Reason)
		ended[j.ID] = j.Ended
	}
	c.controls[at].start()
	// A gang that needs every accelerator can only run if no cancelled job is left.
	whole := render("whole", "sleep 100ms", true)
	whole.Shape.Members, whole.Shape.Near, whole.Stoppable = len(c.agents), model.NearAny, true
	c.submit(whole)
	require.Equal(t, model.JobDone, c.awaitEnd(whole.ID, 15*time.Second).State)
	c.requireNoStartAfter(ended)
}

func waveJob(i int) string { return fmt.Sprintf("cancel-%d", i) }

// submitWave submits jobs of one accelerator each, more than the fleet has.
func (c *cluster) submitWave() {
	c.t.Helper()
	var ops []model.Op
	for i := range waveJobs {
		j := render(waveJob(i), "forever", true)
		j.Stoppable = true
		j.Shape = model.Shape{Members: 1, Cores: 1, Memory: 1 << 20, Accels: 1, Near: model.NearWorker}
		ops = append(ops, model.Op{Kind: model.OpSubmitJob, Job: j})
	}
	c.apply(ops...)
}

// cancel cancels a job. It retries until it gets an answer.
func (c *cluster) cancel(job string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for {
		p, err := c.op.Propose(ctx, model.Intent{ID: uuid.NewString(), Ops: []model.Op{{Kind: model.OpCancelJob, Name: job}}})
		if err == nil && p.State == model.PlanOpen {
			p, err = c.op.Confirm(ctx, p.ID)
		}
		switch {
		case err == nil && p.State == model.PlanConfirmed:
			return nil
		case ctx.Err() != nil:
			return fmt.Errorf("cancel %s: plan %+v: %w", job, p, err)
		}
		if done, err := c.op.Job(ctx, job); err == nil && done.State == model.JobCancelled {
			return nil // an earlier attempt succeeded, but its answer was lost
		}
	}
}

// requireNoStartAfter requires by the platform's journal that no task of a job
// started after the job's end and that none still runs.
func (c *cluster) requireNoStartAfter(ended map[string]time.Time) {
	c.t.Helper()
	var list fakes.EntryList[fakes.Event]
	getJSON(c.t, c.platURL+"/v1/journal", "", &list)
	live := map[string]string{}
	started := 0
	for _, e := range list.Entries {
		at, ok := ended[e.Job]
		switch {
		case !ok:
		case e.Kind == fakes.EventStart:
			started++
			live[e.Lease] = e.Job
			require.False(c.t, e.At.After(at), "%s started %s after it was cancelled", e.Job, e.At.Sub(at))
		case e.Kind == fakes.EventEnd:
			delete(live, e.Lease)
		}
	}
	require.Positive(c.t, started)
	require.Empty(c.t, live, "cancelled jobs still run")
}
