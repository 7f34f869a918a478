package route

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// Credit is a grant as an entry holds it: the right to run one request on a
// slot of a backend server.
type Credit struct {
	Server string
	ID     uint64
	Class  admit.SlotClass
}

// Result is the result of a request on a backend server as its entry observed it.
type Result struct {
	ExpectedRunTime time.Duration // expected run time at the mean speed of the fleet
	RunTime         time.Duration // run time on the backend server
	OK              bool          // the answer was complete and not a failure of the backend server
}
