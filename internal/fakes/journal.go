package fakes

import (
	"sync"
	"time"
)

// EventKind tells what happened to a task.
type EventKind string

// The kinds of events in the platform's journal.
const (
	EventHold       EventKind = "hold"
	EventStart      EventKind = "start"
	EventRenew      EventKind = "renew"
	EventCheckpoint EventKind = "checkpoint"
	EventThrottle   EventKind = "throttle"
	EventEnd        EventKind = "end"    // State holds the outcome
	EventRefuse     EventKind = "refuse" // Reason holds the reason of the refusal
)

// Event is one entry of the platform's journal.
type Event struct {
	Kind   EventKind `json:"kind"`
	At     time.Time `json:"at"`
	Lease  string    `json:"lease,omitempty"`
	Worker string    `json:"worker,omitempty"`
	Job    string    `json:"job"`
	Member int       `json:"member"`
	Epoch  uint64    `json:"epoch"`
	State  string    `json:"state,omitempty"`
	Reason string    `json:"reason,omitempty"`
}

// Journal keeps all added entries in order.
type Journal[T any] struct {
	mu      sync.Mutex
	entries []T
}

// Add appends an entry.
func (j *Journal[T]) Add(e T) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, e)
}

// Entries returns a copy of all entries.
func (j *Journal[T]) Entries() []T {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]T{}, j.entries...)
}

// EntryList is the response body of GET /v1/journal of a platform and GET /journal of a
// backend server.
type EntryList[T any] struct {
	Entries []T `json:"entries"`
}
