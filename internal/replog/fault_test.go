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

// TestLeaderlessTimeAfterAKill checks the limit of issue 4 on the time without
// a leader, with a one-way delay of 1.5 ms between domains.
func TestLeaderlessTimeAfterAKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b", "c")
		var gaps []time.Duration
		for range 20 {
			b.propose("x")
			old := b.leader()
			b.kill(old)
			start := time.Now()
			b.propose("y")
			gaps = append(gaps, time.Since(start))
			require.Less(t, gaps[len(gaps)-1], 2*time.Second)
			b.start(old)
			b.until("the restarted host has applied all commands", func() bool {
				return len(b.hosts[old].machine.all()) == len(b.hosts[b.leader()].machine.all())
			})
		}
		slices.Sort(gaps)
		t.Logf("time from a kill to the next commit: median %v, maximum %v of %d", gaps[len(gaps)/2], gaps[len(gaps)-1], len(gaps))
	})
}

// TestRestartAfterThousandsOfChanges restarts a host that needs a snapshot and
// the entries after it.
func TestRestartAfterThousandsOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.opt.Voters = []replog.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		b.opt.SnapshotBytes, b.opt.TailBytes, b.opt.ChunkBytes = 50_000, 10_000, 4096
		for _, p := range b.opt.Voters {
			b.start(p.Name)
		}
		b.propose("first")
		down := "a"
		if b.leader() == down {
			down = "b"
		}
		b.kill(down)
		for i := range 3000 {
			b.propose(fmt.Sprint(i))
		}
		require.Positive(t, b.node(b.leader()).Status().Snapshot)
		start := time.Now()
		b.start(down)
		b.until("the restarted host has applied all commands", func() bool { return len(b.hosts[down].machine.all()) == 3001 })
		t.Logf("caught up with 3000 changes in %v", time.Since(start))
		require.Equal(t, b.hosts[b.leader()].machine.all(), b.hosts[down].machine.all())
		require.Less(t, b.node(b.leader()).Status().LogBytes, 100_000)
	})
}

// TestFullDiskOfAFollower checks that the cluster continues while the disk of a
// follower is full, and that the follower reports it.
func TestFullDiskOfAFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b", "c")
		b.propose("first")
		full := "a"
		if b.leader() == full {
			full = "b"
		}
		b.hosts[full].disk.SetFree(0)
		for i := range 100 {
			b.propose(fmt.Sprint(i))
		}
		b.until("the follower reports the full disk", func() bool { return b.node(full).Status().DiskFull })
		b.until("the leader shows the follower's full disk", func() bool {
			for _, p := range b.node(b.leader()).Status().Peers {
				if p.Name == full && p.DiskFull {
					return true
				}
			}
			return false
		})
		b.hosts[full].disk.SetFree(-1)
		b.until("the follower has applied all commands", func() bool {
			return !b.node(full).Status().DiskFull && len(b.hosts[full].machine.all()) == 101
		})
	})
}

// TestFullDiskOfTheLeader checks that another replica becomes leader when the
// disk of the leader is full.
func TestFullDiskOfTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b", "c")
		b.propose("first")
		full := b.leader()
		b.hosts[full].disk.SetFree(0)
		b.propose("second")
		b.propose("third")
		require.NotEqual(t, full, b.leader())
		b.hosts[full].disk.SetFree(-1)
		b.until("the former leader has applied all commands", func() bool { return len(b.hosts[full].machine.all()) >= 3 })
	})
}

// TestAllDisksFull checks that nothing is acknowledged while all disks are
// full, and that the cluster recovers when there is space again.
func TestAllDisksFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b", "c")
		b.propose("first")
		for _, h := range b.hosts {
			h.disk.SetFree(0)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		for ctx.Err() == nil {
			for name := range b.hosts {
				_, _, err := b.node(name).Propose(ctx, []byte("second"))
				require.Error(t, err)
			}
			time.Sleep(time.Second)
		}
		for _, h := range b.hosts {
			h.disk.SetFree(-1)
		}
		b.propose("third")
		require.Contains(t, b.hosts[b.leader()].machine.all(), "first")
	})
}

