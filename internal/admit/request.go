package admit

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// MaxKeyLen is the maximum length of an idempotency key in bytes.
const MaxKeyLen = 256

// Request holds what the queue needs to know about one caller's request. Push
// sets Class and Arrived.
type Request struct {
	ID            string
	Team          string
	Service       string
	Urgency       model.Urgency // empty means normal
	Deadline      time.Time     // zero means the limit of the service
	DeclaredClass Class         // as declared by the caller; may be empty
	DeclaredMs    int64         // run time as declared by the caller, in milliseconds; 0 means none
	Idempotent    bool
	Key           string // idempotency key; required unless Idempotent

	Class   Class     // class under which it is queued and counted
	Arrived time.Time // when it was pushed
}

// WithClass returns a copy of the request with another class.
func (r Request) WithClass(c Class) Request {
	r.Class = c
	return r
}

// urgencies lists the urgencies in the order in which they are served.
var urgencies = [...]model.Urgency{model.Urgent, model.Normal, model.Low}

// urgencyLevel returns the index of u in urgencies, and false if u is unknown.
func urgencyLevel(u model.Urgency) (int, bool) {
	if u == "" {
		u = model.Normal
	}
	for i, known := range urgencies {
		if u == known {
			return i, true
		}
	}
	return 0, false
}
