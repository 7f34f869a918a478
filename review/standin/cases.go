package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

var scripts = map[string]script{
	"reborn": reborn,
	"large":  large,
	"queued": queued,
	"clock":  clock,
	"ends":   ends,
}

const (
	startLimit = 30 * time.Second
	settle     = 4 * time.Second  // from the first configuration to the first job
	finish     = 14 * time.Second // finish_s
)

var queueRoutes = []route{{name: "r-1", prefix: "/q1/", priority: 1}}

// begin starts a system and stores its first configuration.
func begin(s *system, minions int, minionArgs func(i int) []string, routes []route) error {
	if err := s.start(minions, minionArgs); err != nil {
		return err
	}
	if err := s.putConfig(routes, startLimit); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// stateOf returns the state of a job as a client sees it, "" if there is no answer.
func (s *system) stateOf(path string) (int, string) {
	status, text := s.call("GET", 1, path, "")
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &b)
	return status, b.State
}

// await asks for a job until it is in a state.
func (s *system) await(path, state string, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		if _, got := s.stateOf(path); got == state {
			return nil
		}
	}
	return fmt.Errorf("%s isn't %s", path, state)
}

// startsOf returns the number of starts of a job.
func (s *system) startsOf(id string) int {
	list, err := s.events()
	if err != nil {
		return 0
	}
	n := 0
	for _, e := range list {
		if e.What == "start" && strings.HasPrefix(e.Task, id+".") {
			n++
		}
	}
	return n
}

