package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// reaper runs one goroutine for each started process, which waits for its exit.
var reaper errgroup.Group

const (
	operatorName = "ola"
	operatorKey  = "00112233445566778899aabbccddeeff"
	teamKey      = "linen-key"
	otherTeamKey = "garden-key"
	serviceName  = "rota"
)

// masterKeys holds the master key of each role, from which the keys of its
// nodes are derived.
var masterKeys = map[string]string{
	"entry":   "e0e0e0e0e0e0e0e0e0e0e0e0e0e0e0e0",
	"agent":   "a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0",
	"control": "c0c0c0c0c0c0c0c0c0c0c0c0c0c0c0c0",
}

// clusterSize is the number of processes and workers of a test cluster, and
// which of its connections pass relays.
type clusterSize struct {
	controls, entries, agents, workers int
	speeds                             []float64 // of the backend servers, repeated as needed; empty is 1.0 for all
	relayedControl                     int       // number, from 1, of the control process whose connections to the others pass relays; 0 is none
	relayedAgents                      bool      // agents connect to entries through relays
}

// smallCluster is the usual deployment with few agents and workers.
var smallCluster = clusterSize{controls: 3, entries: 2, agents: 4, workers: 4}

// cluster is a complete deployment on loopback, with a fake platform and fake
// backend servers.
type cluster struct {
	t             testing.TB
	dir           string
	size          clusterSize
	platform      *proc
	platformURL   string
	controls      []*proc
	entries       []*proc
	agents        []*proc
	backends      []*proc
	controlAddrs  []string          // address of each control process for all nodes
	apiAddrs      []string          // address of each control process for operators
	callAddrs     []string          // address of each entry for callers
	agentAddrs    []string          // address of each entry for agents
	announceAddrs []string          // address of each agent for announcements of backend servers
	adminAddrs    map[string]string // by name of the node
	backendURLs   []string
	relays        []*fakes.Relay
	operator      *client.Operator
}

func domainName(i int) string { return []string{"a", "b", "c"}[i%3] }

func newCluster(t testing.TB, sz clusterSize) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), size: sz, adminAddrs: map[string]string{}}
	c.platform = startProgram(t, "platform", "knapfake", "platform", "--workers", fmt.Sprint(sz.workers))
	c.platformURL = "http://" + c.platform.awaitLine("listening ")
	for range sz.controls {
		c.controlAddrs = append(c.controlAddrs, freePort(t))
		c.apiAddrs = append(c.apiAddrs, freePort(t))
	}
	for range sz.entries {
		c.callAddrs = append(c.callAddrs, freePort(t))
		c.agentAddrs = append(c.agentAddrs, freePort(t))
	}
	for i := range sz.controls {
		c.controls = append(c.controls, startProgram(t, fmt.Sprintf("ctl%d", i+1), "knapd", "run", c.writeControlSettings(i)))
	}
	for i := range sz.entries {
		c.entries = append(c.entries, startProgram(t, fmt.Sprintf("ent%d", i+1), "knapd", "run", c.writeEntrySettings(i)))
	}
	workers := c.workerNames()
	for i := range sz.agents {
		c.announceAddrs = append(c.announceAddrs, freePort(t))
		c.agents = append(c.agents, startProgram(t, fmt.Sprintf("agt%d", i+1), "knapd", "run", c.writeAgentSettings(i, workers[i%len(workers)])))
		c.startBackend(i)
	}
	var urls []string
	for _, a := range c.callAddrs {
		urls = append(urls, "http://"+a)
	}
	op, err := client.NewOperator(urls, operatorName, operatorKey, &http.Client{})
	require.NoError(t, err)
	c.operator = op
	return c
}

func (c *cluster) startBackend(i int) {
	speed := 1.0
	if len(c.size.speeds) > 0 {
		speed = c.size.speeds[i%len(c.size.speeds)]
	}
	p := startProgram(c.t, fmt.Sprintf("back%d", i+1), "knapfake", "backend", "--id", fmt.Sprintf("back%d", i+1),
		"--service", serviceName, "--agent", "http://"+c.announceAddrs[i], "--speed", fmt.Sprint(speed))
	c.backends = append(c.backends, p)
	c.backendURLs = append(c.backendURLs, "http://"+p.awaitLine("listening "))
}

