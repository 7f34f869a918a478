package contrl

import (
	"context"
	"hash/fnv"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/state"
)

// stateMachine applies the log's commands to the state and notifies those that wait
// for a change.
type stateMachine struct {
	state *state.State

	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	halted  chan error    // receives the error of a command with an unknown version
}

func newStateMachine(s *state.State) *stateMachine {
	return &stateMachine{state: s, changed: make(chan struct{}), halted: make(chan error, 1)}
}

// Apply implements replog.StateMachine.
func (m *stateMachine) Apply(index uint64, cmd []byte) any {
	res := m.state.Apply(index, cmd)
	if r, ok := res.(state.Result); ok && errors.Is(r.Err, state.ErrVersion) {
		m.halt(r.Err)
	}
	m.notifyWaiters()
	return res
}

// halt stops the process. If it continued, this replica's state would differ
// from that of replicas that know the command.
func (m *stateMachine) halt(err error) {
	select {
	case m.halted <- err:
	default:
	}
}

// awaitHalt returns an error once the machine has halted, or nil once ctx is done.
func (m *stateMachine) awaitHalt(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-m.halted:
		return errors.Wrap(err, "control: the log holds a command that this program doesn't know")
	}
}

// Snapshot implements replog.StateMachine.
func (m *stateMachine) Snapshot() (func(w io.Writer) error, error) { return m.state.Snapshot() }

// Restore implements replog.StateMachine.
func (m *stateMachine) Restore(r io.Reader) error {
	defer m.notifyWaiters()
	return m.state.Restore(r)
}

// notifyWaiters notifies those that wait for a change.
func (m *stateMachine) notifyWaiters() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (m *stateMachine) nextChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// electionSeed returns the seed of a replica's random election timeouts. It differs
// between replicas, so that their timeouts do too.
func electionSeed(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
