package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	maxHold      = 10 * time.Second       // longest lease that a worker accepts
	stopTime     = 150 * time.Millisecond // how long a stop takes; the bound is 400 ms
	startupTime  = 500 * time.Millisecond // until a task that lasts is at work
	maxListed    = 500                    // ends in one listing
	tickInterval = 10 * time.Millisecond
	shedShare    = 0.4 // of the starts, while the worker sheds
)

// worker is a sound stand-in of a worker, from its start until it is killed.
type worker struct {
	id, rack  string
	beatAddr  string // of the agent
	addr      string
	rec       *record
	startedAt time.Time
	born      int64
	ln        net.Listener
	srv       *http.Server
	client    *http.Client

	mu      sync.Mutex
	killed  bool
	seq     int64
	fence   uint64
	lease   int64 // end of the lease on the worker's clock
	runs    map[string]*taskRun
	highest map[string]int // highest run that ended or was stopped, by task
	ends    []taskEnd
	lastEnd int64
	news    chan struct{} // closed when a run ends
	starts  []*taskStart
	// stalledUntil is until when the worker answers no order, and sheddingUntil until when it refuses some starts.
	stalledUntil, sheddingUntil time.Time
	// howEnded holds how runs have ended, by job.
	howEnded map[string][]string
}

// taskRun is a task at work.
type taskRun struct {
	task     string
	number   int
	beganAt  time.Time
	length   time.Duration
	lasts    bool
	stopDone time.Time // when a stop is complete, zero if none was ordered
	start    *taskStart
}

// taskEnd is an end that isn't acknowledged yet.
type taskEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// taskStart is a start that the worker has carried out.
type taskStart struct {
	task   string
	number int
	at     time.Time
	ended  time.Time // zero while it runs
}

// taskSpec is the text of a job as the stand-ins use it.
type taskSpec struct {
	WorkMs int64  `json:"work"`
	Lasts  bool   `json:"lasts,omitempty"`
	Fill   string `json:"fill,omitempty"`
}

func startWorker(id, rack, addr, beatAddr string, rec *record) (*worker, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, rack: rack, addr: addr, beatAddr: beatAddr, rec: rec, startedAt: time.Now(), born: time.Now().UnixMilli(), ln: ln,
		runs: map[string]*taskRun{}, highest: map[string]int{}, howEnded: map[string][]string{}, news: make(chan struct{}), client: &http.Client{Timeout: time.Second},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.PathStart, w.handle(w.start))
	mux.HandleFunc("POST "+names.PathStop, w.handle(w.stop))
	mux.HandleFunc("POST "+names.PathHold, w.handle(w.hold))
	w.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	background(func() { _ = w.srv.Serve(ln) })
	background(w.beatLoop)
	background(w.workLoop)
	return w, nil
}

// kill ends the worker as a crash does: its runs end unreported and its address refuses connections.
func (w *worker) kill() {
	w.mu.Lock()
	w.killed = true
	for task, r := range w.runs {
		r.start.ended = time.Now()
		w.rec.add("worker %s died with %s run %d", w.id, task, r.number)
	}
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	_ = w.srv.Close()
}

func (w *worker) isKilled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.killed
}

func (w *worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() }

// beat returns the body of a heartbeat.
func (w *worker) beat(seq int64, service string) map[string]any {
	return map[string]any{
		"service": service, "address": w.addr, "zone": "krakow-a", "version": "v1", "slots": 8, "state": "ready", names.Cold: 0,
		"capacity": map[string]int64{"cpu": 32000, names.Memory: 131072, "gpu": 8}, "labels": []string{"a", w.rack},
		names.Clock: w.clock(), "seq": seq, names.Born: w.born,
	}
}

func (w *worker) beatLoop() {
	for !w.isKilled() {
		w.mu.Lock()
		w.seq++
		body := w.beat(w.seq, "huvo11a")
		w.mu.Unlock()
		_, _ = sendBeat(w.client, w.beatAddr, w.id, body)
		time.Sleep(beatInterval)
	}
}