func (c *cluster) workerNames() []string {
	var list struct {
		Workers []model.Worker `json:"workers"`
	}
	getJSON(c.t, c.platformURL+"/v1/workers", "", &list)
	var names []string
	for _, w := range list.Workers {
		names = append(names, w.Name)
	}
	return names
}

// writeSettings writes the settings file of one node and returns its path.
func (c *cluster) writeSettings(role, name string, i int, settings any) string {
	c.t.Helper()
	key, err := hex.DecodeString(masterKeys[role])
	require.NoError(c.t, err)
	admin := freePort(c.t)
	c.adminAddrs[name] = admin
	cfg := map[string]any{
		"cluster": "demo",
		"node":    map[string]any{"name": name, "domain": domainName(i), "region": "pl"},
		"admin":   map[string]any{"listen": admin},
		"log":     map[string]any{"level": c.logLevel()},
		"drain":   map[string]any{"seconds": 20},
		"keys":    map[string]any{"self": hex.EncodeToString(kern.DeriveKey(key, name)), "roles": masterKeys},
		"roles":   map[string]any{role: settings},
	}
	data, err := json.MarshalIndent(cfg, "", "  ")
	require.NoError(c.t, err)
	path := filepath.Join(c.dir, name+".json")
	require.NoError(c.t, os.WriteFile(path, data, 0o600))
	return path
}

func (c *cluster) writeControlSettings(i int) string {
	peers := map[string]string{}
	var voters []string
	for j, addr := range c.controlAddrs {
		if j != i && (j+1 == c.size.relayedControl || i+1 == c.size.relayedControl) {
			addr = c.startRelay(addr)
		}
		peers[fmt.Sprintf("ctl%d", j+1)] = addr
		voters = append(voters, fmt.Sprintf("ctl%d", j+1))
	}
	name := fmt.Sprintf("ctl%d", i+1)
	return c.writeSettings("control", name, i, map[string]any{
		"listen": c.controlAddrs[i], "api": c.apiAddrs[i], "data": filepath.Join(c.dir, name), "peers": peers, "voters": voters,
		"platform": c.platformURL, "operators": map[string]string{operatorName: operatorKey},
	})
}

func (c *cluster) writeEntrySettings(i int) string {
	return c.writeSettings("entry", fmt.Sprintf("ent%d", i+1), i, map[string]any{
		"listen": c.callAddrs[i], "agents": c.agentAddrs[i], "control": c.controlAddrs, "leave": 100, "record": c.tracePath(i),
		"operators": map[string]string{operatorName: operatorKey},
	})
}

func (c *cluster) writeAgentSettings(i int, worker string) string {
	entries := c.agentAddrs
	if c.size.relayedAgents {
		entries = nil
		for _, addr := range c.agentAddrs {
			entries = append(entries, c.startRelay(addr))
		}
	}
	return c.writeSettings("agent", fmt.Sprintf("agt%d", i+1), i, map[string]any{
		"listen": c.announceAddrs[i], "entries": entries, "control": c.controlAddrs, "worker": worker, "platform": c.platformURL,
	})
}

