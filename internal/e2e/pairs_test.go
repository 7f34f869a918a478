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

// TestOverlappingFailures causes two failures at the same time, or a failure
// during a drain, a reclaim or cancellations.
func TestOverlappingFailures(t *testing.T) {
	tests := []struct {
		name string
		run  func(*testing.T)
	}{
		{name: "leader killed, follower partitioned", run: testLeaderKilledDuringPartition},
		{name: "data folder lost, leader restarted", run: testDataLossDuringLeaderRestart},
		{name: "agent drained under overload", run: testDrainUnderOverload},
		{name: "reclaim, first rack lost", run: func(t *testing.T) { testRackLoss(t, reclaimCase{workers: 6, members: 2, rack: 0}) }},
		{name: "reclaim, last rack lost", run: func(t *testing.T) { testRackLoss(t, reclaimCase{workers: 6, members: 2, rack: 1}) }},
		{name: "reclaim, only rack lost", run: func(t *testing.T) { testRackLoss(t, reclaimCase{workers: 5, members: 3, rack: 0, tooSmall: true}) }},
		{name: "cancellations, leader killed", run: testLeaderKilledDuringCancellations},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

// ackedCount returns the number of changes acknowledged so far.
func (ch *changeStream) ackedCount() int {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return len(ch.acked)
}

// awaitAcked waits until n more changes are acknowledged.
func (ch *changeStream) awaitAcked(t *testing.T, n int, description string) {
	t.Helper()
	want := ch.ackedCount() + n
	pollUntil(t, 15*time.Second, description, func() bool { return ch.ackedCount() >= want })
}

// testLeaderKilledDuringPartition kills the leader while another control
// process is partitioned from both others. The remaining one has no quorum and
// must acknowledge nothing. Once the partition is healed, the two commit
// changes again and have all that were acknowledged.
func testLeaderKilledDuringPartition(t *testing.T) {
	const partitioned = 2
	sz := controlOnly
	sz.relayedControl = partitioned + 1
	c := newCluster(t, sz)
	c.awaitEntries()
	leader := c.leaderOtherThan(partitioned)
	remaining := 1 - leader
	ch := c.startChanges("t")
	ch.awaitAcked(t, 5, "changes with all members")
	c.setRelayMode(fakes.ModeSilent)
	ch.awaitAcked(t, 5, "changes during the partition")
	c.controls[leader].kill()
	_, err := c.commitChange("no-quorum", time.Second)
	require.Error(t, err, "one control process of three acknowledged a change")
	c.setRelayMode(fakes.ModePass)
	ch.awaitAcked(t, 5, "changes after the partition is healed")
	c.controls[leader].start()
	ch.awaitAcked(t, 5, "changes after the restart")
	acked := ch.finish(t)
	c.requireTeams(acked)
	// The partitioned process and the former leader have all changes as well.
	c.awaitReplicated()
	c.controls[remaining].kill()
	c.awaitLeader()
	c.requireTeams(acked)
}

// leaderOtherThan returns the index of the leader. As long as the control
// process at index excluded leads, it kills that one, waits for another leader
// and restarts it.
func (c *cluster) leaderOtherThan(excluded int) int {
	c.t.Helper()
	leader := c.leaderIndex()
	for range 5 {
		if leader != excluded {
			return leader
		}
		c.controls[excluded].kill()
		pollUntil(c.t, 10*time.Second, "another leader", func() bool {
			leader = c.leaderIndex()
			return leader != excluded
		})
		c.controls[excluded].start()
		leader = c.leaderIndex()
	}
	require.NotEqual(c.t, excluded, leader)
	return leader
}

// awaitReplicated waits until every replica leads, or is live and has the whole
// log.
func (c *cluster) awaitReplicated() {
	c.t.Helper()
	for i := range c.controls {
		c.awaitMember(fmt.Sprintf("ctl%d", i+1), func(m client.Member) bool {
			return m.Role == client.MemberLeader || m.Live && m.Lag == 0
		})
	}
}

// testDataLossDuringLeaderRestart deletes a follower's data folder and restarts
// the leader meanwhile, under load of non-idempotent requests. All of these are
// sent again after the repair and must not run twice.
func testDataLossDuringLeaderRestart(t *testing.T) {
	c := newReadyCluster(t, smallCluster)
	l := c.startLoad(4, true)
	ch := c.startChanges("t")
	ch.awaitAcked(t, 3, "changes before the failures")
	l.awaitReplies(t, 40, "requests before the failures")
	leader := c.leaderIndex()
	lost := (leader + 1) % 3
	name := fmt.Sprintf("ctl%d", lost+1)
	c.controls[lost].kill()
	c.controls[leader].kill()
	require.NoError(t, os.RemoveAll(filepath.Join(c.dir, name)))
	c.controls[lost].start()
	c.controls[leader].start()
	c.awaitMember(name, func(m client.Member) bool { return m.Role == client.MemberWaiting })
	ch.awaitAcked(t, 3, "changes before the repair")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.operator.ChangeMembers(ctx, client.MemberChange{ID: uuid.NewString(), Operator: operatorName, Verb: client.MemberReplace, Name: name, Replacement: name})
	require.NoError(t, err)
	c.awaitMember(name, func(m client.Member) bool { return m.Repair == client.RepairDone && m.Role == client.MemberFollower })
	ch.awaitAcked(t, 3, "changes after the repair")
	l.awaitReplies(t, 40, "requests after the repair")
	acked := ch.finish(t)
	replies := l.finish(t)
	checkRuns(t, c, replies)
	c.resend(t, replies)
	checkRuns(t, c, replies)
	c.requireTeams(acked)
}

// awaitReplies waits until n more requests have a reply.
func (l *load) awaitReplies(t *testing.T, n int, description string) {
	t.Helper()
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.replies)
	}
	want := count() + n
	pollUntil(t, 15*time.Second, description, func() bool { return count() >= want })
}

