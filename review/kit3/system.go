package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	controls   = 3
	workers    = 11
	callTime   = 3 * time.Second
	configTime = 20 * time.Second
	readyTime  = 20 * time.Second
)

// process is a process of the system.
type process struct {
	name, settings, log string
	cmd                 *exec.Cmd
}

func (p *process) start(rec *record) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close() //nolint:errcheck
	p.cmd = exec.Command("target/knapd", "run", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	rec.log("process %s starts", p.name)
	return p.cmd.Start()
}

func (p *process) kill(rec *record) {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	rec.log("process %s: SIGKILL", p.name)
	p.cmd.Process.Kill() //nolint:errcheck
	p.cmd.Wait()         //nolint:errcheck
	p.cmd = nil
}

// system is a small deployment on loopback addresses.
type system struct {
	rec      *record
	dir      string
	entry    string // address for clients
	control  []string
	procs    map[string]*process
	workers  []*worker
	text     map[string]map[string]any // settings by process
	jobs     map[string]string         // names of jobs by id
	duration map[string]time.Duration
	accels   map[string]int
}

// newSystem writes the settings, with the values that the platform gives to a small deployment.
func newSystem(rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "kit3-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, procs: map[string]*process{}, text: map[string]map[string]any{}, jobs: map[string]string{}, duration: map[string]time.Duration{}, accels: map[string]int{}}
	net8, err := freeNetwork()
	if err != nil {
		return s, err
	}
	var seeds []string
	for i := range controls {
		s.control = append(s.control, fmt.Sprintf("%s.1.%d", net8, i+1))
		seeds = append(seeds, s.control[i]+":8526")
	}
	for i, ip := range s.control {
		name := fmt.Sprintf("control-%d", i+1)
		data := filepath.Join(dir, "data-"+name)
		if err := os.Mkdir(data, 0o755); err != nil {
			return s, err
		}
		if err := s.add(name, i, ip+":7311", 284, 5, "jobctl", map[string]any{
			"address": ip + ":7000", "desk": seeds[i], "seeds": seeds, "data": data, "first": true, "losses": 1, "hold": 10000, "thaw": 300,
			"remote": 3, "shares": 0.5, "catchup": 4, "status": 120, "domains": []string{"z0", "z1", "z2"}, "reclaim": 2700, "stop": 200, "restore": 600,
		}); err != nil {
			return s, err
		}
	}
	ip := net8 + ".2.1"
	s.entry = ip + ":8521"
	if err := s.add("entry-1", 0, ip+":7310", 284, 5, "jobentry", map[string]any{"listen": s.entry, "ready": ip + ":8523", "seeds": seeds, "port": 7000}); err != nil {
		return s, err
	}
	for i := range workers {
		ip := fmt.Sprintf("%s.3.%d", net8, i+1)
		if err := s.add(agentName(i), i, ip+":7312", 152, 2, "jobagent", map[string]any{
			"listen": ip + ":8526", "worker": ip + ":9000", "seeds": seeds, "port": 7000, "orders": "push", "hold": 10000, "thaw": 300,
		}); err != nil {
			return s, err
		}
		s.workers = append(s.workers, &worker{
			id: workerID(i + 1), ip: ip, rack: fmt.Sprintf("r%d", i/3), rec: rec,
			durationOf: func(job string) time.Duration { return s.duration[job] }, accelsOf: func(job string) int { return s.accels[job] },
		})
	}
	return s, nil
}

func agentName(i int) string { return fmt.Sprintf("agent-%02d", i+1) }

