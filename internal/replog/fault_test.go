package replog_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/store/memdisk"
)

// TestTimeWithoutLeaderAfterKill checks that the next commit after the loss of a
// leader takes less than two seconds (issue 4), with a one-way delay of 1.5 ms
// between failure domains.
func TestTimeWithoutLeaderAfterKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "a", "b", "c")
		var durations []time.Duration
		for range 20 {
			c.mustPropose("x")
			old := c.waitForLeader()
			c.killHost(old)
			start := time.Now()
			c.mustPropose("y")
			durations = append(durations, time.Since(start))
			require.Less(t, durations[len(durations)-1], 2*time.Second)
			c.startHost(old)
			c.waitUntil("the restarted host has applied all commands", func() bool {
				return len(c.hosts[old].machine.commands()) == len(c.hosts[c.waitForLeader()].machine.commands())
			})
		}
		slices.Sort(durations)
		t.Logf("time from a kill to the next commit: median %v, maximum %v of %d", durations[len(durations)/2], durations[len(durations)-1], len(durations))
	})
}

// TestRestartedHostCatchesUpFromSnapshot restarts a host that needs a snapshot
// and the entries after it.
func TestRestartedHostCatchesUpFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		c.opt.Voters = []replog.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		c.opt.SnapshotThresholdBytes, c.opt.TrailingLogBytes, c.opt.ChunkBytes = 50_000, 10_000, 4096
		for _, p := range c.opt.Voters {
			c.startHost(p.Name)
		}
		c.mustPropose("first")
		down := "a"
		if c.waitForLeader() == down {
			down = "b"
		}
		c.killHost(down)
		for i := range 3000 {
			c.mustPropose(fmt.Sprint(i))
		}
		require.Positive(t, c.node(c.waitForLeader()).Status().SnapshotIndex)
		start := time.Now()
		c.startHost(down)
		c.waitUntil("the restarted host has applied all commands", func() bool { return len(c.hosts[down].machine.commands()) == 3001 })
		t.Logf("caught up with 3000 changes in %v", time.Since(start))
		require.Equal(t, c.hosts[c.waitForLeader()].machine.commands(), c.hosts[down].machine.commands())
		require.Less(t, c.node(c.waitForLeader()).Status().LogBytes, 100_000)
	})
}

// TestFullDiskOfAFollower checks that the cluster continues while the disk of a
// follower is full, and that the follower reports it.
func TestFullDiskOfAFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "a", "b", "c")
		c.mustPropose("first")
		full := "a"
		if c.waitForLeader() == full {
			full = "b"
		}
		c.hosts[full].disk.SetFreeBytes(0)
		for i := range 100 {
			c.mustPropose(fmt.Sprint(i))
		}
		c.waitUntil("the follower reports the full disk", func() bool { return c.node(full).Status().DiskFull })
		c.waitUntil("the leader shows the follower's full disk", func() bool {
			for _, p := range c.node(c.waitForLeader()).Status().Peers {
				if p.Name == full && p.DiskFull {
					return true
				}
			}
			return false
		})
		c.hosts[full].disk.SetFreeBytes(-1)
		c.waitUntil("the follower has applied all commands", func() bool {
			return !c.node(full).Status().DiskFull && len(c.hosts[full].machine.commands()) == 101
		})
	})
}

// TestFullDiskOfTheLeader checks that another replica becomes leader when the
// disk of the leader is full.
func TestFullDiskOfTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "a", "b", "c")
		c.mustPropose("first")
		full := c.waitForLeader()
		c.hosts[full].disk.SetFreeBytes(0)
		c.mustPropose("second")
		c.mustPropose("third")
		require.NotEqual(t, full, c.waitForLeader())
		c.hosts[full].disk.SetFreeBytes(-1)
		c.waitUntil("the former leader has applied all commands", func() bool { return len(c.hosts[full].machine.commands()) >= 3 })
	})
}

