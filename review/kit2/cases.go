package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	finishTime  = 14 * time.Second // after the end of the traffic jobs are asked for
	maxIdle     = 3 * time.Second  // longest time for which a job that could run has nothing running
	watchTime   = 8 * time.Second
	cancelTime  = 3 * time.Second        // from the acknowledgement of a cancelling
	maxStopTime = 400 * time.Millisecond // that a worker may take to stop a run
	visibleTime = 3 * time.Second        // after its acceptance a job is known everywhere
)

// oddHeartbeat has another writer send each agent heartbeats with an id that can't be read, about as often as a worker
// sends its own. The workers answer all the while and go on with their heartbeats. Once the other writer has gone, each
// worker must run a job that only it may run.
func oddHeartbeat(s *system) (string, error) {
	s.rackEach = true
	if err := s.run(3); err != nil {
		return "", err
	}
	for n, end := int64(1), time.Now().Add(beatTime); time.Now().Before(end); n++ {
		for i := 1; s.trouble && i <= s.hosts; i++ {
			w := s.workers[i]
			status, err := sendBeat(s.client, w.beatAddr, unreadableID, w.beat(n, "huvo11a"))
			s.rec.add("agent-%d gets a heartbeat of another writer, id %s -> %d %v", i, unreadableID, status, err)
		}
		time.Sleep(beatInterval - beatJitter + rand.N(2*beatJitter))
	}
	time.Sleep(2 * beatInterval)
	for i := 1; i <= s.hosts; i++ {
		step := map[string]any{"count": 1, "cpu": 3700, names.Memory: 15000, "gpu": 1, names.Estimate: 1000, "requires": s.workers[i].rack}
		if err := s.submit(jobID(i), jobText(taskSpec{WorkMs: 1000}, step)); err != nil {
			return "", err
		}
	}
	time.Sleep(finishTime)
	for i := 1; i <= s.hosts; i++ {
		if broken := s.idleJob(jobID(i)); broken != "" {
			return broken, nil
		}
	}
	return "", nil
}

const (
	// unreadableID is an id of control characters, as it stands in the path of a heartbeat.
	unreadableID = "%01%07%1F"
	beatTime     = 45 * time.Second // for which another writer sends heartbeats
	beatJitter   = 100 * time.Millisecond
)

// idleJob returns how a job that isn't complete has nothing running for too long although all workers are free, "" if
// it doesn't.
func (s *system) idleJob(id string) string {
	idleSince := time.Now()
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(pollInterval) {
		if s.runs(id) > 0 {
			idleSince = time.Now()
		}
		if time.Since(idleSince) <= maxIdle {
			continue
		}
		state := s.state(id)
		if state == "complete" {
			return ""
		}
		return fmt.Sprintf("LOST: job %s is %q and has had nothing running for %v, %d starts so far, while workers that answer have room for it", id, state, maxIdle, s.starts(id))
	}
	return ""
}

// runs returns the number of tasks of a job at work.
func (s *system) runs(id string) int {
	n := 0
	for _, w := range s.workers {
		for r := range w.runningTasks() {
			if strings.HasPrefix(r, id+".") {
				n++
			}
		}
	}
	return n
}

// starts returns the number of starts of a job's tasks.
func (s *system) starts(id string) int {
	n := 0
	for _, w := range s.workers {
		n += len(w.startsOf(id))
	}
	return n
}

// renamedRoute stores a configuration that removes a route and adds one with another name at the same place. A job that
// was accepted before must still be known, and a cancelling that is acknowledged must stop it.
func renamedRoute(s *system) (string, error) {
	if err := s.run(3); err != nil {
		return "", err
	}
	id := jobID(1)
	if err := s.submit(id, jobText(taskSpec{WorkMs: 40_000}, map[string]any{"count": 1, "cpu": 1000, names.Memory: 64, names.Estimate: 40_000})); err != nil {
		return "", err
	}
	if !s.awaitState(id, "active", 10*time.Second) {
		return "", fmt.Errorf("the job didn't begin: %w", errNotRun)
	}
	time.Sleep(visibleTime)
	if s.trouble {
		var cfg map[string]any
		if err := json.Unmarshal(names.Config, &cfg); err != nil {
			return "", err
		}
		cfg["version"] = 4
		cfg["routes"].([]any)[0].(map[string]any)["name"] = "r-new4ha"
		text, err := json.Marshal(cfg)
		if err != nil {
			return "", err
		}
		if err := s.putConfig(text); err != nil {
			return "", err
		}
	}
	time.Sleep(3 * time.Second)
	broken := ""
	if a := s.job(http.MethodGet, 1, id, ""); a.status == http.StatusGone {
		broken = fmt.Sprintf("LOST: job %s, accepted and not cancelled, with %d of its tasks running, is answered 410", id, s.runs(id))
	}
	cancelled := s.job(http.MethodDelete, 2, id, "")
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		return broken, nil
	}
	time.Sleep(cancelTime + maxStopTime + time.Second)
	if n := s.runs(id); n > 0 {
		broken = strings.TrimPrefix(broken+fmt.Sprintf("; UNASKED: %d tasks run on %v after the cancelling was acknowledged with %d", n, cancelTime+maxStopTime, cancelled.status), "; ")
	}
	return broken, nil
}

