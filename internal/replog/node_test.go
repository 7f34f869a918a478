package replog_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/store/memdisk"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// oneWayDelay is the network delay of a message.
const oneWayDelay = 1500 * time.Microsecond

// recordingMachine is a state machine that keeps every command.
type recordingMachine struct {
	mu   sync.Mutex
	cmds [][]byte
}

func (m *recordingMachine) Apply(_ uint64, cmd []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmds = append(m.cmds, cmd)
	return len(m.cmds)
}

func (m *recordingMachine) Snapshot() (func(w io.Writer) error, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cmds := m.cmds[:len(m.cmds):len(m.cmds)]
	return func(w io.Writer) error {
		for _, cmd := range cmds {
			header := binary.AppendUvarint(nil, uint64(len(cmd)))
			if _, err := w.Write(append(header, cmd...)); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

func (m *recordingMachine) Restore(r io.Reader) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmds = nil
	for in := bytes.NewReader(b); in.Len() > 0; {
		n, err := binary.ReadUvarint(in)
		if err != nil {
			return err
		}
		cmd := make([]byte, n)
		if _, err := io.ReadFull(in, cmd); err != nil {
			return err
		}
		m.cmds = append(m.cmds, cmd)
	}
	return nil
}

func (m *recordingMachine) commands() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, cmd := range m.cmds {
		out = append(out, string(cmd))
	}
	return out
}

// testCluster is a cluster of nodes in one process with a simulated network.
type testCluster struct {
	t            testing.TB
	opt          replog.Options
	networkDelay time.Duration

	mu           sync.Mutex
	hosts        map[string]*testHost
	disconnected map[[2]string]bool // by sender and receiver
}

// testHost is a simulated machine that runs a node. It is the node's transport.
type testHost struct {
	cluster *testCluster
	name    string
	disk    *memdisk.Disk
	starts  int // number of starts
	node    *replog.Node
	machine *recordingMachine
	cancel  context.CancelFunc
	group   *errgroup.Group
	err     error // result of the node's last run
}

func newTestCluster(t testing.TB, names ...string) *testCluster {
	c := &testCluster{t: t, networkDelay: oneWayDelay, hosts: make(map[string]*testHost), disconnected: make(map[[2]string]bool)}
	c.opt = replog.Options{Cluster: "test"}
	for _, name := range names {
		c.opt.Voters = append(c.opt.Voters, replog.Peer{Name: name})
	}
	for _, name := range names {
		c.startHost(name)
	}
	t.Cleanup(c.stopAll)
	return c
}

func (c *testCluster) stopAll() {
	for name := range c.hosts {
		c.killHost(name)
	}
}

// startHost runs a node with the contents of the host's disk.
func (c *testCluster) startHost(name string) *testHost {
	c.mu.Lock()
	h := c.hosts[name]
	if h == nil {
		h = &testHost{cluster: c, name: name, disk: memdisk.New()}
		c.hosts[name] = h
	}
	c.mu.Unlock()
	h.starts++
	st, err := store.Open(h.disk, store.Options{
		Cluster: "test", Name: name, Incarnation: fmt.Sprintf("%s-%d", name, h.starts), SegmentBytes: 64 << 10,
	})
	require.NoError(c.t, err)
	opt := c.opt
	opt.Name = name
	opt.Seed = uint64(name[len(name)-1])
	h.machine = &recordingMachine{}
	node, err := replog.New(opt, st, h.machine, h, zap.NewNop())
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	h.node, h.cancel, h.group = node, cancel, &errgroup.Group{}
	c.mu.Unlock()
	h.group.Go(func() error { return node.Run(ctx) })
	return h
}

// killHost stops a node abruptly. Its disk loses unsynced writes.
func (c *testCluster) killHost(name string) {
	c.mu.Lock()
	h := c.hosts[name]
	running := h.node != nil
	h.node = nil
	c.mu.Unlock()
	if !running {
		return
	}
	h.disk.Crash(nil)
	h.cancel()
	h.err = h.group.Wait()
}

// Send implements replog.Transport.
func (h *testHost) Send(to string, m *wire.LogMessage) {
	c := h.cluster
	time.AfterFunc(c.networkDelay, func() {
		c.mu.Lock()
		var node *replog.Node
		if peer := c.hosts[to]; peer != nil && !c.disconnected[[2]string{h.name, to}] {
			node = peer.node
		}
		c.mu.Unlock()
		if node != nil {
			node.Step(m)
		}
	})
}

// setDisconnected disconnects or reconnects two hosts in both directions.
func (c *testCluster) setDisconnected(x, y string, disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected[[2]string{x, y}] = disconnected
	c.disconnected[[2]string{y, x}] = disconnected
}

func (c *testCluster) node(name string) *replog.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[name].node
}

// waitUntil polls until a condition holds.
func (c *testCluster) waitUntil(what string, cond func() bool) {
	c.t.Helper()
	end := time.Now().Add(30 * time.Second)
	for !cond() {
		if time.Now().After(end) {
			c.t.Fatalf("timed out waiting for: %s; %s", what, c.describe())
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *testCluster) describe() string {
	var out string
	for name := range c.hosts {
		if n := c.node(name); n != nil {
			out += fmt.Sprintf("\n%s: %+v", name, n.Status())
		}
	}
	return out
}

// waitForLeader returns the name of a leader other than the given hosts. It
// waits until there is one.
func (c *testCluster) waitForLeader(excluded ...string) string {
	c.t.Helper()
	var found string
	c.waitUntil("a leader", func() bool {
		for name := range c.hosts {
			n := c.node(name)
			if n == nil || contains(excluded, name) {
				continue
			}
			if s := n.Status(); s.Role == replog.Leader && s.LeaseDeadline.After(time.Now()) {
				found = name
				return true
			}
		}
		return false
	})
	return found
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// mustPropose proposes a command to the current leader until one commits it.
func (c *testCluster) mustPropose(cmd string) {
	c.t.Helper()
	c.waitUntil("commit of "+cmd, func() bool {
		n := c.node(c.waitForLeader())
		if n == nil {
			return false
		}
		_, _, err := n.Propose(c.t.Context(), []byte(cmd))
		return err == nil
	})
}

// TestLeaderResigns checks that a leader that resigns is replaced long before
// an election timeout, and answers no more reads in its term.
func TestLeaderResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "a", "b", "c")
		c.mustPropose("x")
		for range 5 {
			old := c.waitForLeader()
			term := c.node(old).Status().Term
			began := time.Now()
			c.node(old).Resign()
			require.ErrorIs(t, c.node(old).View(t.Context(), func() error { return nil }), replog.ErrNotLeader)
			next := c.waitForLeader(old)
			require.Less(t, time.Since(began), replog.DefaultElectionTimeout/2)
			require.Greater(t, c.node(next).Status().Term, term)
			c.mustPropose("y")
		}
	})
}

func TestClusterElectsAndCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "a", "b", "c")
		for i := range 10 {
			c.mustPropose(fmt.Sprint(i))
		}
		want := c.hosts[c.waitForLeader()].machine.commands()
		require.Len(t, want, 10)
		for name, h := range c.hosts {
			c.waitUntil(name+" has applied all commands", func() bool { return len(h.machine.commands()) == 10 })
			require.Equal(t, want, h.machine.commands())
		}
	})
}
