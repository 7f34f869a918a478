package kern

import "sync"

// Slot holds the one plug-in of a kind that a program was built with. Plug-ins
// put themselves in from init functions.
type Slot[T any] struct {
	mu    sync.Mutex
	value T
	full  bool
}

// Put fills the slot, in place of what was there.
func (s *Slot[T]) Put(v T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value, s.full = v, true
}

// Get returns what is in the slot, and false if nothing is.
func (s *Slot[T]) Get() (T, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.full
}
