package admit

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// MaxKeyLen is the most bytes that an idempotency key may have.
const MaxKeyLen = 256

// Request is what the queue needs to know about one caller's request. Push
// fills Class and Arrived.
type Request struct {
	ID         string
	Team       string
	Service    string
	Urgency    model.Urgency // empty means normal
	Deadline   time.Time     // zero means the limit of the service
	DeclaredClass   Class         // as declared by the caller; may be empty
	DeclaredMs     int64         // run time as declared by the caller, in milliseconds; 0 means none
	Idempotent bool
	Key        string // idempotency key; required unless Idempotent

	Class   Class     // class by which it is queued and accounted
	Arrived time.Time // when it was pushed
}

// WithClass returns the request in another class.
func (r Request) WithClass(c Class) Request {
	r.Class = c
	return r
}

// urgencies are the levels of urgency, from the first served to the last.
var urgencies = [...]model.Urgency{model.Urgent, model.Normal, model.Low}

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
