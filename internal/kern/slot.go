package kern

import "sync"

// PluginSlot holds the one plug-in of a kind that a program was built with. Plug-ins
// put themselves in from init functions.
type PluginSlot[T any] struct {
	mu    sync.Mutex
	value T
	full  bool
}

// Register fills the slot, in place of what was there.
func (s *PluginSlot[T]) Register(v T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value, s.full = v, true
}

// Get returns what is in the slot, and false if nothing is.
func (s *PluginSlot[T]) Get() (T, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.full
}