// sendBeat sends a heartbeat and returns the status of the answer. id is written into the path as it is.
func sendBeat(c *http.Client, addr, id string, body map[string]any) (int, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+addr+names.PathBeat+id, bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// workLoop ends runs that are done, stopped or without a lease.
func (w *worker) workLoop() {
	for !w.isKilled() {
		w.mu.Lock()
		now := time.Now()
		expired := w.clock() >= w.lease
		for _, r := range w.runs {
			switch {
			case expired:
				w.end(r, "lapsed")
			case !r.stopDone.IsZero() && !now.Before(r.stopDone):
				w.end(r, "stopped")
			case !r.lasts && r.stopDone.IsZero() && now.Sub(r.beganAt) >= r.length:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
		time.Sleep(tickInterval)
	}
}

// end lists the end of a run. The caller holds mu.
func (w *worker) end(r *taskRun, how string) {
	delete(w.runs, r.task)
	r.start.ended = time.Now()
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, taskEnd{w.lastEnd, r.task, r.number, how})
	job, _, _ := strings.Cut(r.task, ".")
	w.howEnded[job] = append(w.howEnded[job], how)
	w.rec.add("worker %s: %s run %d ended %s", w.id, r.task, r.number, how)
	close(w.news)
	w.news = make(chan struct{})
}

// order is the decoded body of an order.
type order map[string]json.RawMessage

func (o order) number(name string) int64 {
	var n int64
	_ = json.Unmarshal(o[name], &n) // a missing value counts as 0
	return n
}

func (o order) text(name string) string {
	var s string
	_ = json.Unmarshal(o[name], &s) // a missing value counts as empty
	return s
}

// handle checks the addressee and the fencing token of an order, takes its lease and carries it out.
func (w *worker) handle(carryOut func(ctx context.Context, o order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if !w.awaitStall(r.Context()) {
			return // the agent has given up; nothing was done
		}
		if r.URL.Path == names.PathStart && w.sheds() {
			w.rec.add("worker %s: %s run %d is refused with 503", w.id, o.text(names.Task), o.number(names.Run))
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		status, body := w.check(r.Header.Get("Expect-Instance"), o)
		if status == http.StatusOK {
			status, body = carryOut(r.Context(), o)
		}
		body[names.Clock], body[names.Born] = w.clock(), w.born
		text, err := json.Marshal(body)
		if err != nil {
			rw.WriteHeader(http.StatusInternalServerError)
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_, _ = rw.Write(text)
	}
}

// awaitStall waits until the worker no longer stalls. It returns false if the caller gives up before.
func (w *worker) awaitStall(ctx context.Context) bool {
	w.mu.Lock()
	left := time.Until(w.stalledUntil)
	w.mu.Unlock()
	if left <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(left):
		return true
	}
}

// sheds reports whether a start is refused because the worker is unhealthy. Nothing is done then.
func (w *worker) sheds() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.sheddingUntil) && rand.Float64() < shedShare
}

// stall makes the worker answer no order for a time, and refuse some starts for a time after that.
func (w *worker) stall(stalled, shedding time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalledUntil = time.Now().Add(stalled)
	w.sheddingUntil = w.stalledUntil.Add(shedding)
	w.rec.add("worker %s answers nothing for %v, then refuses a part of the starts for %v", w.id, stalled, shedding)
}

func (w *worker) check(id string, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fence := uint64(o.number(names.Fence))
	switch {
	case id != "" && id != w.id:
		return http.StatusMisdirectedRequest, map[string]any{}
	case fence < w.fence:
		return http.StatusConflict, map[string]any{names.Reason: "fence"}
	}
	w.fence = fence
	w.lease = max(w.lease, min(o.number(names.LeaseEnd), w.clock()+maxHold.Milliseconds()))
	return http.StatusOK, nil
}

func (w *worker) start(_ context.Context, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task, number := o.text(names.Task), int(o.number(names.Run))
	if r, ok := w.runs[task]; ok && r.number == number {
		return http.StatusOK, map[string]any{}
	}
	switch {
	case number <= w.highest[task]:
		return http.StatusConflict, map[string]any{names.Reason: "old"}
	case o.number(names.LeaseEnd) <= w.clock():
		return http.StatusConflict, map[string]any{names.Reason: "late"}
	}
	var spec taskSpec
	if err := json.Unmarshal([]byte(o.text(names.Spec)), &spec); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	s := &taskStart{task: task, number: number, at: time.Now()}
	w.runs[task] = &taskRun{task: task, number: number, beganAt: s.at, length: time.Duration(spec.WorkMs) * time.Millisecond, lasts: spec.Lasts, start: s}
	w.starts = append(w.starts, s)
	w.rec.add("worker %s: %s run %d started", w.id, task, number)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(_ context.Context, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task, number := o.text(names.Task), int(o.number(names.Run))
	w.highest[task] = max(w.highest[task], number)
	if r, ok := w.runs[task]; ok && r.number <= number && r.stopDone.IsZero() {
		r.stopDone = time.Now().Add(stopTime)
		w.rec.add("worker %s: %s run %d is told to stop", w.id, task, number)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(ctx context.Context, o order) (int, map[string]any) {
	w.mu.Lock()
	seen := o.number(names.Seen)
	for len(w.ends) > 0 && w.ends[0].number <= seen {
		w.ends = w.ends[1:]
	}
	news, wait := w.news, time.Duration(o.number(names.Wait))*time.Millisecond
	if len(w.ends) > 0 {
		wait = 0
	}
	w.mu.Unlock()
	if wait > 0 {
		select {
		case <-ctx.Done():
		case <-news:
		case <-time.After(wait):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, finished := []any{}, []any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{names.Running: running, names.Finished: finished}
}

// percent returns the progress of a run.
func (r *taskRun) percent() int {
	length := r.length
	if r.lasts {
		length = startupTime
	}
	return int(min(100, 100*time.Since(r.beganAt)/max(length, time.Millisecond)))
}

// runningTasks returns the tasks at work, as "TASK run N".
func (w *worker) runningTasks() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := map[string]bool{}
	for _, r := range w.runs {
		list[fmt.Sprintf("%s run %d", r.task, r.number)] = true
	}
	return list
}

// startsOf returns the starts of a job's tasks.
func (w *worker) startsOf(job string) []taskStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []taskStart
	for _, s := range w.starts {
		if len(s.task) > len(job) && s.task[:len(job)] == job {
			list = append(list, *s)
		}
	}
	return list
}
