package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// controlOnly is a cluster without backend servers.
var controlOnly = clusterSize{controls: 3, entries: 2, agents: 0, workers: 1}

// leaderIndex waits until a control process leads and returns its index.
func (c *cluster) leaderIndex() int {
	c.t.Helper()
	index := -1
	pollUntil(c.t, 10*time.Second, "a leader is known", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		list, err := c.operator.Members(ctx)
		if err != nil {
			return false
		}
		for _, m := range list.Members {
			if m.Role == client.MemberLeader {
				_, err := fmt.Sscanf(m.Name, "ctl%d", &index)
				index--
				return err == nil
			}
		}
		return false
	})
	return index
}

// setTeamOp returns the operation that creates a team.
func setTeamOp(name string) model.Op {
	return model.Op{Kind: model.OpSetTeam, Team: &model.Team{Name: name, Weight: 1}}
}

// commitChange creates a team and returns its plan. It retries until it gets an
// answer, and plans anew after a conflict with another change.
func (c *cluster) commitChange(name string, timeout time.Duration) (model.Plan, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	intent := model.Intent{ID: uuid.NewString(), Ops: []model.Op{setTeamOp(name)}}
	for {
		p, err := c.operator.Propose(ctx, intent)
		if err == nil {
			p, err = c.operator.Confirm(ctx, p.ID)
		}
		if err == nil && p.State == model.PlanConflict {
			intent.ID = uuid.NewString()
			continue
		}
		if err == nil || ctx.Err() != nil {
			return p, err
		}
	}
}

// changeStream creates teams one after the other until stop is closed. It keeps
// the names of those that were acknowledged and the longest time that one took.
type changeStream struct {
	group   errgroup.Group
	stop    chan struct{}
	mu      sync.Mutex
	acked   []string
	longest time.Duration
}

func (c *cluster) startChanges(prefix string) *changeStream {
	ch := &changeStream{stop: make(chan struct{})}
	ch.group.Go(func() error {
		for n := 0; ; n++ {
			select {
			case <-ch.stop:
				return nil
			default:
			}
			name := fmt.Sprintf("%s%d", prefix, n)
			start := time.Now()
			if _, err := c.commitChange(name, 15*time.Second); err != nil {
				return err
			}
			ch.mu.Lock()
			ch.acked = append(ch.acked, name)
			ch.longest = max(ch.longest, time.Since(start))
			ch.mu.Unlock()
		}
	})
	return ch
}

func (ch *changeStream) finish(t *testing.T) []string {
	t.Helper()
	close(ch.stop)
	require.NoError(t, ch.group.Wait())
	return ch.acked
}

// requireTeams requires the teams of these names, whose creation was
// acknowledged, to exist.
func (c *cluster) requireTeams(names []string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	list, err := c.operator.Teams(ctx)
	require.NoError(c.t, err)
	existing := map[string]bool{}
	for _, t := range list.Teams {
		existing[t.Name] = true
	}
	for _, n := range names {
		require.True(c.t, existing[n], "acknowledged team %s is lost", n)
	}
}

// TestLeaderKilled kills the leader with SIGKILL three times while changes are
// committed. No acknowledged change may be lost.
func TestLeaderKilled(t *testing.T) {
	c := newCluster(t, controlOnly)
	c.awaitEntries()
	ch := c.startChanges("t")
	for range 3 {
		time.Sleep(500 * time.Millisecond)
		leader := c.leaderIndex()
		c.controls[leader].kill()
		time.Sleep(2500 * time.Millisecond)
		c.controls[leader].start()
		time.Sleep(time.Second)
	}
	acked := ch.finish(t)
	require.NotEmpty(t, acked)
	c.requireTeams(acked)
	t.Logf("%d changes acknowledged, longest %s", len(acked), ch.longest)
	require.Less(t, ch.longest, 5*time.Second)
}

// TestLeaderSuspended suspends the leader until its lease has ended, changes
// the configuration meanwhile and resumes it. The former leader must not answer
// with the old configuration.
func TestLeaderSuspended(t *testing.T) {
	c := newCluster(t, controlOnly)
	c.awaitEntries()
	_, err := c.commitChange("before", 10*time.Second)
	require.NoError(t, err)
	leader := c.leaderIndex()
	formerLeader, err := client.NewOperator([]string{"http://" + c.apiAddrs[leader]}, operatorName, operatorKey, &http.Client{})
	require.NoError(t, err)
	c.controls[leader].suspend()
	after, err := c.commitChange("after", 15*time.Second)
	require.NoError(t, err)
	time.Sleep(6 * time.Second)
	c.controls[leader].resume()
	answered := 0
	pollUntil(t, 10*time.Second, "the former leader answers again", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		cfg, err := formerLeader.Config(ctx)
		if err != nil {
			return false
		}
		require.GreaterOrEqual(t, cfg.Revision, after.Revision, "the former leader answered with an old revision")
		answered++
		return answered >= 20
	})
	c.requireTeams([]string{"before", "after"})
}