// resend sends every request again with its idempotency key. A request that was
// answered before must get the same answer.
func (c *cluster) resend(t *testing.T, replies map[string]callResult) {
	t.Helper()
	n, answered := 0, 0
	for id, r := range replies {
		n++
		again := c.call(n%len(c.entries), requestSpec{id: id, idempotencyKey: "key-" + id, body: id, workMs: 20})
		if r.err != nil || r.outcome != client.OutcomeAnswer {
			continue
		}
		answered++
		require.NoError(t, again.err, id)
		require.Equal(t, r.body, again.body, id)
	}
	t.Logf("%d requests sent again, %d of them answered before", n, answered)
}

// overload is a load above capacity, of requests with a short deadline.
type overload struct {
	load

	answered, refused atomic.Int64
}

const (
	overloadTimeout = 400 * time.Millisecond // deadline of each request
	refusalPause    = 20 * time.Millisecond  // pause of a caller after a refusal
)

// startOverload starts callers that send requests without pause, half of them
// non-idempotent.
func (c *cluster) startOverload(callers int) *overload {
	o := &overload{load: load{stop: make(chan struct{}), replies: map[string]callResult{}}}
	for i := range callers {
		o.group.Go(func() error {
			for n := 0; ; n++ {
				select {
				case <-o.stop:
					return nil
				default:
				}
				spec := requestSpec{id: fmt.Sprintf("load-%d-%d", i, n), workMs: 100, timeout: overloadTimeout}
				spec.body = spec.id
				if n%2 == 0 {
					spec.idempotencyKey = "key-" + spec.id
				}
				o.record(spec, c.call((i+n)%len(c.entries), spec))
			}
		})
	}
	return o
}

func (o *overload) record(spec requestSpec, r callResult) {
	o.mu.Lock()
	o.replies[spec.id] = r
	o.mu.Unlock()
	switch r.outcome {
	case client.OutcomeAnswer:
		o.answered.Add(1)
	case client.OutcomeNotRun:
		o.refused.Add(1)
		time.Sleep(refusalPause)
	}
}

// drainBound is the time after which a draining agent must get no new work.
const drainBound = 3 * time.Second

// testDrainUnderOverload drains an agent while callers send far more requests
// than all agents can handle.
func testDrainUnderOverload(t *testing.T) {
	c := newReadyCluster(t, clusterSize{controls: 3, entries: 2, agents: 3, workers: 3})
	o := c.startOverload(150)
	pollUntil(t, 10*time.Second, "requests are both answered and refused", func() bool { return o.answered.Load() > 20 && o.refused.Load() > 20 })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.operator.DrainAgent(ctx, "agt1")
	require.NoError(t, err)
	bound := time.Now().Add(drainBound)
	pollUntil(t, drainBound+time.Second, "the bound of the drain has passed", func() bool { return time.Now().After(bound) })
	answered := o.answered.Load()
	pollUntil(t, 10*time.Second, "requests are still answered", func() bool { return o.answered.Load() > answered+20 })
	replies := o.finish(t)
	checkOverload(t, c, replies, bound)
}

