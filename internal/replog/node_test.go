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

const oneWay = 1500 * time.Microsecond

// journal is a state machine that keeps every command.
type journal struct {
	mu   sync.Mutex
	cmds [][]byte
}

func (j *journal) Apply(_ uint64, cmd []byte) any {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cmds = append(j.cmds, cmd)
	return len(j.cmds)
}

func (j *journal) Snapshot() (func(w io.Writer) error, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	cmds := j.cmds[:len(j.cmds):len(j.cmds)]
	return func(w io.Writer) error {
		for _, cmd := range cmds {
			head := binary.AppendUvarint(nil, uint64(len(cmd)))
			if _, err := w.Write(append(head, cmd...)); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

func (j *journal) Restore(r io.Reader) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cmds = nil
	for in := bytes.NewReader(b); in.Len() > 0; {
		n, err := binary.ReadUvarint(in)
		if err != nil {
			return err
		}
		cmd := make([]byte, n)
		if _, err := io.ReadFull(in, cmd); err != nil {
			return err
		}
		j.cmds = append(j.cmds, cmd)
	}
	return nil
}

func (j *journal) all() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for _, cmd := range j.cmds {
		out = append(out, string(cmd))
	}
	return out
}

// bench is a cluster of nodes in one process with a simulated network.
type bench struct {
	t     testing.TB
	opt   replog.Options
	delay time.Duration

	mu    sync.Mutex
	hosts map[string]*host
	cut   map[[2]string]bool
}

// host is a simulated machine that runs a node. It is the node's transport.
type host struct {
	b       *bench
	name    string
	disk    *memdisk.Disk
	made    int // number of starts
	node    *replog.Node
	machine *journal
	cancel  context.CancelFunc
	group   *errgroup.Group
	err     error
}

func newBench(t testing.TB, names ...string) *bench {
	b := &bench{t: t, delay: oneWay, hosts: make(map[string]*host), cut: make(map[[2]string]bool)}
	b.opt = replog.Options{Cluster: "test"}
	for _, name := range names {
		b.opt.Voters = append(b.opt.Voters, replog.Peer{Name: name})
	}
	for _, name := range names {
		b.start(name)
	}
	t.Cleanup(b.stopAll)
	return b
}

func (b *bench) stopAll() {
	for name := range b.hosts {
		b.kill(name)
	}
}

// start runs a node with the contents of the host's disk.
func (b *bench) start(name string) *host {
	b.mu.Lock()
	h := b.hosts[name]
	if h == nil {
		h = &host{b: b, name: name, disk: memdisk.New()}
		b.hosts[name] = h
	}
	b.mu.Unlock()
	h.made++
	st, err := store.Open(h.disk, store.Options{
		Cluster: "test", Name: name, Incarnation: fmt.Sprintf("%s-%d", name, h.made), SegmentBytes: 64 << 10,
	})
	require.NoError(b.t, err)
	opt := b.opt
	opt.Name = name
	opt.Seed = uint64(name[len(name)-1])
	h.machine = &journal{}
	node, err := replog.New(opt, st, h.machine, h, zap.NewNop())
	require.NoError(b.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	b.mu.Lock()
	h.node, h.cancel, h.group = node, cancel, &errgroup.Group{}
	b.mu.Unlock()
	h.group.Go(func() error { return node.Run(ctx) })
	return h
}

// kill stops a node abruptly. Its disk loses unsynced writes.
func (b *bench) kill(name string) {
	b.mu.Lock()
	h := b.hosts[name]
	running := h.node != nil
	h.node = nil
	b.mu.Unlock()
	if !running {
		return
	}
	h.disk.Crash(nil)
	h.cancel()
	h.err = h.group.Wait()
}

// Send implements replog.Transport.
func (h *host) Send(to string, m *wire.LogMessage) {
	b := h.b
	time.AfterFunc(b.delay, func() {
		b.mu.Lock()
		var node *replog.Node
		if peer := b.hosts[to]; peer != nil && !b.cut[[2]string{h.name, to}] {
			node = peer.node
		}
		b.mu.Unlock()
		if node != nil {
			node.Step(m)
		}
	})
}

// setCut disconnects or reconnects two hosts in both directions.
func (b *bench) setCut(x, y string, cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut[[2]string{x, y}] = cut
	b.cut[[2]string{y, x}] = cut
}

func (b *bench) node(name string) *replog.Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts[name].node
}

// until polls until a condition holds.
func (b *bench) until(what string, cond func() bool) {
	b.t.Helper()
	end := time.Now().Add(30 * time.Second)
	for !cond() {
		if time.Now().After(end) {
			b.t.Fatalf("timed out waiting for: %s; %s", what, b.describe())
		}
		time.Sleep(time.Millisecond)
	}
}

func (b *bench) describe() string {
	var out string
	for name := range b.hosts {
		if n := b.node(name); n != nil {
			out += fmt.Sprintf("\n%s: %+v", name, n.Status())
		}
	}
	return out
}

// leader returns the name of a leader other than the given hosts. It waits
// until there is one.
func (b *bench) leader(not ...string) string {
	b.t.Helper()
	var found string
	b.until("a leader", func() bool {
		for name := range b.hosts {
			n := b.node(name)
			if n == nil || contains(not, name) {
				continue
			}
			if s := n.Status(); s.Role == replog.Leader && s.Lease.After(time.Now()) {
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

// propose proposes a command to the current leader until one commits it.
func (b *bench) propose(cmd string) {
	b.t.Helper()
	b.until("commit of "+cmd, func() bool {
		n := b.node(b.leader())
		if n == nil {
			return false
		}
		_, _, err := n.Propose(b.t.Context(), []byte(cmd))
		return err == nil
	})
}

// TestLeaderResigns checks that a leader that resigns is replaced long before
// an election timeout, and answers no more reads in its term.
func TestLeaderResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b", "c")
		b.propose("x")
		for range 5 {
			old := b.leader()
			term := b.node(old).Status().Term
			began := time.Now()
			b.node(old).Resign()
			require.ErrorIs(t, b.node(old).View(t.Context(), func() error { return nil }), replog.ErrNotLeader)
			next := b.leader(old)
			require.Less(t, time.Since(began), replog.DefaultElection/2)
			require.Greater(t, b.node(next).Status().Term, term)
			b.propose("y")
		}
	})
}

func TestClusterElectsAndCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b", "c")
		for i := range 10 {
			b.propose(fmt.Sprint(i))
		}
		want := b.hosts[b.leader()].machine.all()
		require.Len(t, want, 10)
		for name, h := range b.hosts {
			b.until(name+" has applied all commands", func() bool { return len(h.machine.all()) == 10 })
			require.Equal(t, want, h.machine.all())
		}
	})
}
