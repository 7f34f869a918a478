package agent

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// serverState says whether the backend server may be given work.
type serverState string

const (
	serverNone     serverState = "none"     // nothing is announced
	serverReady    serverState = "ready"    // takes work
	serverDown     serverState = "down"     // its announcements stopped or its health checks fail
	serverDraining serverState = "draining" // finishes what runs
)

const (
	// announceLimit is how long an announcement holds.
	announceLimit = 2500 * time.Millisecond
	// unhealthyAfter is the number of failed health checks in a row after
	// which the backend server counts as down.
	unhealthyAfter = 2
)

// server is what the agent knows of the backend server beside it.
type server struct {
	mu       sync.Mutex
	ann      announcement
	until    time.Time // when the announcement expires
	failures int       // health checks failed in a row
	draining bool      // an operator or the process itself asked for it
	returned time.Time // when the server was last found ready after not being so
	busy     int
}

// announce takes an announcement. While one backend server's announcement
// holds, another server is refused.
func (s *server) announce(ann announcement, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ann.ID != "" && s.ann.ID != ann.ID && now.Before(s.until) && !s.ann.Leaving {
		return errors.Wrapf(ErrDuplicateServer, "id: %q, here is %q", ann.ID, s.ann.ID)
	}
	if s.ann.ID != ann.ID || !now.Before(s.until) {
		s.failures = 0
		s.returned = now
	}
	s.ann = ann
	s.until = now.Add(announceLimit)
	return nil
}

// checked records a health check.
func (s *server) checked(ok bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		s.failures++
		return
	}
	if s.failures >= unhealthyAfter {
		s.returned = now
	}
	s.failures = 0
}

// drain asks for no new work, or takes that back.
func (s *server) drain(on bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.draining != on
	s.draining = on
	return changed
}

// state returns what the backend server may be given at now.
func (s *server) state(now time.Time) serverState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateLocked(now)
}

func (s *server) stateLocked(now time.Time) serverState {
	switch {
	case s.ann.ID == "":
		return serverNone
	case s.draining || s.ann.Leaving:
		return serverDraining
	case !now.Before(s.until) || s.failures >= unhealthyAfter:
		return serverDown
	default:
		return serverReady
	}
}

// current returns the announcement in force.
func (s *server) current() announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ann
}

func (s *server) began() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy++
}

func (s *server) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (s *server) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}