// reborn crashes one worker of six at a time. It starts again at its address under its id. Some jobs are
// handed in at about the time of each crash.
func reborn(s *system, trouble bool) ([]string, error) {
	const (
		minions = 6
		crashes = 30
		jobs    = 4                      // at each crash
		minDown = 300 * time.Millisecond // least time from the crash to the new life
		varied  = 700                    // milliseconds that it may be longer
		pause   = 2000 * time.Millisecond
	)
	if err := begin(s, minions, nil, queueRoutes); err != nil {
		return nil, err
	}
	for n := range crashes {
		m, id := s.minions[n%minions], minionID(n%minions)
		if trouble {
			m.kill()
			s.note(id, "killed", "SIGKILL")
		}
		back := time.Now().Add(minDown + time.Duration(rand.IntN(varied))*time.Millisecond)
		for i := range jobs {
			s.submit("/q1/", jobID(jobs*n+i), jobBody(6, 2000, 500, 100, 0))
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(time.Until(back))
		if trouble {
			if err := m.launch(); err != nil {
				return nil, err
			}
		}
		time.Sleep(pause)
		list, err := s.events()
		if err != nil {
			return nil, err
		}
		if found := twice(list, s.began.UnixMicro()); len(found) > 0 {
			return found, nil
		}
	}
	return nil, nil
}

// large hands in one job of many small tasks that take idle processor time only, then some ordinary jobs.
func large(s *system, trouble bool) ([]string, error) {
	const (
		minions  = 6
		ordinary = 5
		memMB    = 8
	)
	if err := begin(s, minions, nil, queueRoutes); err != nil {
		return nil, err
	}
	s.submit("/q1/", jobID(1), jobBody(6, 500, 500, 100, 0))
	if err := s.await("/q1/"+jobID(1), "complete", 10*time.Second); err != nil {
		return nil, err
	}
	tasks := 12000
	if !trouble {
		tasks = 1200
	}
	body := strings.Replace(jobBody(tasks, 3000, 0, memMB, 0), `"count"`, `"utilization":true,"count"`, 1)
	if !s.submit("/q1/", jobID(2), body) {
		return nil, fmt.Errorf("the large job wasn't accepted")
	}
	time.Sleep(2 * time.Second)
	var accepted []string
	for n := range ordinary {
		if id := jobID(10 + n); s.submit("/q1/", id, jobBody(4, 500, 500, 100, 0)) {
			accepted = append(accepted, id)
		}
	}
	time.Sleep(finish + 26*time.Second)
	var found []string
	for _, id := range accepted {
		status, state := s.stateOf("/q1/" + id)
		for i := 0; status != 200 && i < 3; i++ {
			time.Sleep(time.Second)
			status, state = s.stateOf("/q1/" + id)
		}
		if starts := s.startsOf(id); starts == 0 {
			found = append(found, fmt.Sprintf("LOST: job %s was accepted; 40 s later its state is %d %q and it has had no start, while all %d minions are idle", id, status, state, minions))
		}
	}
	return found, nil
}

// queued makes one of ten minions refuse all starts for a while. It is the only one with room.
func queued(s *system, trouble bool) ([]string, error) {
	const (
		minions = 10
		waiting = 6
		grey    = 5500 * time.Millisecond
	)
	routes := []route{{name: "r-1", prefix: "/q1/", priority: 0}, {name: "r-2", prefix: "/q2/", priority: 1}}
	if err := begin(s, minions, nil, routes); err != nil {
		return nil, err
	}
	// Nine of the ten minions are taken.
	s.submit("/q1/", jobID(1), jobBody(minions-1, 90000, 500, 100, 8))
	if err := s.await("/q1/"+jobID(1), "active", 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	list, err := s.events()
	if err != nil {
		return nil, err
	}
	taken := map[string]bool{}
	for _, e := range list {
		if e.What == "start" {
			taken[e.Who] = true
		}
	}
	free := -1
	for i := range minions {
		if !taken[minionID(i)] {
			free = i
		}
	}
	if len(taken) != minions-1 || free < 0 {
		return nil, fmt.Errorf("%d minions are taken", len(taken))
	}
	busy := func(on bool) {
		s.do("POST", s.addr(s.minionHost(free), portMinion), fmt.Sprintf("/standin/busy/%v", on), "", time.Second)
	}
	if trouble {
		busy(true)
	} else {
		// The last worker is taken as well, so that the jobs wait without a disruption.
		s.submit("/q1/", jobID(2), jobBody(1, 90000, 500, 100, 8))
		time.Sleep(time.Second)
	}
	began := time.Now()
	var jobs []string
	for n := range waiting {
		if id := jobID(10 + n); s.submit("/q2/", id, jobBody(1, 60000, 500, 100, 1)) {
			jobs = append(jobs, id)
		}
	}
	if trouble {
		// A job of the higher priority takes the worker once it is well again.
		time.Sleep(3 * time.Second)
		s.submit("/q1/", jobID(2), jobBody(1, 90000, 500, 100, 8))
		time.Sleep(time.Until(began.Add(grey)))
		busy(false)
	}
	var found []string
	time.Sleep(time.Until(began.Add(15 * time.Second)))
	for range 5 {
		time.Sleep(time.Second)
		notBegun := 0
		for _, id := range jobs {
			if s.startsOf(id) == 0 {
				notBegun++
			}
		}
		for front := 1; front <= fronts; front++ {
			status, text := s.call("GET", front, "/q2/", "")
			object := map[string]json.RawMessage{}
			if status != 200 || json.Unmarshal([]byte(text), &object) != nil || object[names["queued"]] == nil {
				continue
			}
			count := int(field(object, "queued"))
			if 2*count < notBegun {
				found = append(found, fmt.Sprintf("MIXED: %.1f s after the jobs were accepted the count is %d, but %d of them have had no start", time.Since(began).Seconds(), count, notBegun))
			}
		}
	}
	return found, nil
}

// clock sets back the time of day on the machine of a worker that has started a short while ago. Then the
// worker crashes and starts again.
func clock(s *system, trouble bool) ([]string, error) {
	const (
		minions = 4
		last    = minions - 1
		step    = 2400 // milliseconds
	)
	labels := func(i int) []string {
		if i == last {
			return []string{"-labels", "b,r1"}
		}
		return nil
	}
	if err := begin(s, minions, labels, queueRoutes); err != nil {
		return nil, err
	}
	body := strings.Replace(jobBody(1, 500, 500, 100, 0), `"count":1`, `"count":1,"requires":"b"`, 1)
	s.submit("/q1/", jobID(1), body)
	if err := s.await("/q1/"+jobID(1), "complete", 10*time.Second); err != nil {
		return nil, err
	}
	m := s.minions[last]
	restart := func() error {
		m.kill()
		s.note(minionID(last), "killed", "SIGKILL")
		time.Sleep(500 * time.Millisecond)
		return m.launch()
	}
	if err := restart(); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if trouble {
		s.note("machine", "clock", fmt.Sprintf("set back by %d ms", step))
		m.args = append(m.args, "-clock", fmt.Sprint(-step))
	}
	if err := restart(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if !s.submit("/q1/", jobID(2), body) {
		return nil, fmt.Errorf("the job wasn't accepted")
	}
	time.Sleep(40 * time.Second)
	status, state := s.stateOf("/q1/" + jobID(2))
	if starts := s.startsOf(jobID(2)); starts == 0 {
		return []string{fmt.Sprintf("LOST: 40 s after the job was accepted its state is %d %q and it has had no start, on an idle service; the worker it needs has been up for 42 s", status, state)}, nil
	}
	return nil, nil
}

// ends hands in a job of many small tasks. More than a thousand of them end on each worker within a second, of
// which a worker lists 500 at a time.
func ends(s *system, trouble bool) ([]string, error) {
	const (
		minions = 3
		length  = 6000 * time.Millisecond
	)
	tasks := 4800
	if !trouble {
		tasks = 480
	}
	if err := begin(s, minions, nil, queueRoutes); err != nil {
		return nil, err
	}
	if !s.submit("/q1/", jobID(1), jobBody(tasks, length.Milliseconds(), 20, 60, 0)) {
		return nil, fmt.Errorf("the job wasn't accepted")
	}
	time.Sleep(length + 20*time.Second)
	list, err := s.events()
	if err != nil {
		return nil, err
	}
	return append(startedAfterDone(list, s.began.UnixMicro()), twice(list, s.began.UnixMicro())...), nil
}