// checkOverload checks that refused requests did not run, that no other request
// ended without an answer before its deadline, and that the drained agent got
// no work after bound.
func checkOverload(t *testing.T, c *cluster, replies map[string]callResult, bound time.Time) {
	t.Helper()
	runs := map[string][]fakes.Run{}
	drainedRuns := 0
	for _, r := range c.backendRuns() {
		runs[r.Request] = append(runs[r.Request], r)
		if r.Backend == "back1" {
			drainedRuns++
			require.True(t, r.Started.Before(bound), "%s started on the drained agent %s too late", r.Request, r.Started.Sub(bound))
		}
	}
	require.Positive(t, drainedRuns, "the drained agent had no work")
	outcomes := map[client.Outcome]int{}
	for id, r := range replies {
		outcomes[r.outcome]++
		require.NoError(t, r.err, id)
		switch r.outcome {
		case client.OutcomeNotRun:
			require.Empty(t, runs[id], "%s: %s", id, r.body)
		case client.OutcomeAnswer:
			requireAnswer(t, requestSpec{id: id, body: id}, r)
			require.NotEmpty(t, runs[id], id)
		default:
			// Deadlines are sent in whole milliseconds.
			require.GreaterOrEqual(t, r.elapsed, overloadTimeout-time.Millisecond, "%s ended before its deadline: %s", id, r.body)
		}
	}
	checkRuns(t, c, nonIdempotent(replies, runs))
	t.Log(outcomes)
}

// nonIdempotent returns the replies to the requests that ran with an
// idempotency key.
func nonIdempotent(replies map[string]callResult, runs map[string][]fakes.Run) map[string]callResult {
	selected := map[string]callResult{}
	for id, requestRuns := range runs {
		if requestRuns[0].Key != "" {
			selected[id] = replies[id]
		}
	}
	return selected
}

// reclaimCase is one case of a rack that is lost during a reclaim.
type reclaimCase struct {
	workers, members int
	rack             int  // index of the rack whose agents are killed
	tooSmall         bool // the rest of the fleet is too small for the guarantee
}

const workersPerRack = 3 // workers in each rack of the fake platform

// testRackLoss submits a team's guaranteed gang while a job of another team
// borrows the whole fleet, and kills all agents of a rack once the borrowing
// job is being stopped.
func testRackLoss(t *testing.T, tc reclaimCase) {
	c := newReadyCluster(t, clusterSize{controls: 3, entries: 1, agents: tc.workers, workers: tc.workers})
	job := newGangJob("owner", "sleep 1s", true)
	job.Shape.Members = tc.members
	c.apply(model.Op{Kind: model.OpSetTeam, Team: &model.Team{Name: "linen", Slots: 16, Weight: 2, Guarantees: []model.Guarantee{{Shape: job.Shape, Count: 1}}, Keys: []string{sha256Hex(teamKey)}}})
	borrower := newGangJob("borrower", "forever", true)
	borrower.Team, borrower.Urgency, borrower.Stoppable = "garden", model.Normal, true
	borrower.Shape.Members, borrower.Shape.Proximity = tc.workers, model.ProximityAny
	c.submitJob(borrower)
	borrowerRun := c.awaitJobState(borrower.ID, 10*time.Second, model.JobRunning)
	pollUntil(t, 5*time.Second, "all members of the borrowing job run", func() bool { return c.startCount(borrower.ID) == tc.workers })
	submitted := time.Now()
	c.submitJob(job)
	c.awaitStopping(borrower.ID)
	rack := c.agents[tc.rack*workersPerRack : min((tc.rack+1)*workersPerRack, tc.workers)]
	for _, p := range rack {
		p.kill()
	}
	killed := time.Now()
	pollUntil(t, poll.LeaseTerm+3*time.Second, "all members of the borrowing job have stopped", func() bool { return c.endCount(borrower.ID, borrowerRun.Epoch) == tc.workers })
	if tc.tooSmall {
		c.awaitShortGuarantee("linen")
		require.Zero(t, c.startCount(job.ID), "a gang started that the fleet is too small for")
		for _, p := range rack {
			p.start()
		}
	}
	j := c.awaitJobEnd(job.ID, 20*time.Second)
	require.Equal(t, model.JobDone, j.State, j.Reason)
	c.requireGangRules(job.ID, tc.members)
	// Members whose agents were killed may run for one lease term after the kill.
	maxPartialRun := poll.LeaseTerm + killed.Sub(submitted)
	events := append(c.jobEvents(job.ID), c.jobEvents(borrower.ID)...)
	require.Empty(t, fakes.GangViolations(events, map[string]int{job.ID: tc.members, borrower.ID: tc.workers}, maxPartialRun, time.Now()))
}

// awaitStopping waits until a running job has left the state running.
func (c *cluster) awaitStopping(id string) {
	c.t.Helper()
	pollUntil(c.t, 10*time.Second, "job "+id+" is no longer running", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		j, err := c.operator.Job(ctx, id)
		return err == nil && j.State != model.JobRunning
	})
}

