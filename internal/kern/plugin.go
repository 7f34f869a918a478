package kern

import "sync"

// Slot holds the one plug-in of a kind that a program was built with. Plug-ins
// are registered from init functions.
type Slot[T any] struct {
	mu         sync.Mutex
	value      T
	registered bool
}

// Put registers v and replaces an earlier plug-in.
func (s *Slot[T]) Put(v T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value, s.registered = v, true
}

// Get returns the plug-in, and false if none is registered.
func (s *Slot[T]) Get() (T, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.registered
}
