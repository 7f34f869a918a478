package main

import (
	"net/http"
	"time"
)

// The rule for tasks that last: from restartTime after its last run, none may have nothing running for idleTime while
// there is room for it twice over, if that time and calmTime before it are calm.
const (
	restartTime = 6 * time.Second
	idleTime    = 3 * time.Second
	calmTime    = 4 * time.Second
	lastAccels  = 2 // of the task that lasts
)

// watchLasting watches a job with one task that lasts, whose last run has ended, until it runs again or the rule is broken.
// Disruptions have ended at calmSince.
func (s *system) watchLasting(id string, endedAt time.Time, calmSince time.Time) int {
	idleFrom := endedAt.Add(restartTime)
	if t := calmSince.Add(calmTime); t.After(idleFrom) {
		idleFrom = t
	}
	for {
		on, room := s.running(id, lastAccels)
		now := time.Now()
		switch {
		case on != nil:
			s.rec.log("the task that lasts runs again on %s, %.2f s after its last run", on.id, now.Sub(endedAt).Seconds())
			return held
		case room < 2:
			if now.After(idleFrom) {
				idleFrom = now
			}
		case now.Sub(idleFrom) >= idleTime:
			s.rec.log("the task that lasts has nothing running %.2f s after its last run, %.2f s after the last disruption; %d of them would fit on the workers",
				now.Sub(endedAt).Seconds(), now.Sub(calmSince).Seconds(), room)
			s.state(id, 2, "k1")
			s.untilRunning(id, endedAt)
			return broken
		}
		time.Sleep(tick)
	}
}

// untilRunning records when a job runs again, if that is soon.
func (s *system) untilRunning(id string, endedAt time.Time) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(tick) {
		if on, _ := s.running(id, lastAccels); on != nil {
			s.rec.log("it runs again on %s, %.2f s after its last run", on.id, time.Since(endedAt).Seconds())
			return
		}
	}
	s.rec.log("it doesn't run yet, %.2f s after its last run", time.Since(endedAt).Seconds())
}

// lastingGang: the only run of a job that lasts fails while an urgent gang waits for workers that are busy.
func lastingGang(s *system, trouble bool) (int, error) {
	if err := s.start(); err != nil {
		return 0, err
	}
	lasting, err := s.submit("lasting", 2, "k1", 0, lastAccels)
	if err != nil {
		return 0, err
	}
	if _, err := s.await(lasting); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	busy, err := s.submit("busy", 0, "k0", 22*time.Second, 8)
	if err != nil {
		return 0, err
	}
	if _, err := s.await(busy); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	calmSince := time.Now()
	if trouble {
		if _, err := s.submit("urgent", 0, "k0", 8*time.Second, 8); err != nil {
			return 0, err
		}
		calmSince = time.Now()
	}
	time.Sleep(5 * time.Second)
	w, err := s.await(lasting)
	if err != nil {
		return 0, err
	}
	w.fail(lasting)
	return s.watchLasting(lasting, time.Now(), calmSince), nil
}

const (
	leaderKillDelay = 7900 * time.Millisecond // after the loss of a worker's machine
	restartDelay    = 500 * time.Millisecond  // of a killed process
)

// lastingLeader: the machine of the worker on which a task lasts is lost, and the leader is killed shortly before it would
// start the task again.
func lastingLeader(s *system, trouble bool) (int, error) {
	if err := s.start(); err != nil {
		return 0, err
	}
	lasting, err := s.submit("lasting", 2, "k1", 0, lastAccels)
	if err != nil {
		return 0, err
	}
	w, err := s.await(lasting)
	if err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	if !trouble {
		time.Sleep(leaderKillDelay + restartDelay)
		return s.watchLasting(lasting, time.Now(), time.Now()), nil
	}
	for i := range s.workers {
		if s.workers[i] == w {
			s.rec.log("the machine of %s is lost", w.id)
			s.procs[agentName(i)].kill(s.rec)
			w.crash()
		}
	}
	endedAt := time.Now()
	time.Sleep(leaderKillDelay)
	leader, err := s.leader()
	if err != nil {
		return 0, err
	}
	leader.kill(s.rec)
	time.Sleep(restartDelay)
	if err := leader.start(s.rec); err != nil {
		return 0, err
	}
	return s.watchLasting(lasting, endedAt, time.Now()), nil
}

