package agent

import (
	"context"

	"github.com/knapweedlug/knapweedlug/internal/guard"
)

const (
	// fallbackMemory is assumed for a host whose memory isn't told.
	fallbackMemory = 256 << 20
	// bodiesShare is one over the part of the memory that the bodies of calls may take.
	bodiesShare = 4
	// callCost is what a byte of a call's body costs: it is received and sent.
	callCost = 2
)

// bodies bounds what the bodies of calls take together. Credits bound how many calls there are, but not their size.
type bodies struct{ room *guard.Room }

func newBodies(memory int64) *bodies {
	if memory <= 0 {
		memory = fallbackMemory
	}
	return &bodies{guard.NewRoom(memory / bodiesShare)}
}

// acquire waits for the room for a body of size bytes until ctx ends. A body that needs more than there is waits until
// it is alone.
func (b *bodies) acquire(ctx context.Context, size uint64) (release func(), err error) {
	const most = 1 << 40 // more than any host has
	return b.room.Acquire(ctx, int64(min(size, most))*callCost)
}
