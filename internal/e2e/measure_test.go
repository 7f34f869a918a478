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

// clockTicksPerSecond is the number of ticks a second in which /proc counts
// processor time.
const clockTicksPerSecond = 100

// usage is the resource usage of a process since its start, as /proc reports
// it.
type usage struct {
	cpu           time.Duration
	ioBytes       float64 // read and written, including sockets
	residentBytes float64 // resident memory now, in bytes
}

func usageOf(b *testing.B, p *proc) usage {
	b.Helper()
	pid := p.cmd.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(b, err)
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	u := usage{
		cpu:           time.Duration(user+system) * time.Second / clockTicksPerSecond,
		residentBytes: float64(pages * os.Getpagesize()),
	}
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	require.NoError(b, err)
	for line := range strings.Lines(string(io)) {
		name, v, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			n, _ := strconv.ParseFloat(v, 64)
			u.ioBytes += n
		}
	}
	return u
}

// meanUsage is the resource usage of one process: processor seconds and bytes
// read and written, both a second, and resident memory in bytes.
type meanUsage struct{ cpu, ioBytes, residentBytes float64 }

// measureUsage returns the mean usage of processes over an interval.
func measureUsage(b *testing.B, procs []*proc, interval time.Duration) meanUsage {
	b.Helper()
	before := make([]usage, len(procs))
	for i, p := range procs {
		before[i] = usageOf(b, p)
	}
	time.Sleep(interval)
	var sum meanUsage
	for i, p := range procs {
		u := usageOf(b, p)
		sum.cpu += (u.cpu - before[i].cpu).Seconds() / interval.Seconds()
		sum.ioBytes += (u.ioBytes - before[i].ioBytes) / interval.Seconds()
		sum.residentBytes += u.residentBytes
	}
	n := float64(len(procs))
	return meanUsage{sum.cpu / n, sum.ioBytes / n, sum.residentBytes / n}
}

func (u meanUsage) report(b *testing.B, role string) {
	b.ReportMetric(100*u.cpu, role+"-cpu-%")
	b.ReportMetric(u.ioBytes/1000, role+"-KB/s")
	b.ReportMetric(u.residentBytes/1e6, role+"-MB")
}