const (
	startSpread = 300 * time.Millisecond // in which all machines start
	lossDelay   = 250 * time.Millisecond // after the start of the machine that is lost
	downTime    = time.Second
	// ackLimit is how long the first configuration is sent, well over the time in which service has to return after losses.
	ackLimit = 30 * time.Second
)

// firstStart: while the whole system starts for the first time, one machine with a disk is lost. It comes back with an
// empty disk.
func firstStart(s *system, trouble bool) (int, error) {
	first := s.procs["control-1"]
	if err := first.start(s.rec); err != nil {
		return 0, err
	}
	time.Sleep(lossDelay)
	if trouble {
		first.kill(s.rec)
		if err := s.loseDisk(first.name); err != nil {
			return 0, err
		}
		back := time.Now().Add(downTime)
		time.Sleep(startSpread - lossDelay)
		p := s.procs[first.name]
		delete(s.procs, first.name)
		err := s.startProcesses()
		s.procs[first.name] = p
		if err != nil {
			return 0, err
		}
		time.Sleep(time.Until(back))
		if err := first.start(s.rec); err != nil {
			return 0, err
		}
	} else if err := s.startProcesses(); err != nil {
		return 0, err
	}
	if !s.configure(ackLimit) {
		s.rec.log("the first configuration isn't acknowledged within %s after all machines are back", ackLimit)
		if _, err := s.submit("busy", 1, "k0", time.Second, 1); err != nil {
			s.rec.log("client: %v", err)
		}
		return broken, nil
	}
	time.Sleep(3 * time.Second)
	id, err := s.submit("busy", 1, "k0", time.Second, 1)
	if err != nil {
		return 0, err
	}
	if _, err := s.await(id); err != nil {
		return 0, err
	}
	return held, nil
}

const (
	oddInterval = 400 * time.Millisecond // between two heartbeats of the other writer to one agent
	oddSeq      = 1_000_000              // its first sequence number
	oddBefore   = 5 * time.Second        // how long it writes before the job comes
	finishTime  = 14 * time.Second       // after the end of the traffic, from which a job must have something running
)

// oddBeats: another writer sends heartbeats in the names of the workers, with a service that isn't there.
func oddBeats(s *system, trouble bool) (int, error) {
	if err := s.start(); err != nil {
		return 0, err
	}
	if trouble {
		s.rec.log("another writer sends each agent a heartbeat every %s, with the service %v", oddInterval, names.OddBeat)
		for _, w := range s.workers {
			go w.writeOdd(s.rec)
		}
	}
	time.Sleep(oddBefore)
	id, err := s.submit("plain", 1, "k0", 2*time.Second, 1)
	if err != nil {
		return 0, err
	}
	for deadline := time.Now().Add(finishTime + idleTime); time.Now().Before(deadline); time.Sleep(tick) {
		if w, _ := s.running(id, 1); w != nil {
			s.rec.log("the job runs on %s", w.id)
			return held, nil
		}
	}
	_, room := s.running(id, 1)
	s.rec.log("the job has had nothing running for %s after the end of the traffic; %d of its task would fit on the workers", finishTime+idleTime, room)
	s.state(id, 1, "k0")
	return broken, nil
}

// writeOdd sends another writer's heartbeats until the worker is closed. It records each tenth answer.
func (w *worker) writeOdd(rec *record) {
	for n := int64(0); !w.isDead(); n++ {
		if status := w.announce(oddSeq+n, names.OddBeat); n%10 == 0 || status != http.StatusOK {
			rec.log("other writer: heartbeat %d for %s: %d", n+1, w.id, status)
		}
		time.Sleep(oddInterval)
	}
}
