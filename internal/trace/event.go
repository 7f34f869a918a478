package trace

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Version is the version of the format that this package writes and reads.
const Version = 1

// Kind says what happened to a request.
type Kind string

// The kinds of events.
const (
	Arrive  Kind = "arrive"  // a caller's request reached the entry
	Refuse  Kind = "refuse"  // refused on arrival or expired: has not run
	Send    Kind = "send"    // sent against a credit
	Return  Kind = "return"  // refused by the agent as not run; queued again
	Answer  Kind = "answer"  // the whole answer was passed on
	Unknown Kind = "unknown" // whether it ran isn't known
	Cancel  Kind = "cancel"  // the caller went away
	Grant   Kind = "grant"   // an agent granted a slot
	Revoke  Kind = "revoke"  // an agent took back an idle slot
)

// Header is the first line of a trace.
type Header struct {
	Version  int             `json:"version"`
	Cluster  string          `json:"cluster"`
	Start    time.Time       `json:"start"`
	Slots    int             `json:"slots"` // slots of the whole fleet
	Teams    []model.Team    `json:"teams"`
	Services []model.Service `json:"services"`
}

// Event is one line after the header. Only the fields that its kind needs are
// set.
type Event struct {
	OffsetMicros       int64         `json:"at"`   // microseconds since the start
	Kind     Kind          `json:"kind"` // what happened
	ID       string        `json:"id,omitempty"`
	Entry    string        `json:"entry,omitempty"`
	Team     string        `json:"team,omitempty"`
	Service  string        `json:"service,omitempty"`
	Urgency  model.Urgency `json:"urgency,omitempty"`
	DeadlineMicros int64         `json:"deadline,omitempty"` // microseconds since the start
	Class    admit.Class   `json:"class,omitempty"`    // as declared
	SizeMs     int64         `json:"size,omitempty"`     // as declared, in milliseconds
	AtMostOnce     bool          `json:"once,omitempty"`     // not idempotent
	Key      string        `json:"key,omitempty"`
	Server   string        `json:"server,omitempty"`
	CreditID     uint64        `json:"slot,omitempty"`   // id of the grant
	RunMicros     int64         `json:"took,omitempty"`   // run time at the mean speed, in microseconds
	Reason   string        `json:"reason,omitempty"` // why it was refused
}

// Time returns the time of an offset in the trace.
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
