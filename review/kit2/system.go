package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	callTimeout  = 3 * time.Second // how long callers wait, as in the users' sheets
	pollInterval = 50 * time.Millisecond
	readyTimeout = 25 * time.Second
	callerHost   = "nony24.example"
	callerPrefix = "/lohu930/"
	callerKey    = "d4a3hwrr6x73d3zji9n7"
	urgentHost   = "ficu95.example"
	urgentPrefix = "/pufi791/"
	urgentKey    = "q9w8e7r6t5y4u3i2o1p0"
)

var (
	errNotRun  = errors.New("the case couldn't run")
	goroutines sync.WaitGroup
)

// background runs f in a goroutine until the program ends.
func background(f func()) { goroutines.Go(f) }

// proc is a process of the system.
type proc struct {
	name, settings string
	cmd            *exec.Cmd
	log            *os.File
}

// system is a small deployment on loopback addresses: each machine has an address of its own.
type system struct {
	dir      string
	base     int // first port
	rec      *record
	trouble  bool
	procs    map[string]*proc
	workers  map[int]*worker // by host
	orderTo  map[int]string  // address at which the agent of a host calls its worker, if not the worker's
	hosts    int
	rackEach bool // each worker is in a rack of its own
	client   *http.Client
	bodyText string // configuration sent last
}

// Ports of a machine, as offsets from the first one.
const (
	portControl = iota
	portOperator
	portFront
	portReady
	portBeat
	portWorker
	portAdmin
	portAdmin2
	portProxy
)

