package trace

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Version is the format version that this package reads and writes.
const Version = 1

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	Arrive  Kind = "arrive"  // a caller's request reached the entry
	Refuse  Kind = "refuse"  // the request was refused or expired; it did not run
	Send    Kind = "send"    // the request was sent to an agent and used up a credit
	Return  Kind = "return"  // the agent refused the request, which did not run; it may be queued again
	Answer  Kind = "answer"  // the caller got the whole answer
	Unknown Kind = "unknown" // it isn't known whether the request ran
	Cancel  Kind = "cancel"  // the caller disconnected or the deadline passed
	Grant   Kind = "grant"   // an agent granted a credit
	Revoke  Kind = "revoke"  // an agent revoked an unused credit
)

// Header is the first line of a trace.
type Header struct {
	Version  int             `json:"version"`
	Cluster  string          `json:"cluster"`
	Start    time.Time       `json:"start"`
	Slots    int             `json:"slots"` // total of all backend servers
	Teams    []model.Team    `json:"teams"`
	Services []model.Service `json:"services"`
}

// Event is one line after the header. Only the fields that its kind uses are set.
type Event struct {
	OffsetMicros   int64         `json:"at"` // since the start
	Kind           Kind          `json:"kind"`
	ID             string        `json:"id,omitempty"`
	Entry          string        `json:"entry,omitempty"`
	Team           string        `json:"team,omitempty"`
	Service        string        `json:"service,omitempty"`
	Urgency        model.Urgency `json:"urgency,omitempty"`
	DeadlineMicros int64         `json:"deadline,omitempty"` // since the start
	Class          admit.Class   `json:"class,omitempty"`    // declared by the caller
	SizeMs         int64         `json:"size,omitempty"`     // declared by the caller
	AtMostOnce     bool          `json:"once,omitempty"`     // not idempotent
	Key            string        `json:"key,omitempty"`
	Server         string        `json:"server,omitempty"` // the agent's name
	CreditID       uint64        `json:"slot,omitempty"`   // granted, revoked or used
	RunMicros      int64         `json:"took,omitempty"`   // run time at the mean speed
	Reason         string        `json:"reason,omitempty"` // why the request was refused, or the error code of its answer
}

// Time returns the time that is the given number of microseconds after the start.
func (h Header) Time(micros int64) time.Time {
	return h.Start.Add(time.Duration(micros) * time.Microsecond)
}

// Request returns the request of an arrive event.
func (h Header) Request(e Event) admit.Request {
	r := admit.Request{
		ID: e.ID, Team: e.Team, Service: e.Service, Urgency: e.Urgency,
		DeclaredClass: e.Class, DeclaredMs: e.SizeMs, Idempotent: !e.AtMostOnce, Key: e.Key,
	}
	if e.DeadlineMicros > 0 {
		r.Deadline = h.Time(e.DeadlineMicros)
	}
	return r
}