func TestOutcomeIsUnknownWhenLeadershipIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b", "c")
		b.propose("first")
		old := b.leader()
		for name := range b.hosts {
			b.setCut(old, name, true)
		}
		_, _, err := b.node(old).Propose(t.Context(), []byte("second"))
		require.ErrorIs(t, err, replog.ErrUnknown)
		_, _, err = b.node(old).Propose(t.Context(), []byte("third"))
		require.ErrorIs(t, err, replog.ErrNotLeader)
		_, err = b.node(old).Read(t.Context())
		require.ErrorIs(t, err, replog.ErrNotLeader)
		b.leader(old)
	})
}

// TestViewOutlastsNoLease checks that View fails if the leader loses its lease
// while it reads.
func TestViewOutlastsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b", "c")
		b.propose("first")
		old := b.leader()
		n := b.node(old)
		require.NoError(t, n.View(t.Context(), func() error { return nil }))
		for name := range b.hosts {
			b.setCut(old, name, true)
		}
		err := n.View(t.Context(), func() error {
			time.Sleep(replog.DefaultElection)
			return nil
		})
		require.ErrorIs(t, err, replog.ErrNotLeader)
	})
}

// TestLostHostIsReplacedWhileTheSystemRuns replaces a lost host with the API
// and checks that the cluster then tolerates the loss of another host.
func TestLostHostIsReplacedWhileTheSystemRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b", "c")
		b.propose("first")
		lost, other := "a", "b"
		if b.leader() == lost {
			lost = "c"
		}
		b.kill(lost)
		b.hosts[lost].disk = memdisk.New()
		b.start(lost)
		leader := b.node(b.leader())
		b.until("the wiped host has announced itself", func() bool { return len(leader.Status().Waiting) == 1 })
		require.NoError(t, leader.Replace(t.Context(), lost, lost))
		require.False(t, leader.Status().Repairs[0].Done)
		b.until("the repair is done", func() bool { return leader.Status().Repairs[0].Done })
		if b.leader() != other {
			other = b.leader()
		}
		b.kill(other)
		b.propose("second")
		require.Equal(t, []string{"first", "second"}, b.hosts[b.leader()].machine.all())
		dump, err := json.Marshal(b.node(b.leader()).Status())
		require.NoError(t, err)
		require.Contains(t, string(dump), `"incarnation":"`+lost+`-2"`)
	})
}

func TestLearnerIsAddedPromotedAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b", "c")
		b.propose("first")
		b.start("d")
		leader := b.node(b.leader())
		b.until("d has announced itself", func() bool { return len(leader.Status().Waiting) == 1 })
		require.NoError(t, leader.AddLearner(t.Context(), "d"))
		b.until("d is promoted", func() bool { return leader.Promote(t.Context(), "d") == nil })
		require.Len(t, leader.Status().Members, 4)
		require.NoError(t, leader.Remove(t.Context(), "d"))
		require.Len(t, leader.Status().Members, 3)
	})
}

func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b", "c")
		b.propose("first")
		h := b.hosts[b.leader()]
		for _, other := range b.hosts {
			other.disk.SetSyncDelay(time.Millisecond)
		}
		before := h.disk.Syncs()
		var g errgroup.Group
		for i := range 256 {
			g.Go(func() error {
				_, _, err := h.node.Propose(t.Context(), []byte(fmt.Sprint(i)))
				return err
			})
		}
		require.NoError(t, g.Wait())
		require.LessOrEqual(t, h.disk.Syncs()-before, 256/20)
	})
}

func TestOptionsAreChecked(t *testing.T) {
	good := replog.Options{Name: "a", Cluster: "x", Voters: []replog.Peer{{Name: "a"}, {Name: "b"}}}.WithDefaults()
	require.NoError(t, good.Validate())
	for want, spoil := range map[string]func(o *replog.Options){
		"name: empty":           func(o *replog.Options) { o.Name = "" },
		"cluster: empty":        func(o *replog.Options) { o.Cluster = "" },
		"voters[1].name: \"a\"": func(o *replog.Options) { o.Voters = []replog.Peer{{Name: "a"}, {Name: "a"}} },
		"voters[0].name: empty": func(o *replog.Options) { o.Voters = []replog.Peer{{}} },
		"voters: empty":         func(o *replog.Options) { o.Voters = nil },
		"election:":             func(o *replog.Options) { o.Election = o.Heartbeat },
		"clockDrift:":           func(o *replog.Options) { o.ClockDrift = 1 },
	} {
		opt := good
		spoil(&opt)
		err := opt.Validate()
		require.ErrorIs(t, err, replog.ErrOptions)
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
	n, err := replog.New(opt, st, &journal{}, &host{}, zap.NewNop())
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
