package jobagt

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// Sentinel errors of Worker.
var (
	// ErrOther means that another worker answers at the address.
	ErrOther = errors.New("another worker answers there")
	// ErrNoListener means that nothing listens at the address.
	ErrNoListener = errors.New("nothing listens there")
)

// Announcement describes a worker. Workers post it at intervals. A dump writes
// it under the names of its fields.
type Announcement struct {
	Worker   jobs.Worker
	Service  string
	Version  string // of the worker's software
	Address  string
	Draining bool
	RemainMs int64 // least time until a draining worker exits
	ColdMs   int64 // time left until the worker, slow after its start, reaches full speed
	CPU      int64 // thousandths of a core
	Memory   int64 // MiB
	Accels   int64
	Labels   []string
	Rack     string
	Seq      int64 // grows with each announcement
}

// Announcements receives the announcements of workers.
type Announcements interface {
	Announce(a Announcement)
	// Leave reports that a worker exits now.
	Leave(worker string)
}

// Listing is a worker's list of the runs on it.
type Listing struct {
	Worker jobs.Worker
	Clock  int64 // the worker's monotonic clock, in milliseconds
	Runs   []Running
	Ends   []jobs.RunEnd // ended runs, by ascending number
}

// Running is a run in progress on a worker.
type Running struct {
	Task    string
	Run     int
	Saved   string // last checkpoint
	Percent int    // progress
}

// Hold is an order that extends the lease of a worker and asks for a listing.
type Hold struct {
	Term   uint64 // of the leader; a worker refuses orders of an older term
	Lease  int64  // end of the lease on the worker's clock, in milliseconds; 0 extends nothing
	Seen   uint64 // the worker may forget run ends up to this number
	WaitMs int64  // how long the worker may delay its answer while no other run ends
}

// Start is an order to start a run.
type Start struct {
	Term  uint64 // of the leader; a worker refuses orders of an older term
	Lease int64  // end of the lease on the worker's clock, in milliseconds
	Task  string
	Run   int
	Spec  string
	Saved string // checkpoint to resume from
}

// Verdict is a worker's answer to an order to start.
type Verdict string

// The answers to an order to start. After any of them but Begun, the worker has
// changed nothing.
const (
	Begun    Verdict = "begun"    // the run has started
	Fenced   Verdict = "fenced"   // the worker has received orders of a newer leader
	Outdated Verdict = "outdated" // this run or a later one of the task has ended or was stopped on the worker
	Late     Verdict = "late"     // the lease has ended
	Full     Verdict = "full"     // the worker has no room
	NoTicket Verdict = "noticket" // the worker refuses the run for lack of a ticket
	Unfit    Verdict = "unfit"    // the worker could not understand the order
	Unwell   Verdict = "unwell"   // the worker is overloaded or unavailable
)

// Worker sends orders to a worker. After an error other than ErrOther and
// ErrNoListener it is unknown whether the order was or will be executed.
type Worker interface {
	Hold(ctx context.Context, w jobs.Worker, h Hold) (Listing, error)
	Start(ctx context.Context, w jobs.Worker, s Start) (Verdict, error)
	Stop(ctx context.Context, w jobs.Worker, term uint64, task string, run int) error
}

// Platform implements the protocol between an agent and the worker on its host.
type Platform interface {
	// Worker returns a client for the worker at an address.
	Worker(addr string) Worker
	// Handler returns the handler that receives the announcements of workers.
	Handler(a Announcements, log *zap.Logger) http.Handler
}

// Platforms holds the Platform that is built into the program.
var Platforms kern.Slot[Platform]