// freeNetwork returns the first two numbers of loopback addresses at which the ports are free.
func freeNetwork() (string, error) {
	for range 20 {
		n := fmt.Sprintf("127.%d", 2+rand.IntN(240))
		free := true
		for _, addr := range []string{n + ".1.1:7000", n + ".2.1:8521", n + ".3.1:9000", n + ".3.1:8526"} {
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				free = false
				break
			}
			ln.Close() //nolint:errcheck
		}
		if free {
			return n, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (s *system) add(name string, zone int, admin string, memory, drain int, role string, settings map[string]any) error {
	s.text[name] = map[string]any{
		"cluster": "knapweedlug", "trusted": true, "node": map[string]any{"name": name, "domain": fmt.Sprintf("z%d", zone%3), "region": "r"},
		"admin": map[string]any{"listen": admin}, "limits": map[string]any{"memory": memory, "files": 4096},
		"drain": map[string]any{"seconds": drain}, "roles": map[string]any{role: settings},
	}
	s.procs[name] = &process{name: name, settings: filepath.Join(s.dir, name+".json"), log: filepath.Join(s.dir, name+".log")}
	return s.write(name)
}

// write writes the settings of a process.
func (s *system) write(name string) error {
	text, err := json.MarshalIndent(s.text[name], "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(s.procs[name].settings, text, 0o644)
}

// loseDisk empties the data folder of a control process, which doesn't run. The platform starts it with other settings
// then.
func (s *system) loseDisk(name string) error {
	settings := s.text[name]["roles"].(map[string]any)["jobctl"].(map[string]any)
	settings["first"] = false
	data := settings["data"].(string)
	s.rec.log("%s loses its disk", name)
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	if err := os.Mkdir(data, 0o755); err != nil {
		return err
	}
	return s.write(name)
}

// start starts all processes and workers, and sends the configuration.
func (s *system) start() error {
	if err := s.startProcesses(); err != nil {
		return err
	}
	if !s.configure(configTime) {
		return fmt.Errorf("no configuration in %s", configTime)
	}
	time.Sleep(3 * time.Second) // all workers have announced themselves
	return nil
}

// startProcesses starts the workers and all processes that don't run yet.
func (s *system) startProcesses() error {
	for _, p := range s.procs {
		if p.cmd == nil {
			if err := p.start(s.rec); err != nil {
				return err
			}
		}
	}
	for _, w := range s.workers {
		if err := w.start(); err != nil {
			return err
		}
	}
	return nil
}

// configure sends the configuration until it is acknowledged, and reports whether it was in time.
func (s *system) configure(limit time.Duration) bool {
	last := 0
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for i, ip := range s.control {
			status, text := s.call(http.MethodPut, ip+":8526", names.ConfigPath, "", names.Config)
			if status != last {
				s.rec.log("operator: PUT of the configuration to control-%d: %d %s", i+1, status, text)
			}
			if last = status; status == http.StatusOK {
				return true
			}
		}
	}
	return false
}

func (s *system) stop() {
	for _, w := range s.workers {
		if w.srv != nil {
			w.close()
		}
	}
	for _, p := range s.procs {
		p.kill(s.rec)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir) //nolint:errcheck
	}
}

func (s *system) call(method, addr, path, key string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = names.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(names.DeadlineHeader, fmt.Sprint(callTime.Milliseconds()))
	if key != "" {
		req.Header.Set(names.KeyHeader, key)
	}
	resp, err := (&http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close() //nolint:errcheck
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// submit hands a job in and returns its id.
func (s *system) submit(name string, queue int, key string, duration time.Duration, accels int) (string, error) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	s.jobs[id], s.duration[id], s.accels[id] = name, duration, accels
	status, text := s.call(http.MethodPost, s.entry, fmt.Sprintf("/p%d/%s", queue, id), key, names.Jobs[name])
	s.rec.log("client: POST of job %s %s: %d %s", name, id, status, text)
	if status != http.StatusOK {
		return id, fmt.Errorf("job %s was answered with %d", name, status)
	}
	return id, nil
}

// state asks for the state of a job and records the answer.
func (s *system) state(id string, queue int, key string) {
	status, text := s.call(http.MethodGet, s.entry, fmt.Sprintf("/p%d/%s", queue, id), key, nil)
	s.rec.log("client: GET of job %s %s: %d %s", s.jobs[id], id, status, text)
}

// running returns the worker on which a job runs, nil if none, and how many tasks of so many accelerators fit on the
// workers that are up.
func (s *system) running(id string, accels int) (on *worker, room int) {
	for _, w := range s.workers {
		there, free := w.has(id)
		if there {
			on = w
		}
		room += max(0, free) / accels
	}
	return on, room
}

// await waits until a job runs.
func (s *system) await(id string) (*worker, error) {
	for deadline := time.Now().Add(readyTime); time.Now().Before(deadline); time.Sleep(tick) {
		if w, _ := s.running(id, 1); w != nil {
			return w, nil
		}
	}
	return nil, fmt.Errorf("job %s doesn't run", s.jobs[id])
}

// leader returns the control process that has begun to lead last.
func (s *system) leader() (*process, error) {
	var last *process
	lastAt := ""
	for name, p := range s.procs {
		if !strings.HasPrefix(name, "control-") {
			continue
		}
		text, err := os.ReadFile(p.log)
		if err != nil {
			return nil, err
		}
		for _, line := range strings.Split(string(text), "\n") {
			var l struct{ Time, Msg string }
			if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "leading" && l.Time > lastAt {
				last, lastAt = p, l.Time
			}
		}
	}
	if last == nil {
		return nil, fmt.Errorf("no leader")
	}
	return last, nil
}
