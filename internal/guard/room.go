package guard

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// Room bounds what a process holds of messages from other processes. Each of them is within the limits of the process
// that sent it, but many processes may send.
type Room struct {
	limit int64 // bytes
	free  *semaphore.Weighted
}

// NewRoom returns the room for limit bytes.
func NewRoom(limit int64) *Room {
	return &Room{limit: limit, free: semaphore.NewWeighted(limit)}
}

// Acquire waits until there is room for n bytes, in the order of the calls, or ctx ends. What needs more than all waits
// until it is alone.
func (r *Room) Acquire(ctx context.Context, n int64) (release func(), err error) {
	n = min(n, r.limit)
	if err := r.free.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return func() { r.free.Release(n) }, nil
}

// TryAcquire is Acquire without waiting.
func (r *Room) TryAcquire(n int64) (release func(), ok bool) {
	n = min(n, r.limit)
	if !r.free.TryAcquire(n) {
		return nil, false
	}
	return func() { r.free.Release(n) }, true
}