// TestAllDisksFull checks that nothing is acknowledged while all disks are
// full, and that the cluster recovers when there is space again.
func TestAllDisksFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "a", "b", "c")
		c.mustPropose("first")
		for _, h := range c.hosts {
			h.disk.SetFreeBytes(0)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		for ctx.Err() == nil {
			for name := range c.hosts {
				_, _, err := c.node(name).Propose(ctx, []byte("second"))
				require.Error(t, err)
			}
			time.Sleep(time.Second)
		}
		for _, h := range c.hosts {
			h.disk.SetFreeBytes(-1)
		}
		c.mustPropose("third")
		require.Contains(t, c.hosts[c.waitForLeader()].machine.commands(), "first")
	})
}

// TestDisksFullInTurn fills the disk of each replica for some seconds, one after another, while commands
// are proposed and snapshots written. Another operator saw changes refused long after the last disk had
// space again.
func TestDisksFullInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		names := []string{"a", "b", "c", "d", "e"}
		for _, name := range names {
			c.opt.Voters = append(c.opt.Voters, replog.Peer{Name: name})
		}
		c.opt.SnapshotThresholdBytes, c.opt.TrailingLogBytes = 20_000, 5_000
		for _, name := range names {
			c.startHost(name)
		}
		proposed := 0
		propose := func(n int) {
			for range n {
				start := time.Now()
				c.mustPropose(fmt.Sprintf("%d %s", proposed, strings.Repeat("x", 200)))
				require.Less(t, time.Since(start), 4*time.Second, "the users' bound for an acknowledgement")
				proposed++
			}
		}
		propose(1)
		for _, seconds := range []int{1, 3, 6} {
			for _, name := range names {
				c.hosts[name].disk.SetFreeBytes(0)
				deadline := time.Now().Add(time.Duration(seconds) * time.Second)
				for time.Now().Before(deadline) {
					propose(20)
					time.Sleep(100 * time.Millisecond)
				}
				c.hosts[name].disk.SetFreeBytes(-1)
				propose(1)
			}
		}
		c.waitUntil("all replicas have applied all commands", func() bool {
			for _, name := range names {
				if c.node(name).Status().DiskFull || len(c.hosts[name].machine.commands()) < proposed {
					return false
				}
			}
			return true
		})
	})
}

func TestOutcomeIsUnknownWhenLeadershipIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "a", "b", "c")
		c.mustPropose("first")
		old := c.waitForLeader()
		for name := range c.hosts {
			c.setDisconnected(old, name, true)
		}
		_, _, err := c.node(old).Propose(t.Context(), []byte("second"))
		require.ErrorIs(t, err, replog.ErrOutcomeUnknown)
		_, _, err = c.node(old).Propose(t.Context(), []byte("third"))
		require.ErrorIs(t, err, replog.ErrNotLeader)
		_, err = c.node(old).Read(t.Context())
		require.ErrorIs(t, err, replog.ErrNotLeader)
		c.waitForLeader(old)
	})
}

// TestViewFailsIfLeaseExpires checks that View fails if the leader loses its
// lease while it reads.
func TestViewFailsIfLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "a", "b", "c")
		c.mustPropose("first")
		old := c.waitForLeader()
		n := c.node(old)
		require.NoError(t, n.View(t.Context(), func() error { return nil }))
		for name := range c.hosts {
			c.setDisconnected(old, name, true)
		}
		err := n.View(t.Context(), func() error {
			time.Sleep(replog.DefaultElectionTimeout)
			return nil
		})
		require.ErrorIs(t, err, replog.ErrNotLeader)
	})
}

// TestLostHostIsReplacedOnline replaces a lost host with the API
// and checks that the cluster then tolerates the loss of another host.
func TestLostHostIsReplacedOnline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "a", "b", "c")
		c.mustPropose("first")
		lost, second := "a", "b"
		if c.waitForLeader() == lost {
			lost = "c"
		}
		c.killHost(lost)
		c.hosts[lost].disk = memdisk.New()
		c.startHost(lost)
		leader := c.node(c.waitForLeader())
		c.waitUntil("the wiped host has announced itself", func() bool { return len(leader.Status().WaitingReplicas) == 1 })
		require.NoError(t, leader.Replace(t.Context(), lost, lost))
		require.False(t, leader.Status().Repairs[0].Done)
		c.waitUntil("the repair is done", func() bool { return leader.Status().Repairs[0].Done })
		if c.waitForLeader() != second {
			second = c.waitForLeader()
		}
		c.killHost(second)
		c.mustPropose("second")
		require.Equal(t, []string{"first", "second"}, c.hosts[c.waitForLeader()].machine.commands())
		dump, err := json.Marshal(c.node(c.waitForLeader()).Status())
		require.NoError(t, err)
		require.Contains(t, string(dump), `"incarnation":"`+lost+`-2"`)
	})
}

func TestLearnerIsAddedPromotedAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "a", "b", "c")
		c.mustPropose("first")
		c.startHost("d")
		leader := c.node(c.waitForLeader())
		c.waitUntil("d has announced itself", func() bool { return len(leader.Status().WaitingReplicas) == 1 })
		require.NoError(t, leader.AddLearner(t.Context(), "d"))
		c.waitUntil("d is promoted", func() bool { return leader.Promote(t.Context(), "d") == nil })
		require.Len(t, leader.Status().Members, 4)
		require.NoError(t, leader.Remove(t.Context(), "d"))
		require.Len(t, leader.Status().Members, 3)
	})
}

// TestGroupCommit checks that concurrent proposals share syncs, on average at least
// 20 of them one sync.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "a", "b", "c")
		c.mustPropose("first")
		h := c.hosts[c.waitForLeader()]
		for _, other := range c.hosts {
			other.disk.SetSyncDelay(time.Millisecond)
		}
		before := h.disk.SyncCount()
		var g errgroup.Group
		for i := range 256 {
			g.Go(func() error {
				_, _, err := h.node.Propose(t.Context(), []byte(fmt.Sprint(i)))
				return err
			})
		}
		require.NoError(t, g.Wait())
		require.LessOrEqual(t, h.disk.SyncCount()-before, 256/20)
	})
}

func TestValidateOptions(t *testing.T) {
	valid := replog.Options{Name: "a", Cluster: "x", Voters: []replog.Peer{{Name: "a"}, {Name: "b"}}}.WithDefaults()
	require.NoError(t, valid.Validate())
	for want, invalidate := range map[string]func(o *replog.Options){
		"name: empty":           func(o *replog.Options) { o.Name = "" },
		"cluster: empty":        func(o *replog.Options) { o.Cluster = "" },
		"voters[1].name: \"a\"": func(o *replog.Options) { o.Voters = []replog.Peer{{Name: "a"}, {Name: "a"}} },
		"voters[0].name: empty": func(o *replog.Options) { o.Voters = []replog.Peer{{}} },
		"voters: empty":         func(o *replog.Options) { o.Voters = nil },
		"election:":             func(o *replog.Options) { o.ElectionTimeout = o.HeartbeatInterval },
		"clockDrift:":           func(o *replog.Options) { o.ClockDrift = 1 },
	} {
		opt := valid
		invalidate(&opt)
		err := opt.Validate()
		require.ErrorIs(t, err, replog.ErrInvalidOptions)
		require.ErrorContains(t, err, want)
	}
}

// TestClockIsMonotonic checks that the default clock has a monotonic part, so
// that jumps of the wall clock have no effect.
func TestClockIsMonotonic(t *testing.T) {
	now := replog.Options{}.WithDefaults().Clock.Now()
	require.True(t, strings.Contains(now.String(), " m="), "the clock has no monotonic part: %v", now)
}

// ExampleNode runs a cluster with a single replica.
func ExampleNode() {
	ctx, cancel := context.WithCancel(context.Background())
	st, err := store.Open(memdisk.New(), store.Options{Cluster: "demo", Name: "a", Incarnation: "1f"})
	if err != nil {
		panic(err)
	}
	opt := replog.Options{Name: "a", Cluster: "demo", Voters: []replog.Peer{{Name: "a"}}}
	n, err := replog.New(opt, st, &recordingMachine{}, &testHost{}, zap.NewNop())
	if err != nil {
		panic(err)
	}
	var g errgroup.Group
	g.Go(func() error { return n.Run(ctx) })
	for n.Status().Role != replog.Leader {
		time.Sleep(time.Millisecond)
	}
	_, result, err := n.Propose(ctx, []byte("hello"))
	fmt.Println(result, err)
	cancel()
	fmt.Println(g.Wait())
	// Output:
	// 1 <nil>
	// <nil>
}
