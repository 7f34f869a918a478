package jobctl

import (
	"sync"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// incarnationBits is the number of bits of a fencing token that count incarnations. The bits above them hold the
// term. Tokens stay below 2^53, which JSON numbers represent exactly, up to term 2^33.
const incarnationBits = 20

// Fence returns the fencing token of a leader's orders to the n-th incarnation of a worker in its term.
//
// Orders name a worker but not its incarnation. A worker refuses orders with a lower token than it has seen, so once an
// incarnation has seen its own, late orders for earlier ones have no effect on it.
func Fence(term, n uint64) uint64 {
	return term<<incarnationBits | min(n, 1<<incarnationBits-1)
}

// fences counts the incarnations of the workers on all hosts. It outlives the leader's state, since a process may lead
// twice in one term.
type fences struct {
	mu     sync.Mutex
	byHost map[string]hostFence
}

// hostFence is the number of changes of the worker on a host that this process has seen.
type hostFence struct {
	worker jobs.Worker
	count  uint64
}

// of returns the fencing token of orders to the worker on a host.
func (f *fences) of(term uint64, host string, w jobs.Worker) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byHost == nil {
		f.byHost = map[string]hostFence{}
	}
	last := f.byHost[host]
	if !w.Zero() && w != last.worker {
		last = hostFence{worker: w, count: last.count + 1}
		f.byHost[host] = last
	}
	return Fence(term, last.count)
}
