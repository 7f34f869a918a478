package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// clockTicks is the number of ticks a second in which /proc counts processor
// time.
const clockTicks = 100

// usage is the resource usage of a process since its start, as /proc reports it.
type usage struct {
	cpu   time.Duration
	bytes float64 // read and written, including sockets
	rss   float64 // resident memory now, in bytes
}

func usageOf(b *testing.B, p *proc) usage {
	b.Helper()
	pid := p.cmd.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(b, err)
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	pages, _ := strconv.Atoi(f[21])
	u := usage{
		cpu: time.Duration(user+system) * time.Second / clockTicks,
		rss: float64(pages * os.Getpagesize()),
	}
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	require.NoError(b, err)
	for line := range strings.Lines(string(io)) {
		name, v, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			n, _ := strconv.ParseFloat(v, 64)
			u.bytes += n
		}
	}
	return u
}

// rates is the resource usage of one process: processor seconds and bytes read
// and written, both a second, and resident memory in bytes.
type rates struct{ cpu, bytes, rss float64 }

// measure returns the mean usage of processes over an interval.
func measure(b *testing.B, ps []*proc, over time.Duration) rates {
	b.Helper()
	before := make([]usage, len(ps))
	for i, p := range ps {
		before[i] = usageOf(b, p)
	}
	time.Sleep(over)
	var sum rates
	for i, p := range ps {
		u := usageOf(b, p)
		sum.cpu += (u.cpu - before[i].cpu).Seconds() / over.Seconds()
		sum.bytes += (u.bytes - before[i].bytes) / over.Seconds()
		sum.rss += u.rss
	}
	n := float64(len(ps))
	return rates{sum.cpu / n, sum.bytes / n, sum.rss / n}
}

func (r rates) report(b *testing.B, role string) {
	b.ReportMetric(100*r.cpu, role+"-cpu-%")
	b.ReportMetric(r.bytes/1000, role+"-KB/s")
	b.ReportMetric(r.rss/1e6, role+"-MB")
}

// BenchmarkPath compares the latency of calls through entry and agent with that
// of direct calls to the backend server, and measures the throughput of an entry.
func BenchmarkPath(b *testing.B) {
	c := newCluster(b, size{controls: 3, entries: 1, agents: 10, workers: 10})
	c.await()
	c.setUp()
	c.awaitAgents(10)
	idle := measure(b, c.agents, 5*time.Second)
	idle.report(b, "idle-agent")
	measure(b, c.entries, time.Second).report(b, "idle-entry")
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, MaxConnsPerHost: 0}}
	direct := latencies(b, hc, c.backURL[0]+"/work?ms=0", "")
	path := latencies(b, hc, "http://"+c.callAddr[0]+client.PathCall+service+"/work?ms=0", teamKey)
	b.ReportMetric(float64(direct.ValueAtQuantile(50)), "direct-p50-us")
	b.ReportMetric(float64(direct.ValueAtQuantile(99)), "direct-p99-us")
	b.ReportMetric(float64(path.ValueAtQuantile(50)), "path-p50-us")
	b.ReportMetric(float64(path.ValueAtQuantile(99)), "path-p99-us")
	b.ReportMetric(float64(path.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-p50-us")
	before := usageOf(b, c.entries[0])
	began := time.Now()
	n := saturate(b, hc, c, 600, 5*time.Second)
	took := time.Since(began)
	cpu := usageOf(b, c.entries[0]).cpu - before.cpu
	b.ReportMetric(float64(n)/took.Seconds(), "req/s")
	b.ReportMetric(float64(n)/cpu.Seconds(), "req/s/entry-core")
	for i, role := range []string{"agent", "entry", "control"} {
		ps := [][]*proc{c.agents, c.entries, c.controls}[i]
		b.ReportMetric(measure(b, ps, 100*time.Millisecond).rss/1e6, "loaded-"+role+"-MB")
	}
}

// latencies calls a URL one request at a time and returns the histogram of the
// latencies in microseconds.
func latencies(b *testing.B, hc *http.Client, url, key string) *hdrhistogram.Histogram {
	b.Helper()
	h := hdrhistogram.New(1, 10_000_000, 3)
	for range 3000 {
		began := time.Now()
		require.NoError(b, post(hc, url, key))
		require.NoError(b, h.RecordValue(time.Since(began).Microseconds()))
	}
	return h
}

func post(hc *http.Client, url, key string) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := hc.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var buf bytes.Buffer
	if _, err := buf.ReadFrom(resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, buf.String())
	}
	return nil
}