// manyOrders hands in one job of many small tasks with a text of nearly the longest length, all of which fit on one
// worker. Without the disruption it has as many tasks as the widest on the users' sheets.
func manyOrders(s *system) (string, error) {
	if err := s.run(3); err != nil {
		return "", err
	}
	count := 55
	if s.trouble {
		count = 2400
	}
	id := jobID(1)
	step := map[string]any{"count": count, "cpu": 10, names.Memory: 16, names.Estimate: 2000}
	if err := s.submit(id, jobText(taskSpec{WorkMs: 2000, Fill: strings.Repeat("x", 3950)}, step)); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	other := jobID(2)
	small := map[string]any{"count": 1, "cpu": 1000, names.Memory: 64, names.Estimate: 1000}
	if err := s.submit(other, jobText(taskSpec{WorkMs: 1000}, small)); err != nil {
		return "", err
	}
	time.Sleep(finishTime)
	for _, id := range []string{id, other} {
		if broken := s.idleJob(id); broken != "" {
			return broken, nil
		}
	}
	return "", nil
}

// silentConns silences the connections that are open between the agents and their workers, while new ones work. Two tasks
// of a step that last, of which one may be missing, must not both lose their leases later.
func silentConns(s *system) (string, error) {
	var proxies []*proxy
	for i := 1; i <= 3; i++ {
		p, err := startProxy(s.addr(workerHost(i), portProxy), s.addr(workerHost(i), portWorker))
		if err != nil {
			return "", err
		}
		s.orderTo[i] = s.addr(workerHost(i), portProxy)
		proxies = append(proxies, p)
	}
	if err := s.run(3); err != nil {
		return "", err
	}
	id := jobID(1)
	step := map[string]any{"count": 2, "cpu": 1000, names.Memory: 64, "gpu": 1, "long_running": true, names.Spread: 1, names.MayMiss: 1, names.Estimate: 500}
	if err := s.submit(id, jobText(taskSpec{Lasts: true}, step)); err != nil {
		return "", err
	}
	wide := map[string]any{"count": 30, "cpu": 2800, names.Memory: 8200, names.Spread: 10, names.Estimate: 1000}
	if err := s.submit(jobID(2), jobText(taskSpec{WorkMs: 1000}, wide)); err != nil {
		return "", err
	}
	if !s.awaitState(jobID(2), "complete", 10*time.Second) {
		return "", fmt.Errorf("the wide job didn't end: %w", errNotRun)
	}
	if s.runs(id) != 2 {
		return "", fmt.Errorf("the tasks that last aren't at work: %w", errNotRun)
	}
	for i, p := range proxies {
		if s.trouble {
			s.rec.add("%d connections of agent-%d to its worker go silent", p.silence(), i+1)
		}
	}
	time.Sleep(20 * time.Second)
	lapsed := 0
	for _, w := range s.workers {
		w.mu.Lock()
		for _, how := range w.howEnded[id] {
			if how == "lapsed" {
				lapsed++
			}
		}
		w.mu.Unlock()
	}
	if lapsed > 1 {
		return fmt.Sprintf("AVAIL: the leases of %d tasks of a step lapsed on sound workers, of which one may be missing", lapsed), nil
	}
	return "", nil
}

// refusedAfterStall has one of twelve workers stall for some seconds, several times, and refuse a part of the starts with 503
// when it answers again. Tasks are ordered to it while it stalls. No task may have two runs at the same time.
func refusedAfterStall(s *system) (string, error) {
	if err := s.run(12); err != nil {
		return "", err
	}
	// A long task makes the planner prefer its worker to the empty ones.
	anchor := map[string]any{"count": 1, "cpu": 1000, names.Memory: 1000, names.Estimate: 100_000}
	if err := s.submitUrgent(jobID(1), jobText(taskSpec{WorkMs: 300_000}, anchor)); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	var used *worker
	for _, w := range s.workers {
		if len(w.startsOf(jobID(1))) > 0 {
			used = w
		}
	}
	if used == nil {
		return "", fmt.Errorf("the first job didn't begin: %w", errNotRun)
	}
	step := map[string]any{"count": 30, "cpu": 50, names.Memory: 150, names.Estimate: 600}
	for n, end := 2, time.Now().Add(stallsTime); time.Now().Before(end); n += jobsInStall {
		if s.trouble {
			used.stall(stallTime, shedTime)
		}
		time.Sleep(handInAfter)
		for i := range jobsInStall {
			if err := s.submitUrgent(jobID(n+i), jobText(taskSpec{WorkMs: 600}, step)); err != nil {
				return "", err
			}
			time.Sleep(rand.N(8 * time.Millisecond))
		}
		time.Sleep(stallTime - handInAfter + 1200*time.Millisecond)
		for i := range jobsInStall {
			if broken := s.twoRuns(jobID(n + i)); broken != "" {
				return broken, nil
			}
		}
	}
	return "", nil
}

const (
	stallTime  = 4500 * time.Millisecond // of one stall
	shedTime   = 500 * time.Millisecond  // after it
	stallsTime = 90 * time.Second
	// handInAfter is when jobs are handed in after the beginning of a stall: the agent has missed one answer, and the
	// leader doesn't know yet.
	handInAfter = 2 * time.Second
	// jobsInStall is the number of jobs that are handed in while the worker stalls.
	jobsInStall = 20
)

// twoRuns returns how a task of a job had two runs at the same time, "" if none had.
func (s *system) twoRuns(id string) string {
	var all []taskStart
	var on []string
	for _, w := range s.workers {
		for _, st := range w.startsOf(id) {
			all, on = append(all, st), append(on, w.id)
		}
	}
	for i, a := range all {
		for j, b := range all {
			if i != j && a.task == b.task && !b.at.Before(a.at) && (a.ended.IsZero() || b.at.Before(a.ended)) {
				return fmt.Sprintf("TWICE: %s run %d began on %s while run %d was at work on %s; both answer", b.task, b.number, on[j], a.number, on[i])
			}
		}
	}
	return ""
}
