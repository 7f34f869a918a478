package agent

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// serverState says whether the backend server accepts requests.
type serverState string

const (
	serverNone     serverState = "none"     // no backend server has announced itself
	serverReady    serverState = "ready"    // accepts requests
	serverDown     serverState = "down"     // its announcements stopped or its health checks fail
	serverDraining serverState = "draining" // finishes running requests and accepts no new ones
)

const (
	// announceLimit is how long an announcement is valid.
	announceLimit = 2500 * time.Millisecond
	// unhealthyAfter is the number of consecutive failed health checks after
	// which the backend server counts as down.
	unhealthyAfter = 2
)

// server tracks the state of the backend server on the agent's host.
type server struct {
	mu       sync.Mutex
	ann      announcement
	until    time.Time // when the announcement expires
	failures int       // consecutive failed health checks
	draining bool      // control asked for a drain, or the process is stopping
	returned time.Time // when the server last became ready
	busy     int       // running requests
}

// announce stores an announcement. It returns ErrDuplicate while the
// announcement of another backend server is valid.
func (s *server) announce(ann announcement, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ann.ID != "" && s.ann.ID != ann.ID && now.Before(s.until) && !s.ann.Leaving {
		return errors.Wrapf(ErrDuplicate, "id: %q, here is %q", ann.ID, s.ann.ID)
	}
	if s.ann.ID != ann.ID || !now.Before(s.until) {
		s.failures = 0
		s.returned = now
	}
	s.ann = ann
	s.until = now.Add(announceLimit)
	return nil
}

// checked records the result of a health check.
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

// drain sets whether the backend server is draining.
func (s *server) drain(on bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.draining != on
	s.draining = on
	return changed
}

// state returns the backend server's state at now.
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

// current returns the last accepted announcement.
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
