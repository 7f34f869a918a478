package kern

import "sync"

// PluginSlot holds the one plug-in of a kind that a program was built with.
// Plug-ins register themselves in init functions.
type PluginSlot[T any] struct {
	mu    sync.Mutex
	value T
	full  bool
}

// Register fills the slot and replaces an earlier plug-in.
func (s *PluginSlot[T]) Register(v T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value, s.full = v, true
}

// Get returns the plug-in, and false if none is registered.
func (s *PluginSlot[T]) Get() (T, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.full
}
