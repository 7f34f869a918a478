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

// Result is what an entry saw of a request on a backend server.
type Result struct {
	ExpectedRunTime time.Duration // run time that was expected at the mean speed
	RunTime     time.Duration // run time on the backend server
	OK       bool          // a whole answer that is no failure of the backend server
}