// TestDataFolderLost deletes the data folder of one control process, replaces
// the replica while changes are committed, and kills another control process as
// soon as the repair is reported as done. A repair that is reported too early
// would lose the quorum or acknowledged changes.
func TestDataFolderLost(t *testing.T) {
	c := newCluster(t, controlOnly)
	c.awaitEntries()
	ch := c.startChanges("t")
	time.Sleep(time.Second)
	leader := c.leaderIndex()
	lost, next := (leader+1)%3, (leader+2)%3
	name := fmt.Sprintf("ctl%d", lost+1)
	c.controls[lost].kill()
	require.NoError(t, os.RemoveAll(filepath.Join(c.dir, name)))
	c.controls[lost].start()
	c.awaitMember(name, func(m client.Member) bool { return m.Role == client.MemberWaiting })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := c.operator.ChangeMembers(ctx, client.MemberChange{ID: uuid.NewString(), Operator: operatorName, Verb: client.MemberReplace, Name: name, Replacement: name})
	require.NoError(t, err)
	c.awaitMember(name, func(m client.Member) bool { return m.Repair == client.RepairDone && m.Role == client.MemberFollower })
	c.controls[next].kill()
	_, err = c.commitChange("after-second-loss", 10*time.Second)
	require.NoError(t, err)
	acked := ch.finish(t)
	c.requireTeams(append(acked, "after-second-loss"))
	// The quorum now consists of the repaired process and the one that was
	// restarted.
	c.controls[leader].kill()
	c.controls[next].start()
	c.requireTeams(acked)
}

// awaitMember waits until match returns true for the member of that name.
func (c *cluster) awaitMember(name string, match func(client.Member) bool) {
	c.t.Helper()
	var last client.MemberList
	defer func() {
		if c.t.Failed() {
			c.t.Logf("members: %+v", last)
		}
	}()
	pollUntil(c.t, 20*time.Second, "state of member "+name, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		list, err := c.operator.Members(ctx)
		if err != nil {
			return false
		}
		last = list
		for _, m := range list.Members {
			if m.Name == name && match(m) {
				return true
			}
		}
		return false
	})
}

// TestCatchUpAfterManyChanges keeps one control process down for 1,000 changes,
// restarts it and kills another one. The restarted process must catch up, as no
// change can be committed without it.
func TestCatchUpAfterManyChanges(t *testing.T) {
	c := newCluster(t, controlOnly)
	c.awaitEntries()
	leader := c.leaderIndex()
	lagging, other := (leader+1)%3, (leader+2)%3
	c.controls[lagging].kill()
	var g errgroup.Group
	for i := range 8 {
		g.Go(func() error {
			for n := range 125 {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				job := model.Job{ID: fmt.Sprintf("j-%d-%d", i, n), Team: "t0", Urgency: model.Normal, Command: "sleep 1h", EstimateMs: 1, Shape: model.Shape{Members: 1, Cores: 1, Accels: 1, Proximity: model.ProximityWorker}}
				_, err := c.operator.Propose(ctx, model.Intent{ID: job.ID, Ops: []model.Op{{Kind: model.OpSubmitJob, Job: &job}}})
				cancel()
				if err != nil {
					return err
				}
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	_, err := c.commitChange("last", 10*time.Second)
	require.NoError(t, err)
	c.controls[lagging].start()
	c.controls[other].kill()
	_, err = c.commitChange("after-catch-up", 15*time.Second)
	require.NoError(t, err)
	c.requireTeams([]string{"last", "after-catch-up"})
}

// TestConcurrentOperators confirms two plans of the same change that were made
// for the same revision. One is confirmed and the other ends in a conflict;
// sending an intent again returns the same plan, and another intent under its
// id is refused.
func TestConcurrentOperators(t *testing.T) {
	c := newCluster(t, controlOnly)
	c.awaitEntries()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	newIntent := func(id string, weight int) model.Intent {
		return model.Intent{ID: id, Ops: []model.Op{{Kind: model.OpSetTeam, Team: &model.Team{Name: "linen", Weight: weight}}}}
	}
	var plans [2]model.Plan
	for i := range plans {
		p, err := c.operator.Propose(ctx, newIntent(fmt.Sprint("race-", i), 5))
		require.NoError(t, err)
		plans[i] = p
	}
	var g errgroup.Group
	for i := range plans {
		g.Go(func() error {
			p, err := c.operator.Confirm(ctx, plans[i].ID)
			plans[i] = p
			return err
		})
	}
	require.NoError(t, g.Wait())
	states := map[model.PlanState]int{plans[0].State: 1}
	states[plans[1].State]++
	require.Equal(t, map[model.PlanState]int{model.PlanConfirmed: 1, model.PlanConflict: 1}, states)
	other, err := client.NewOperator([]string{"http://" + c.callAddrs[1]}, operatorName, operatorKey, &http.Client{})
	require.NoError(t, err)
	for i := range plans {
		again, err := other.Propose(ctx, newIntent(fmt.Sprint("race-", i), 5))
		require.NoError(t, err)
		require.Equal(t, plans[i].ID, again.ID)
		require.Equal(t, plans[i].State, again.State)
	}
	_, err = other.Propose(ctx, newIntent("race-0", 6))
	require.ErrorIs(t, err, client.ErrConflict)
}

// TestCorruptDataFolder starts a control process on a data folder with a
// corrupt identity file. The process must end with the exit status for a
// refused data folder.
func TestCorruptDataFolder(t *testing.T) {
	c := newCluster(t, controlOnly)
	c.awaitEntries()
	p := c.controls[0]
	require.Equal(t, 0, p.stop(20*time.Second))
	require.NoError(t, os.WriteFile(filepath.Join(c.dir, "ctl1", "identity"), []byte("{}"), 0o600))
	p.start()
	pollUntil(t, 10*time.Second, "the process ends", func() bool {
		select {
		case <-p.exited:
			return true
		default:
			return false
		}
	})
	require.Equal(t, 4, p.cmd.ProcessState.ExitCode(), lastLines(p.output.String(), 3))
}
