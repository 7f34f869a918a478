package jobagt

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobctl"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// Sentinel errors of Worker.
var (
	// ErrOtherWorker means that another worker answers at the address.
	ErrOtherWorker = errors.New("another worker answers there")
	// ErrOtherIncarnation means that another incarnation of the worker has executed the order.
	ErrOtherIncarnation = errors.New("another incarnation of the worker answers")
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

	earliestExit time.Time // earliest time at which the worker exits; zero if it isn't known
}

// AnnouncementReceiver receives the announcements of workers.
type AnnouncementReceiver interface {
	Announce(a Announcement)
	// Leave reports that a worker exits now.
	Leave(worker string)
}

// Listing is a worker's list of the runs on it.
type Listing struct {
	Worker  jobs.Worker
	ClockMs int64 // the worker's monotonic clock, in milliseconds
	Runs    []ListedRun
	Ends    []jobs.RunEnd // ended runs, by ascending number
	// MoreEnds is set if further runs may have ended, whose ends are listed once those in Ends are recorded.
	MoreEnds bool
}

// ListedRun is a run in progress on a worker.
type ListedRun struct {
	Task       string
	Run        int
	Checkpoint string // last checkpoint
	Percent    int    // progress
}

// HoldOrder is an order that extends the lease of a worker and asks for a
// listing.
type HoldOrder struct {
	Fence        uint64 // fencing token; a worker refuses orders with a lower one than it has seen
	LeaseEnd     int64  // end of the lease on the worker's clock, in milliseconds; 0 extends nothing
	RecordedEnds uint64 // the worker may forget run ends up to this number
	WaitMs       int64  // how long the worker may delay its answer while no other run ends
}

// StartOrder is an order to start a run.
type StartOrder struct {
	Fence      uint64 // fencing token; a worker refuses orders with a lower one than it has seen
	LeaseEnd   int64  // end of the lease on the worker's clock, in milliseconds
	Task       string
	Run        int
	Spec       string
	Checkpoint string // checkpoint to resume from
}

// StartResult is a worker's answer to an order to start.
type StartResult string

// The answers to an order to start. After any of them but ResultStarted, the
// worker has changed nothing.
const (
	ResultStarted     StartResult = "begun"                  // the run has started
	ResultFenced      StartResult = "fenced"                 // the worker has received orders of a newer leader
	ResultOutdated    StartResult = "outdated"               // this run or a later one of the task has ended or was stopped on the worker
	ResultLeaseEnded  StartResult = "late"                   // the lease has ended
	ResultFull        StartResult = "full"                   // the worker has no room
	ResultNoTicket    StartResult = "noticket"               // the worker refuses the run for lack of a ticket
	ResultMalformed   StartResult = "unfit"                  // the worker could not understand the order
	ResultUnavailable StartResult = jobctl.ReasonUnavailable // the worker is overloaded or unavailable
)

// Worker sends orders to a worker. After an error other than ErrOtherWorker and
// ErrNoListener it is unknown whether the order was or will be executed.
//
// Orders name the worker but not its incarnation, so any incarnation may execute them that hasn't
// seen a higher fencing token. Only a listing always says which one has answered.
type Worker interface {
	Hold(ctx context.Context, w jobs.Worker, h HoldOrder) (Listing, error)
	Start(ctx context.Context, w jobs.Worker, s StartOrder) (StartResult, error)
	Stop(ctx context.Context, w jobs.Worker, fence uint64, task string, run int) error
}

// Platform implements the protocol between an agent and the worker on its host.
type Platform interface {
	// Worker returns a client for the worker at an address.
	Worker(addr string) Worker
	// Handler returns the handler that receives the announcements of workers.
	Handler(a AnnouncementReceiver, log *zap.Logger) http.Handler
}

// RegisteredPlatform holds the Platform that is built into the program.
var RegisteredPlatform kern.PluginSlot[Platform]
