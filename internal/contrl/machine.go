package contrl

import (
	"hash/fnv"
	"io"
	"sync"

	"github.com/knapweedlug/knapweedlug/internal/state"
)

// machine is the state machine as the log applies to it. It wakes those who
// wait for a change.
type machine struct {
	state *state.State

	mu      sync.Mutex
	changed chan struct{} // closed at the next change
}

func newMachine(s *state.State) *machine {
	return &machine{state: s, changed: make(chan struct{})}
}

// Apply implements replog.Machine.
func (m *machine) Apply(index uint64, cmd []byte) any {
	res := m.state.Apply(index, cmd)
	m.wake()
	return res
}

// Snapshot implements replog.Machine.
func (m *machine) Snapshot() (func(w io.Writer) error, error) { return m.state.Snapshot() }

// Restore implements replog.Machine.
func (m *machine) Restore(r io.Reader) error {
	defer m.wake()
	return m.state.Restore(r)
}

func (m *machine) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// next returns a channel that is closed at the next change.
func (m *machine) next() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// seedOf spreads the election timeouts of the replicas.
func seedOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