// awaitEntries waits until every entry reports that it is healthy.
func (c *cluster) awaitEntries() {
	c.t.Helper()
	for _, a := range c.callAddrs {
		pollUntil(c.t, 20*time.Second, "entry "+a+" is healthy", func() bool {
			resp, err := http.Get("http://" + a + "/healthz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

// awaitAgents waits until each entry lists exactly n ready agents.
func (c *cluster) awaitAgents(n int) {
	c.t.Helper()
	for i := range c.entries {
		name := fmt.Sprintf("ent%d", i+1)
		pollUntil(c.t, 20*time.Second, fmt.Sprintf("%s has %d agents", name, n), func() bool {
			ready := 0
			for _, a := range c.entryDump(name).Agents {
				if a.State == "ready" {
					ready++
				}
			}
			return ready == n
		})
	}
}

// entryState holds the fields of an entry's state dump that the tests read.
type entryState struct {
	Revision uint64 `json:"revision"`
	Fresh    bool   `json:"fresh"`
	Agents   []struct {
		Agent string `json:"agent"`
		State string `json:"state"`
	} `json:"agents"`
}

func (c *cluster) entryDump(name string) entryState {
	var d struct {
		Roles struct {
			Entry entryState `json:"entry"`
		} `json:"roles"`
	}
	c.readDump("entry", name, &d)
	return d.Roles.Entry
}

// readDump reads the state dump of a process through its admin listener. If the
// process doesn't answer, into stays unchanged.
func (c *cluster) readDump(role, name string, into any) {
	key, _ := hex.DecodeString(masterKeys[role])
	token := kern.AdminToken(kern.DeriveKey(key, name))
	req, _ := http.NewRequest(http.MethodGet, "http://"+c.adminAddrs[name]+"/dump", nil)
	req.Header.Set("Authorization", "Bearer "+token)
	hc := http.Client{Timeout: 2 * time.Second}
	resp, err := hc.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(into)
}

func getJSON(t testing.TB, url, key string, into any) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(into))
}

// apply proposes an intent of operations, confirms its plan and requires that
// the plan is carried out.
func (c *cluster) apply(ops ...model.Op) model.Plan {
	c.t.Helper()
	p, err := c.propose(ops...)
	require.NoError(c.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	p, err = c.operator.Confirm(ctx, p.ID)
	require.NoError(c.t, err)
	require.Equal(c.t, model.PlanConfirmed, p.State, "%+v", p)
	return p
}

func (c *cluster) propose(ops ...model.Op) (model.Plan, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return c.operator.Propose(ctx, model.Intent{ID: uuid.NewString(), Ops: ops})
}

// configure creates two teams and a service and waits until every entry has a
// configuration.
func (c *cluster) configure() {
	c.t.Helper()
	g := model.Guarantee{Shape: model.Shape{Members: 1, Cores: 4, Memory: 1 << 30, Accels: 2, Proximity: model.ProximityWorker}, Count: 1}
	c.apply(
		model.Op{Kind: model.OpSetTeam, Team: &model.Team{Name: "linen", Slots: 16, Weight: 2, Guarantees: []model.Guarantee{g}, Keys: []string{sha256Hex(teamKey)}}},
		model.Op{Kind: model.OpSetTeam, Team: &model.Team{Name: "garden", Slots: 8, Weight: 1, Keys: []string{sha256Hex(otherTeamKey)}}},
		model.Op{Kind: model.OpSetService, Service: &model.Service{Name: serviceName, ShortMs: 200, LimitMs: 20_000, Reserve: 1, MaxBodyBytes: 1 << 20, KeepDays: 7}},
	)
	for i := range c.entries {
		pollUntil(c.t, 5*time.Second, "entry has a configuration", func() bool {
			return c.entryDump(fmt.Sprintf("ent%d", i+1)).Revision > 0
		})
	}
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// backendRuns returns the runs that all backend servers recorded.
func (c *cluster) backendRuns() []fakes.Run {
	var all []fakes.Run
	for _, u := range c.backendURLs {
		var list fakes.EntryList[fakes.Run]
		getJSON(c.t, u+"/journal", "", &list)
		all = append(all, list.Entries...)
	}
	return all
}

func putJSON(t testing.TB, url string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	require.Less(t, resp.StatusCode, 300)
}

// startRelay starts a TCP relay to target and returns the address it listens
// on.
func (c *cluster) startRelay(target string) string {
	c.t.Helper()
	addr := freePort(c.t)
	ln, err := net.Listen("tcp", addr)
	require.NoError(c.t, err)
	r := fakes.NewRelay(target)
	c.relays = append(c.relays, r)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return r.Serve(ctx, ln) })
	c.t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return addr
}

// setRelayMode sets the mode of every relay.
func (c *cluster) setRelayMode(mode fakes.Mode) {
	c.t.Helper()
	for _, r := range c.relays {
		require.NoError(c.t, r.SetMode(mode))
	}
}

// logLevel returns the log level of a deployment for benchmarks, and debug for
// tests, so that the log of a failed test shows more.
func (c *cluster) logLevel() string {
	if _, ok := c.t.(*testing.B); ok {
		return "info"
	}
	return "debug"
}

// tracePath returns the file in which an entry records its requests. Benchmarks
// record none.
func (c *cluster) tracePath(entry int) string {
	if _, ok := c.t.(*testing.B); ok {
		return ""
	}
	return filepath.Join(c.dir, fmt.Sprintf("ent%d.trace", entry+1))
}