// awaitShortGuarantee waits until a guarantee of a team is reported as short.
func (c *cluster) awaitShortGuarantee(team string) {
	c.t.Helper()
	pollUntil(c.t, 20*time.Second, "the guarantee of "+team+" is reported as short", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		rep, err := c.operator.Guarantees(ctx)
		if err != nil {
			return false
		}
		for _, line := range rep.Lines {
			if line.Team == team && line.Shortfall > 0 {
				return true
			}
		}
		return false
	})
}

const (
	cancelJobCount    = 200
	cancelConcurrency = 16
)

// testLeaderKilledDuringCancellations cancels many jobs, some of them running,
// and kills the leader after a quarter of the cancellations.
func testLeaderKilledDuringCancellations(t *testing.T) {
	c := newReadyCluster(t, smallCluster)
	c.submitCancelJobs()
	pollUntil(t, 10*time.Second, "some jobs run", func() bool { return c.startCount(cancelJobID(0)) > 0 })
	leader := c.leaderIndex()
	var acked atomic.Int64
	var g, killer errgroup.Group
	g.SetLimit(cancelConcurrency)
	var once sync.Once
	for i := range cancelJobCount {
		g.Go(func() error {
			if err := c.cancelJob(cancelJobID(i)); err != nil {
				return err
			}
			if acked.Add(1) >= cancelJobCount/4 {
				once.Do(func() { killer.Go(func() error { c.controls[leader].kill(); return nil }) })
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.NoError(t, killer.Wait())
	ended := map[string]time.Time{}
	for i := range cancelJobCount {
		j := c.awaitJobEnd(cancelJobID(i), 15*time.Second)
		require.Equal(t, model.JobCancelled, j.State, "%s: %s", j.ID, j.Reason)
		ended[j.ID] = j.Ended
	}
	c.controls[leader].start()
	// A gang that needs every accelerator can only run if no cancelled job is left.
	fullFleetJob := newGangJob("full-fleet", "sleep 100ms", true)
	fullFleetJob.Shape.Members, fullFleetJob.Shape.Proximity, fullFleetJob.Stoppable = len(c.agents), model.ProximityAny, true
	c.submitJob(fullFleetJob)
	require.Equal(t, model.JobDone, c.awaitJobEnd(fullFleetJob.ID, 15*time.Second).State)
	c.requireNoStartAfterEnd(ended)
}

func cancelJobID(i int) string { return fmt.Sprintf("cancel-%d", i) }

// submitCancelJobs submits jobs of one accelerator each, more than the fleet
// has.
func (c *cluster) submitCancelJobs() {
	c.t.Helper()
	var ops []model.Op
	for i := range cancelJobCount {
		j := newGangJob(cancelJobID(i), "forever", true)
		j.Stoppable = true
		j.Shape = model.Shape{Members: 1, Cores: 1, Memory: 1 << 20, Accels: 1, Proximity: model.ProximityWorker}
		ops = append(ops, model.Op{Kind: model.OpSubmitJob, Job: j})
	}
	c.apply(ops...)
}

// cancelJob cancels a job. It retries until it gets an answer.
func (c *cluster) cancelJob(job string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for {
		p, err := c.operator.Propose(ctx, model.Intent{ID: uuid.NewString(), Ops: []model.Op{{Kind: model.OpCancelJob, Name: job}}})
		if err == nil && p.State == model.PlanOpen {
			p, err = c.operator.Confirm(ctx, p.ID)
		}
		switch {
		case err == nil && p.State == model.PlanConfirmed:
			return nil
		case ctx.Err() != nil:
			return fmt.Errorf("cancel %s: plan %+v: %w", job, p, err)
		}
		if current, err := c.operator.Job(ctx, job); err == nil && current.State == model.JobCancelled {
			return nil // an earlier attempt succeeded, but its answer was lost
		}
	}
}

// requireNoStartAfterEnd requires by the platform's journal that no task of a
// job started after the job's end and that none still runs.
func (c *cluster) requireNoStartAfterEnd(ended map[string]time.Time) {
	c.t.Helper()
	var list fakes.EntryList[fakes.Event]
	getJSON(c.t, c.platformURL+"/v1/journal", "", &list)
	running := map[string]string{}
	started := 0
	for _, e := range list.Entries {
		end, ok := ended[e.Job]
		switch {
		case !ok:
		case e.Kind == fakes.EventStart:
			started++
			running[e.Lease] = e.Job
			require.False(c.t, e.At.After(end), "%s started %s after it was cancelled", e.Job, e.At.Sub(end))
		case e.Kind == fakes.EventEnd:
			delete(running, e.Lease)
		}
	}
	require.Positive(c.t, started)
	require.Empty(c.t, running, "cancelled jobs still run")
}