func newSystem(rec *record, trouble bool) (*system, error) {
	dir, err := os.MkdirTemp("", "knap-review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{
		dir: dir, rec: rec, trouble: trouble, procs: map[string]*proc{}, workers: map[int]*worker{}, orderTo: map[int]string{},
		client: &http.Client{Timeout: callTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	s.base, err = freePorts()
	return s, err
}

// freePorts returns the first of ten free ports.
func freePorts() (int, error) {
	for range 100 {
		ln, err := net.Listen("tcp", "127.0.1.1:0")
		if err != nil {
			return 0, err
		}
		base := ln.Addr().(*net.TCPAddr).Port
		_ = ln.Close()
		if base < 60000 && portsFree(base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsFree(base int) bool {
	for _, host := range []int{1, 2, 3, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22} {
		for offset := range 10 {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:%d", host, base+offset))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (s *system) addr(host, offset int) string {
	return fmt.Sprintf("127.0.1.%d:%d", host, s.base+offset)
}

// workerHost returns the number of the machine of the i-th worker.
func workerHost(i int) int { return 10 + i }

// run starts three control processes, two entries and a number of agents with a worker each, and stores the
// configuration.
func (s *system) run(workers int) error {
	s.hosts = workers
	for i := 1; i <= 3; i++ {
		if err := s.launch(fmt.Sprintf("control-%d", i), s.controlSettings(i)); err != nil {
			return err
		}
	}
	for i := 1; i <= 2; i++ {
		if err := s.launch(fmt.Sprintf("entry-%d", i), s.entrySettings(i)); err != nil {
			return err
		}
	}
	for i := 1; i <= workers; i++ {
		if err := s.launch(fmt.Sprintf("agent-%d", i), s.agentSettings(i)); err != nil {
			return err
		}
		if err := s.startWorker(i); err != nil {
			return err
		}
	}
	if err := s.putConfig(names.Config); err != nil {
		return err
	}
	return s.awaitReady()
}

func (s *system) startWorker(i int) error {
	host := workerHost(i)
	rack := fmt.Sprintf("r1-%d", (i+2)/3)
	if s.rackEach {
		rack = fmt.Sprintf("r1-%d", i)
	}
	w, err := startWorker(fmt.Sprintf("i-%02d", i), rack, s.addr(host, portWorker), s.addr(host, portBeat), s.rec)
	s.workers[i] = w
	return err
}

func (s *system) settings(name, role string, host, admin int, drain int, fields map[string]any) map[string]any {
	return map[string]any{
		"cluster": "knapweedlug", "trusted": true, "node": map[string]any{"name": name, "domain": "krakow-a", "region": "malopolska"},
		"admin": map[string]any{"listen": s.addr(host, admin)}, "drain": map[string]any{"seconds": drain},
		"roles": map[string]any{role: fields},
	}
}

func (s *system) seeds() []string {
	return []string{s.addr(1, portOperator), s.addr(2, portOperator), s.addr(3, portOperator)}
}

func (s *system) controlSettings(i int) map[string]any {
	return s.settings(fmt.Sprintf("control-%d", i), "jobctl", i, portAdmin, 5, map[string]any{
		"address": s.addr(i, portControl), "desk": s.addr(i, portOperator), "seeds": s.seeds(), "data": filepath.Join(s.dir, fmt.Sprintf("data-%d", i)),
		"first": true, "losses": 1, "hold": 10000, "thaw": 300, "remote": 3, "catchup": 4, "status": 120, "reclaim": 2900, "stop": 400, "restore": 600,
	})
}

func (s *system) entrySettings(i int) map[string]any {
	return s.settings(fmt.Sprintf("entry-%d", i), "jobentry", i, portAdmin2, 5, map[string]any{
		"listen": s.addr(i, portFront), "ready": s.addr(i, portReady), "seeds": s.seeds(), "port": s.base + portControl,
	})
}

func (s *system) agentSettings(i int) map[string]any {
	host := workerHost(i)
	workerAddr := s.addr(host, portWorker)
	if a, ok := s.orderTo[i]; ok {
		workerAddr = a
	}
	return s.settings(fmt.Sprintf("agent-%d", i), "jobagent", host, portAdmin, 2, map[string]any{
		"listen": s.addr(host, portBeat), "worker": workerAddr, "seeds": s.seeds(), "port": s.base + portControl,
		"orders": "push", "hold": 10000, "thaw": 300,
	})
}

func (s *system) launch(name string, cfg map[string]any) error {
	text, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	p := &proc{name: name, settings: filepath.Join(s.dir, name+".json")}
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return err
	}
	if p.log, err = os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	s.procs[name] = p
	return p.start()
}

func (p *proc) start() error {
	p.cmd = exec.CommandContext(context.Background(), "target/knapd", "run", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	return p.cmd.Start()
}

// close ends all processes and workers.
func (s *system) close() {
	for _, w := range s.workers {
		w.kill()
	}
	for _, p := range s.procs {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		_ = p.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// answer is the answer to a call; the status is 0 if there was none.
type answer struct {
	status int
	body   string
	took   time.Duration
}

// call is a call of a client or an operator.
type call struct {
	method, addr, path, body string
	key, host                string
	quiet                    bool // not recorded
}

func (s *system) do(c call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+200*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.addr+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{}
	}
	if c.host != "" {
		r.Host = c.host
		r.Header["Api-Key"] = []string{c.key}
		r.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	}
	if c.body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	began := time.Now()
	a := s.send(r)
	a.took = time.Since(began)
	if !c.quiet {
		s.rec.add("%s %s %s -> %d %.80s (%d ms)", c.method, c.addr, c.path, a.status, strings.TrimSpace(a.body), a.took.Milliseconds())
	}
	return a
}

func (s *system) send(r *http.Request) answer {
	resp, err := s.client.Do(r)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			break
		}
	}
	return answer{status: resp.StatusCode, body: b.String()}
}

// job is a call about a job at an entry.
func (s *system) job(method string, entry int, id, body string) answer {
	return s.do(call{method: method, addr: s.addr(entry, portFront), path: callerPrefix + id, body: body, key: callerKey, host: callerHost})
}

// submit hands a job in until it is accepted, as clients do.
func (s *system) submit(id, body string) error {
	for try := range 20 {
		if s.job(http.MethodPost, 1+try%2, id, body).status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted: %w", id, errNotRun)
}

// submitUrgent hands a job of priority 0 in until it is accepted.
func (s *system) submitUrgent(id, body string) error {
	for try := range 20 {
		c := call{method: http.MethodPost, addr: s.addr(1+try%2, portFront), path: urgentPrefix + id, body: body, key: urgentKey, host: urgentHost}
		if s.do(c).status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted: %w", id, errNotRun)
}

// state returns the state of a job, "" if no entry tells it.
func (s *system) state(id string) string {
	for entry := 1; entry <= 2; entry++ {
		if a := s.job(http.MethodGet, entry, id, ""); a.status == http.StatusOK {
			var b struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(a.body), &b) // an unreadable body counts as no state
			return b.State
		}
	}
	return ""
}

// awaitState waits until a job is in a state.
func (s *system) awaitState(id, state string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(4 * pollInterval) {
		if s.state(id) == state {
			return true
		}
	}
	return false
}

// putConfig sends a configuration to the control processes in turn until it is acknowledged.
func (s *system) putConfig(text []byte) error {
	for end, i := time.Now().Add(readyTimeout), 0; time.Now().Before(end); i++ {
		if s.do(call{method: http.MethodPut, addr: s.addr(1+i%3, portOperator), path: names.PathConfig, body: string(text)}).status == http.StatusOK {
			s.bodyText = string(text)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no configuration was stored: %w", errNotRun)
}

// awaitReady waits until the leader has heard of all workers, by a job that needs each of them.
func (s *system) awaitReady() error {
	id := jobID(0xabc)
	step := map[string]any{"count": s.hosts, "cpu": 1000, names.Memory: 64, "gpu": 8, names.Estimate: 200}
	if err := s.submit(id, jobText(taskSpec{WorkMs: 100}, step)); err != nil {
		return err
	}
	if !s.awaitState(id, "complete", readyTimeout) {
		return fmt.Errorf("the workers are not ready: %w", errNotRun)
	}
	return nil
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// jobText returns the body of a job whose tasks take the time that spec says.
func jobText(spec taskSpec, steps ...map[string]any) string {
	specText, _ := json.Marshal(spec) // can't fail
	text, _ := json.Marshal(map[string]any{"spec": string(specText), "phases": steps})
	return string(text)
}
