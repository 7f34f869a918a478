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
	// announcementTTL is how long an announcement is valid.
	announcementTTL = 2500 * time.Millisecond
	// unhealthyThreshold is the number of consecutive failed health checks
	// after which the backend server counts as down.
	unhealthyThreshold = 2
)

// server tracks the state of the backend server on the agent's host.
type server struct {
	mu           sync.Mutex
	ann          announcement
	expires      time.Time // when the announcement expires
	failures     int       // consecutive failed health checks
	draining     bool      // control asked for a drain, or the process is stopping
	readySince   time.Time // when the server last became ready
	runningCount int       // running requests
}

// announce stores an announcement. It returns ErrDuplicateServer while the
// announcement of another backend server is valid.
func (s *server) announce(ann announcement, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ann.ID != "" && s.ann.ID != ann.ID && now.Before(s.expires) && !s.ann.Leaving {
		return errors.Wrapf(ErrDuplicateServer, "id: %q, here is %q", ann.ID, s.ann.ID)
	}
	if s.ann.ID != ann.ID || !now.Before(s.expires) {
		s.failures = 0
		s.readySince = now
	}
	s.ann = ann
	s.expires = now.Add(announcementTTL)
	return nil
}

// recordHealthCheck records the result of a health check.
func (s *server) recordHealthCheck(ok bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		s.failures++
		return
	}
	if s.failures >= unhealthyThreshold {
		s.readySince = now
	}
	s.failures = 0
}

// setDraining sets whether the backend server is draining.
func (s *server) setDraining(draining bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.draining != draining
	s.draining = draining
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
	case !now.Before(s.expires) || s.failures >= unhealthyThreshold:
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

func (s *server) requestStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningCount++
}

func (s *server) requestEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningCount--
}

func (s *server) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runningCount
}