// saturate sends requests over many connections at once and returns the number
// of requests that were answered.
func saturate(b *testing.B, hc *http.Client, c *cluster, conns int, over time.Duration) int {
	b.Helper()
	url := "http://" + c.callAddr[0] + client.PathCall + service + "/work?ms=0"
	until := time.Now().Add(over)
	counts := make([]int, conns)
	var g errgroup.Group
	for i := range conns {
		g.Go(func() error {
			for time.Now().Before(until) {
				if err := post(hc, url, teamKey); err != nil {
					return err
				}
				counts[i]++
			}
			return nil
		})
	}
	require.NoError(b, g.Wait())
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// BenchmarkAgents measures the usage of agents, entries and control processes
// for different numbers of agents, idle and while the configuration changes.
func BenchmarkAgents(b *testing.B) {
	for _, n := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) { measureAgents(b, n) })
	}
}

// BenchmarkEntries measures the usage of an agent for different numbers of
// entries that it is connected to.
func BenchmarkEntries(b *testing.B) {
	for _, n := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			c, stop := manyAgents(b, 20, n)
			defer stop()
			measure(b, c.agents, settleTime).report(b, "agent")
		})
	}
}

const settleTime = 10 * time.Second

// manyAgents starts a cluster with n agents as separate processes, and their
// backend servers inside the test process.
func manyAgents(b *testing.B, n, entries int) (c *cluster, stop func()) {
	b.Helper()
	c = newCluster(b, size{controls: 3, entries: entries, agents: 0, workers: n})
	c.await()
	c.setUp()
	workers := c.workerNames()
	for i := range n {
		c.annAddr = append(c.annAddr, freePort(b))
		c.agents = append(c.agents, run(b, fmt.Sprintf("agt%d", i+1), "knapd", "run", c.agentFile(i, workers[i])))
	}
	stop = c.announceAll(b, n)
	c.awaitAgents(n)
	time.Sleep(3 * time.Second)
	return c, stop
}

func measureAgents(b *testing.B, n int) {
	c, stop := manyAgents(b, n, 2)
	defer stop()
	over := settleTime
	leader := c.leader()
	followers := []*proc{c.controls[(leader+1)%3], c.controls[(leader+2)%3]}
	var g errgroup.Group
	got := make([]rates, 4)
	for i, ps := range [][]*proc{c.agents, c.entries, {c.controls[leader]}, followers} {
		g.Go(func() error {
			got[i] = measure(b, ps, over)
			return nil
		})
	}
	require.NoError(b, g.Wait())
	for i, role := range []string{"agent", "entry", "leader", "follower"} {
		got[i].report(b, role)
	}
	const changes = 40
	began := time.Now()
	before := usageOf(b, c.agents[0])
	for i := range changes {
		_, err := c.change(fmt.Sprint("m", i), 10*time.Second)
		require.NoError(b, err)
	}
	c.requireInForce(uint64(changes+1), time.Now().Add(forceBound))
	took := time.Since(began)
	after := usageOf(b, c.agents[0])
	idleBytes := got[0].bytes * took.Seconds()
	b.ReportMetric((after.bytes-before.bytes-idleBytes)/changes, "agent-B/change")
	b.ReportMetric(float64(runtime.NumCPU()), "cores")
}

// announceAll serves a backend server for each agent inside the test process and
// keeps it announced there.
func (c *cluster) announceAll(b *testing.B, n int) (stop func()) {
	b.Helper()
	return serveBackends(b, n, func(i int) fakes.BackendConfig {
		return fakes.BackendConfig{ID: fmt.Sprintf("back%d", i+1), Service: service, Agent: "http://" + c.annAddr[i]}
	})
}

func serveBackends(b *testing.B, n int, cfg func(i int) fakes.BackendConfig) (stop func()) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for i := range n {
		ln, err := net.Listen("tcp", freePort(b))
		require.NoError(b, err)
		back := fakes.NewBackend(cfg(i), fakes.WallClock{})
		g.Go(func() error { return back.Serve(ctx, ln) })
	}
	return func() {
		cancel()
		_ = g.Wait()
	}
}