// BenchmarkPath compares the latency of calls through entry and agent with that
// of direct calls to the backend server, and measures the throughput of an
// entry.
func BenchmarkPath(b *testing.B) {
	c := newCluster(b, clusterSize{controls: 3, entries: 1, agents: 10, workers: 10})
	c.awaitEntries()
	c.configure()
	c.awaitAgents(10)
	idle := measureUsage(b, c.agents, 5*time.Second)
	idle.report(b, "idle-agent")
	measureUsage(b, c.entries, time.Second).report(b, "idle-entry")
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, MaxConnsPerHost: 0}}
	direct := measureLatencies(b, hc, c.backendURLs[0]+"/work?ms=0", "")
	routed := measureLatencies(b, hc, "http://"+c.callAddrs[0]+client.PathCall+serviceName+"/work?ms=0", teamKey)
	b.ReportMetric(float64(direct.ValueAtQuantile(50)), "direct-p50-us")
	b.ReportMetric(float64(direct.ValueAtQuantile(99)), "direct-p99-us")
	b.ReportMetric(float64(routed.ValueAtQuantile(50)), "path-p50-us")
	b.ReportMetric(float64(routed.ValueAtQuantile(99)), "path-p99-us")
	b.ReportMetric(float64(routed.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-p50-us")
	before := usageOf(b, c.entries[0])
	start := time.Now()
	n := saturate(b, hc, c, 600, 5*time.Second)
	elapsed := time.Since(start)
	cpu := usageOf(b, c.entries[0]).cpu - before.cpu
	b.ReportMetric(float64(n)/elapsed.Seconds(), "req/s")
	b.ReportMetric(float64(n)/cpu.Seconds(), "req/s/entry-core")
	for i, role := range []string{"agent", "entry", "control"} {
		procs := [][]*proc{c.agents, c.entries, c.controls}[i]
		b.ReportMetric(measureUsage(b, procs, 100*time.Millisecond).residentBytes/1e6, "loaded-"+role+"-MB")
	}
}

// measureLatencies calls a URL one request at a time and returns the histogram
// of the latencies in microseconds.
func measureLatencies(b *testing.B, hc *http.Client, url, key string) *hdrhistogram.Histogram {
	b.Helper()
	h := hdrhistogram.New(1, 10_000_000, 3)
	for range 3000 {
		start := time.Now()
		require.NoError(b, post(hc, url, key))
		require.NoError(b, h.RecordValue(time.Since(start).Microseconds()))
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
func saturate(b *testing.B, hc *http.Client, c *cluster, conns int, duration time.Duration) int {
	b.Helper()
	url := "http://" + c.callAddrs[0] + client.PathCall + serviceName + "/work?ms=0"
	deadline := time.Now().Add(duration)
	counts := make([]int, conns)
	var g errgroup.Group
	for i := range conns {
		g.Go(func() error {
			for time.Now().Before(deadline) {
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
			c, stop := newAgentCluster(b, 20, n)
			defer stop()
			measureUsage(b, c.agents, measureInterval).report(b, "agent")
		})
	}
}

const measureInterval = 10 * time.Second

// newAgentCluster starts a cluster with n agents as separate processes, and
// their backend servers inside the test process.
func newAgentCluster(b *testing.B, n, entries int) (c *cluster, stop func()) {
	b.Helper()
	c = newCluster(b, clusterSize{controls: 3, entries: entries, agents: 0, workers: n})
	c.awaitEntries()
	c.configure()
	workers := c.workerNames()
	for i := range n {
		c.announceAddrs = append(c.announceAddrs, freePort(b))
		c.agents = append(c.agents, startProgram(b, fmt.Sprintf("agt%d", i+1), "knapd", "run", c.writeAgentSettings(i, workers[i])))
	}
	stop = c.announceBackends(b, n)
	c.awaitAgents(n)
	time.Sleep(3 * time.Second)
	return c, stop
}

func measureAgents(b *testing.B, n int) {
	c, stop := newAgentCluster(b, n, 2)
	defer stop()
	interval := measureInterval
	leader := c.leaderIndex()
	followers := []*proc{c.controls[(leader+1)%3], c.controls[(leader+2)%3]}
	var g errgroup.Group
	usages := make([]meanUsage, 4)
	for i, procs := range [][]*proc{c.agents, c.entries, {c.controls[leader]}, followers} {
		g.Go(func() error {
			usages[i] = measureUsage(b, procs, interval)
			return nil
		})
	}
	require.NoError(b, g.Wait())
	for i, role := range []string{"agent", "entry", "leader", "follower"} {
		usages[i].report(b, role)
	}
	const changes = 40
	start := time.Now()
	before := usageOf(b, c.agents[0])
	for i := range changes {
		_, err := c.commitChange(fmt.Sprint("m", i), 10*time.Second)
		require.NoError(b, err)
	}
	c.requireRevision(uint64(changes+1), time.Now().Add(revisionBound))
	elapsed := time.Since(start)
	after := usageOf(b, c.agents[0])
	idleBytes := usages[0].ioBytes * elapsed.Seconds()
	b.ReportMetric((after.ioBytes-before.ioBytes-idleBytes)/changes, "agent-B/change")
	b.ReportMetric(float64(runtime.NumCPU()), "cores")
}

// announceBackends serves a backend server for each agent inside the test
// process and keeps it announced there.
func (c *cluster) announceBackends(b *testing.B, n int) (stop func()) {
	b.Helper()
	return serveBackends(b, n, func(i int) fakes.BackendConfig {
		return fakes.BackendConfig{ID: fmt.Sprintf("back%d", i+1), Service: serviceName, AgentURL: "http://" + c.announceAddrs[i]}
	})
}

func serveBackends(b *testing.B, n int, cfg func(i int) fakes.BackendConfig) (stop func()) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for i := range n {
		ln, err := net.Listen("tcp", freePort(b))
		require.NoError(b, err)
		backend := fakes.NewBackend(cfg(i), fakes.WallClock{})
		g.Go(func() error { return backend.Serve(ctx, ln) })
	}
	return func() {
		cancel()
		_ = g.Wait()
	}
}
