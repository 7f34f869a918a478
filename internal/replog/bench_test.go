package replog_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/store/memdisk"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// directTransport is a transport between the nodes of one process without
// delay.
type directTransport struct {
	nodes map[string]*replog.Node
	group *errgroup.Group
	queue map[string]chan *wire.LogMessage
}

func (d *directTransport) Send(to string, m *wire.LogMessage) {
	select {
	case d.queue[to] <- m:
	default:
	}
}

// startDirectCluster runs three nodes with data folders on the file system and
// returns the leader.
func startDirectCluster(b *testing.B) *replog.Node {
	ctx, cancel := context.WithCancel(context.Background())
	d := &directTransport{nodes: make(map[string]*replog.Node), queue: make(map[string]chan *wire.LogMessage), group: &errgroup.Group{}}
	opt := replog.Options{Cluster: "bench", Voters: []replog.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	for _, p := range opt.Voters {
		d.queue[p.Name] = make(chan *wire.LogMessage, 4096)
	}
	dir := b.TempDir()
	for i, p := range opt.Voters {
		fs, err := store.Dir(filepath.Join(dir, p.Name))
		require.NoError(b, err)
		st, err := store.Open(fs, store.Options{Cluster: "bench", Name: p.Name, Incarnation: p.Name})
		require.NoError(b, err)
		opt.Name, opt.Seed = p.Name, uint64(i)
		n, err := replog.New(opt, st, discardMachine{}, d, zap.NewNop())
		require.NoError(b, err)
		d.nodes[p.Name] = n
		d.group.Go(func() error { return n.Run(ctx) })
		d.group.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case m := <-d.queue[p.Name]:
					n.Step(m)
				}
			}
		})
	}
	b.Cleanup(func() {
		cancel()
		require.NoError(b, d.group.Wait())
	})
	for {
		for _, n := range d.nodes {
			if n.Status().Role == replog.Leader {
				if _, _, err := n.Propose(ctx, []byte("first")); err == nil {
					return n
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// syncRate returns how many small writes with a sync each the file system does
// per second, for comparison.
func syncRate(b *testing.B, n int) float64 {
	f, err := os.Create(filepath.Join(b.TempDir(), "plain"))
	require.NoError(b, err)
	block := make([]byte, 200)
	start := time.Now()
	for range n {
		_, err := f.Write(block)
		require.NoError(b, err)
		require.NoError(b, f.Sync())
	}
	rate := float64(n) / time.Since(start).Seconds()
	require.NoError(b, f.Close())
	return rate
}

// BenchmarkCommit measures commits on three nodes, and compares them with plain
// synced writes to the same file system.
func BenchmarkCommit(b *testing.B) {
	for _, clients := range []int{1, 256} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			baseline := syncRate(b, 500)
			n := startDirectCluster(b)
			cmd := make([]byte, 200)
			times := make([][]time.Duration, clients)
			b.ResetTimer()
			start := time.Now()
			var g errgroup.Group
			for c := range clients {
				g.Go(func() error {
					for i := c; i < b.N; i += clients {
						begin := time.Now()
						if _, _, err := n.Propose(context.Background(), cmd); err != nil {
							return err
						}
						times[c] = append(times[c], time.Since(begin))
					}
					return nil
				})
			}
			require.NoError(b, g.Wait())
			rate := float64(b.N) / time.Since(start).Seconds()
			b.StopTimer()
			baseline = (baseline + syncRate(b, 500)) / 2
			all := slices.Concat(times...)
			slices.Sort(all)
			b.ReportMetric(rate, "commits/s")
			b.ReportMetric(baseline, "plainsyncs/s")
			b.ReportMetric(rate/baseline, "commits/plainsync")
			b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
		})
	}
}

// BenchmarkEntryMemory reports the memory that an entry of 200 bytes takes.
func BenchmarkEntryMemory(b *testing.B) {
	const n = 100_000
	for range b.N {
		ctx, cancel := context.WithCancel(context.Background())
		st, err := store.Open(memdisk.New(), store.Options{Cluster: "bench", Name: "a", Incarnation: "a", SegmentBytes: 1 << 30})
		require.NoError(b, err)
		opt := replog.Options{Name: "a", Cluster: "bench", Voters: []replog.Peer{{Name: "a"}}, SnapshotThresholdBytes: 1 << 30, MaxQueueBytes: 1 << 30}
		node, err := replog.New(opt, st, discardMachine{}, &testHost{}, zap.NewNop())
		require.NoError(b, err)
		var g errgroup.Group
		g.Go(func() error { return node.Run(ctx) })
		for node.Status().Role != replog.Leader {
			time.Sleep(time.Millisecond)
		}
		before := heapBytes()
		var clients errgroup.Group
		for range 100 {
			clients.Go(func() error {
				for range n / 100 {
					if _, _, err := node.Propose(ctx, make([]byte, 200)); err != nil {
						return err
					}
				}
				return nil
			})
		}
		require.NoError(b, clients.Wait())
		// The simulated disk holds each entry, 215 bytes with its encoding, in
		// memory twice: as written and as synced.
		onDisk := float64(node.Status().LastIndex) * 2 * 215
		b.ReportMetric((float64(heapBytes()-before)-onDisk)/n, "B/entry")
		cancel()
		require.NoError(b, g.Wait())
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// discardMachine is a state machine without state.
type discardMachine struct{}

func (discardMachine) Apply(uint64, []byte) any { return nil }
func (discardMachine) Snapshot() (func(w io.Writer) error, error) {
	return func(io.Writer) error { return nil }, nil
}
func (discardMachine) Restore(io.Reader) error { return nil }

// BenchmarkSnapshot writes and restores a state of 160,000 records of 300 bytes
// on the file system.
func BenchmarkSnapshot(b *testing.B) {
	machine := &recordingMachine{}
	for i := range 160_000 {
		record := make([]byte, 300)
		binary.LittleEndian.PutUint64(record, uint64(i))
		machine.Apply(0, record)
	}
	fs, err := store.Dir(filepath.Join(b.TempDir(), "data"))
	require.NoError(b, err)
	st, err := store.Open(fs, store.Options{Cluster: "bench", Name: "a", Incarnation: "a"})
	require.NoError(b, err)
	var capture, write, read time.Duration
	for i := range b.N {
		start := time.Now()
		f, err := machine.Snapshot()
		require.NoError(b, err)
		capture += time.Since(start)
		start = time.Now()
		require.NoError(b, st.WriteSnapshot(&wire.LogSnapshot{Index: uint64(i + 1)}, f))
		write += time.Since(start)
		start = time.Now()
		require.NoError(b, st.ReadSnapshot(func(_ *wire.LogSnapshot, r io.Reader) error { return (&recordingMachine{}).Restore(r) }))
		read += time.Since(start)
	}
	b.ReportMetric(float64(capture.Microseconds())/float64(b.N), "capture-µs")
	b.ReportMetric(float64(write.Milliseconds())/float64(b.N), "write-ms")
	b.ReportMetric(float64(read.Milliseconds())/float64(b.N), "restore-ms")
}
