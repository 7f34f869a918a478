package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	maxLease     = 10 * time.Second
	tick         = 10 * time.Millisecond
	startupTime  = 500 * time.Millisecond // of a task that lasts, until it is at work
	workerAccels = 8
)

// run is a run on a worker.
type run struct {
	number  int
	startAt time.Time
	endAt   time.Time // zero for a task that lasts
	accels  int
}

// worker is a stand-in of a server at one address. It follows the users' pages.
type worker struct {
	id, ip, rack string
	rec          *record
	durationOf   func(job string) time.Duration // 0 for jobs that last
	accelsOf     func(job string) int

	mu      sync.Mutex
	srv     *http.Server
	dead    bool
	born    int64
	started time.Time
	seq     int64
	fence   int64
	lease   int64 // on the worker's clock
	runs    map[string]*run
	ends    [][]any
	count   int64
	highest map[string]int
	changed chan struct{}
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

func (w *worker) start() error {
	w.started, w.born = time.Now(), time.Now().UnixMilli()
	w.runs, w.highest, w.changed = map[string]*run{}, map[string]int{}, make(chan struct{})
	ln, err := net.Listen("tcp", w.ip+":9000")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.StartPath, w.handler(w.begin))
	mux.HandleFunc("POST "+names.StopPath, w.handler(w.stop))
	mux.HandleFunc("POST "+names.HoldPath, w.handler(w.hold))
	w.srv = &http.Server{Handler: mux}
	go w.srv.Serve(ln) //nolint:errcheck
	go w.beat()
	go w.watch()
	return nil
}

// crash ends the worker and all that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	w.dead = true
	for task, r := range w.runs {
		w.rec.log("worker %s: run %d of %s ends with its machine", w.id, r.number, task)
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	w.srv.Close() //nolint:errcheck
}

// close ends the worker at the end of a case.
func (w *worker) close() {
	w.mu.Lock()
	w.dead, w.runs = true, map[string]*run{}
	w.mu.Unlock()
	w.srv.Close() //nolint:errcheck
}

func (w *worker) isDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

func (w *worker) beat() {
	for !w.isDead() {
		w.mu.Lock()
		w.seq++
		seq := w.seq
		w.mu.Unlock()
		w.announce(seq, nil)
		time.Sleep(beatInterval)
	}
}

// announce sends a heartbeat, in which some fields may be other ones, and returns the status.
func (w *worker) announce(seq int64, odd map[string]any) int {
	body := map[string]any{"address": w.ip + ":9000", "labels": []string{"a", w.rack}, "clock_ms": w.clock(), "seq": seq, "born": w.born}
	maps.Copy(body, names.Beat)
	maps.Copy(body, odd)
	text, _ := json.Marshal(body)
	req, _ := http.NewRequest(http.MethodPut, "http://"+w.ip+":8526"+names.BeatPath+w.id, bytes.NewReader(text))
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close() //nolint:errcheck
	return resp.StatusCode
}

// watch ends runs whose time or lease is over.
func (w *worker) watch() {
	for !w.isDead() {
		time.Sleep(tick)
		w.mu.Lock()
		for task, r := range w.runs {
			switch {
			case w.lease <= w.clock():
				w.end(task, "lapsed")
			case !r.endAt.IsZero() && time.Now().After(r.endAt):
				w.end(task, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (w *worker) end(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.count++
	w.highest[task] = max(w.highest[task], r.number)
	w.ends = append(w.ends, []any{w.count, task, r.number, how, ""})
	w.rec.log("worker %s: run %d of %s ends %s", w.id, r.number, task, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// fail ends the run of a job's task as failed. It reports whether there was one.
func (w *worker) fail(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.runs {
		if strings.HasPrefix(task, job) {
			w.end(task, "failed")
			return true
		}
	}
	return false
}

// has returns whether a run of a job is there, and how many accelerators are free.
func (w *worker) has(job string) (running bool, free int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	free = workerAccels
	for task, r := range w.runs {
		running = running || strings.HasPrefix(task, job)
		free -= r.accels
	}
	if w.dead {
		free = 0
	}
	return running, free
}

type order map[string]any

func (o order) number(name string) int64 {
	f, _ := o[name].(float64)
	return int64(f)
}

func (o order) text(name string) string {
	s, _ := o[name].(string)
	return s
}

func (w *worker) handler(carryOut func(o order) (int, order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		status, answer := http.StatusMisdirectedRequest, order{}
		if r.Header.Get(names.InstanceHeader) == w.id {
			status, answer = w.check(o)
			if status == http.StatusOK {
				status, answer = carryOut(o)
			}
		}
		answer["clock_ms"], answer["born"] = w.clock(), w.born
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		json.NewEncoder(rw).Encode(answer) //nolint:errcheck
	}
}

// check refuses orders of former leaders and takes the lease of the others.
func (w *worker) check(o order) (int, order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fence := o.number(names.Order.Fence)
	if fence < w.fence {
		return http.StatusConflict, order{"reason": "fence"}
	}
	w.fence = fence
	w.lease = max(w.lease, min(o.number(names.Order.Lease), w.clock()+maxLease.Milliseconds()))
	return http.StatusOK, order{}
}

func (w *worker) begin(o order) (int, order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task, number := o.text(names.Order.Task), int(o.number(names.Order.Run))
	job, _, _ := strings.Cut(task, ".")
	r, there := w.runs[task]
	used := 0
	for _, other := range w.runs {
		used += other.accels
	}
	switch {
	case there && r.number == number:
		return http.StatusOK, order{}
	case there && r.number > number, number <= w.highest[task]:
		return http.StatusConflict, order{"reason": "old"}
	case o.number(names.Order.Lease) <= w.clock():
		return http.StatusConflict, order{"reason": "late"}
	case used+w.accelsOf(job) > workerAccels:
		return http.StatusConflict, order{"reason": "room"}
	}
	r = &run{number: number, startAt: time.Now(), accels: w.accelsOf(job)}
	if d := w.durationOf(job); d > 0 {
		r.endAt = r.startAt.Add(d)
	}
	w.runs[task] = r
	w.rec.log("worker %s: run %d of %s begins", w.id, number, task)
	return http.StatusOK, order{}
}

func (w *worker) stop(o order) (int, order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task, number := o.text(names.Order.Task), int(o.number(names.Order.Run))
	w.highest[task] = max(w.highest[task], number)
	if r, ok := w.runs[task]; ok && r.number <= number {
		w.end(task, "stopped")
	}
	return http.StatusOK, order{}
}

func (w *worker) hold(o order) (int, order) {
	w.mu.Lock()
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= o.number(names.Order.Seen) {
		w.ends = w.ends[1:]
	}
	changed, waits := w.changed, len(w.ends) == 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.number(names.Order.Wait)) * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, finished := [][]any{}, w.ends[:min(len(w.ends), 500)]
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, "", r.percent(), 0})
	}
	if finished == nil {
		finished = [][]any{}
	}
	return http.StatusOK, order{"running": running, "finished": finished}
}

// percent returns the progress of a run; one that lasts is at work at 100.
func (r *run) percent() int {
	total := startupTime
	if !r.endAt.IsZero() {
		total = r.endAt.Sub(r.startAt)
	}
	return min(100, int(100*time.Since(r.startAt)/total))
}

func workerID(i int) string { return fmt.Sprintf("i-%02d", i) }
