package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	tickInterval = 10 * time.Millisecond   // between checks of the lease
	stopDelay    = 50 * time.Millisecond   // the pages allow stop_timeout_ms
	beatInterval = 1500 * time.Millisecond // heartbeat_ms
	// firstBeat is the time from listening to the first heartbeat, as with the minions of
	// the users' bench.
	firstBeat = 20 * time.Millisecond
)

// event is one line of the shared record.
type event struct {
	At     int64  `json:"at"` // Unix microseconds
	Who    string `json:"who"`
	What   string `json:"what"`
	Born   int64  `json:"born,omitempty"`
	Task   string `json:"task,omitempty"`
	Run    int    `json:"run,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// recorder appends events to a file.
type recorder struct {
	mu sync.Mutex
	f  *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return &recorder{f: f}, err
}

func (r *recorder) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 {
		e.At = time.Now().UnixMicro()
	}
	line, _ := json.Marshal(e) // can't fail for these types
	_, _ = r.f.Write(append(line, '\n'))
}

// worker is a stand-in for one worker of the platform. It follows the section "Running
// tasks" of the users' protocol. A task's spec gives its duration and needs, for example
// "ms=2000 cpu=500 gpu=1".
type worker struct {
	id, listen, agent, service, rack string
	labels                           []string
	cpu, mem, gpu                    int64
	holdMaxMs                        int64
	bornOffsetMs                     int64
	rec                              *recorder

	bornMs  int64
	started time.Time

	mu         sync.Mutex
	busy       bool // refuses every start with 503
	refused    int  // starts refused while busy
	token      uint64
	leaseEndMs int64
	runs       map[runKey]*minionRun
	ends       []minionEnd
	lastEnd    uint64
	highest    map[string]int
	endAdded   chan struct{}
	seq        int64
}

// runKey identifies a run. Two runs of one task can be on a worker.
type runKey struct {
	task string
	run  int
}

type minionRun struct {
	task     string
	run      int
	begun    time.Time
	length   time.Duration
	cpu, gpu int64
	timer    *time.Timer
}

type minionEnd struct {
	n      uint64
	task   string
	run    int
	how    string
	lapsed bool // the lease lapsed after it
}

func runMinion(args []string) error {
	w := &worker{runs: map[runKey]*minionRun{}, highest: map[string]int{}, endAdded: make(chan struct{})}
	var labels, record string
	fs := flag.NewFlagSet("worker", flag.ContinueOnError)
	fs.StringVar(&w.id, "id", "", "")
	fs.StringVar(&w.listen, "listen", "", "")
	fs.StringVar(&w.agent, "agent", "", "")
	fs.StringVar(&w.service, "service", "s", "")
	fs.StringVar(&w.rack, "rack", "r1", "")
	fs.StringVar(&labels, "labels", "a,r1", "")
	fs.StringVar(&record, "record", "", "")
	fs.Int64Var(&w.cpu, "cpu", 32000, "")
	fs.Int64Var(&w.mem, "mem", 131072, "")
	fs.Int64Var(&w.gpu, "gpu", 8, "")
	fs.Int64Var(&w.holdMaxMs, "hold", 10000, "")
	fs.Int64Var(&w.bornOffsetMs, "clock", 0, "milliseconds by which the time of day on this machine is ahead")
	if err := fs.Parse(args); err != nil {
		return err
	}
	w.labels = strings.Split(labels, ",")
	var err error
	if w.rec, err = newRecorder(record); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", w.listen)
	if err != nil {
		return err
	}
	w.started = time.Now()
	w.bornMs = w.started.UnixMilli() + w.bornOffsetMs
	w.rec.add(event{Who: w.id, What: "worker up", Born: w.bornMs})
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["start"], w.order(w.start))
	mux.HandleFunc("POST "+names["stop"], w.order(w.stop))
	mux.HandleFunc("POST /api/hold", w.hold)
	mux.HandleFunc("POST /standin/busy/{on}", func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy = r.PathValue("on") == "true"
		w.rec.add(event{Who: w.id, What: "busy " + r.PathValue("on"), Born: w.bornMs, Detail: fmt.Sprintf("%d starts refused so far", w.refused)})
	})
	go w.beats()
	go w.watchLease()
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return srv.Serve(ln)
}

func (w *worker) clockMs() int64 { return time.Since(w.started).Milliseconds() }

func (w *worker) beats() {
	client := &http.Client{Timeout: time.Second}
	time.Sleep(firstBeat)
	for {
		w.mu.Lock()
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.listen, "zone": "d1", "version": "v1", "slots": 8, "state": "ready",
			names["cold"]: 0, "capacity": map[string]int64{"cpu": w.cpu, names["memory"]: w.mem, "gpu": w.gpu},
			"labels": w.labels, "clock_ms": w.clockMs(), "seq": w.seq, "born": w.bornMs,
		})
		seq := w.seq
		w.mu.Unlock()
		r, err := http.NewRequest(http.MethodPut, "http://"+w.agent+"/api/instances/"+w.id, bytes.NewReader(body))
		if err != nil {
			return
		}
		r.Header.Set("Content-Type", "application/json")
		status := 0
		if resp, err := client.Do(r); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		if seq == 1 {
			w.rec.add(event{Who: w.id, What: "first heartbeat", Born: w.bornMs, Detail: fmt.Sprintf("answered %d", status)})
		}
		if status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		time.Sleep(beatInterval)
	}
}

func (w *worker) watchLease() {
	for {
		time.Sleep(tickInterval)
		w.mu.Lock()
		if w.leaseEndMs <= w.clockMs() {
			for _, r := range w.runs {
				w.end(r, "lapsed")
			}
			for i := range w.ends {
				w.ends[i].lapsed = true
			}
		}
		w.mu.Unlock()
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	WaitMs     int64  `json:"wait_ms"`
	Token      uint64 `json:"-"`
	LastSeen   uint64 `json:"-"`
}

func (w *worker) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = w.clockMs(), w.bornMs
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// accept decodes an order, checks its addressee and its fence, and takes over its lease.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request, o *order) bool {
	text, err := io.ReadAll(r.Body)
	object := map[string]json.RawMessage{}
	if err != nil || json.Unmarshal(text, o) != nil || json.Unmarshal(text, &object) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	o.Token, o.LastSeen = field(object, "token"), field(object, "seen")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Token < w.token {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	w.token = o.Token
	w.leaseEndMs = max(w.leaseEndMs, min(o.DeadlineMs, w.clockMs()+w.holdMaxMs))
	return true
}

func (w *worker) order(carryOut func(o order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if !w.accept(rw, r, &o) {
			return
		}
		w.mu.Lock()
		status, reason := carryOut(o)
		w.mu.Unlock()
		body := map[string]any{}
		if reason != "" {
			body["reason"] = reason
		}
		w.reply(rw, status, body)
	}
}

// need returns a figure of a spec.
func need(spec, name string) int64 {
	for part := range strings.FieldsSeq(spec) {
		if v, ok := strings.CutPrefix(part, name+"="); ok {
			n, _ := strconv.ParseInt(v, 10, 64)
			return n
		}
	}
	return 0
}

// start begins a run. The caller holds mu.
func (w *worker) start(o order) (int, string) {
	if _, ok := w.runs[runKey{o.Task, o.Run}]; ok {
		return http.StatusOK, ""
	}
	cpu, gpu := need(o.Spec, "cpu"), need(o.Spec, "gpu")
	usedCPU, usedGPU := int64(0), int64(0)
	for _, r := range w.runs {
		usedCPU, usedGPU = usedCPU+r.cpu, usedGPU+r.gpu
	}
	switch {
	case w.busy:
		w.refused++
		return http.StatusServiceUnavailable, ""
	case o.Run <= w.highest[o.Task]:
		return http.StatusConflict, "old"
	case o.DeadlineMs <= w.clockMs():
		return http.StatusConflict, "late"
	case usedCPU+cpu > w.cpu || usedGPU+gpu > w.gpu:
		return http.StatusConflict, "room"
	}
	r := &minionRun{task: o.Task, run: o.Run, begun: time.Now(), length: time.Duration(need(o.Spec, "ms")) * time.Millisecond, cpu: cpu, gpu: gpu}
	w.runs[runKey{o.Task, o.Run}] = r
	w.rec.add(event{Who: w.id, What: "start", Born: w.bornMs, Task: o.Task, Run: o.Run})
	r.timer = time.AfterFunc(r.length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(r, "done")
	})
	return http.StatusOK, ""
}

// stop ends a run. The caller holds mu.
func (w *worker) stop(o order) (int, string) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r, ok := w.runs[runKey{o.Task, o.Run}]; ok {
		time.AfterFunc(stopDelay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped")
		})
	}
	return http.StatusOK, ""
}

// end lists the end of a run. The caller holds mu.
func (w *worker) end(r *minionRun, how string) {
	if w.runs[runKey{r.task, r.run}] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, runKey{r.task, r.run})
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, minionEnd{w.lastEnd, r.task, r.run, how, false})
	w.rec.add(event{Who: w.id, What: "end", Born: w.bornMs, Task: r.task, Run: r.run, Detail: how})
	close(w.endAdded)
	w.endAdded = make(chan struct{})
}

// maxListed is the number of ends in one answer.
const maxListed = 500

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.accept(rw, r, &o) {
		return
	}
	w.mu.Lock()
	w.ends = slices.DeleteFunc(w.ends, func(e minionEnd) bool {
		if e.n > o.LastSeen {
			return false
		}
		if !e.lapsed {
			w.rec.add(event{Who: w.id, What: "noted", Born: w.bornMs, Task: e.task, Run: e.run, Detail: e.how})
		}
		return true
	})
	empty, added := len(w.ends) == 0, w.endAdded
	w.mu.Unlock()
	if empty && o.WaitMs > 0 {
		select {
		case <-added:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 100
		if r.length > 0 {
			percent = min(99, int(100*time.Since(r.begun)/r.length))
		}
		running = append(running, []any{r.task, r.run, "", percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	w.reply(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}
