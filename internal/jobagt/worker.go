package jobagt

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// Sentinel errors of a worker.
var (
	// ErrOtherWorker means that another worker answers at the address.
	ErrOtherWorker = errors.New("another worker answers there")
	// ErrNoListener means that nothing listens at the address.
	ErrNoListener = errors.New("nothing listens there")
)

// Announcement is what a worker tells of itself.
type Announcement struct {
	Worker   jobs.Worker
	Service  string
	Version  string // of its software
	Address  string
	Draining bool
	RemainMs int64 // least time until a draining worker leaves
	ColdMs   int64 // how much longer it is slow after its start
	CPU      int64 // thousandths of a core
	Memory   int64 // MiB
	Accels   int64
	Labels   []string
	Rack     string
	Seq      int64 // grows with each announcement
}

// AnnouncementReceiver takes what workers tell of themselves.
type AnnouncementReceiver interface {
	Announce(a Announcement)
	// Leave tells that a worker ends now.
	Leave(worker string)
}

// Listing is what a worker says is on it.
type Listing struct {
	Worker jobs.Worker
	ClockMs  int64 // its steady clock, in milliseconds
	Runs   []ListedRun
	Ends   []jobs.RunEnd
}

// ListedRun is a run that is present.
type ListedRun struct {
	Task    string
	Run     int
	Checkpoint   string
	Percent int
}

// HoldOrder is the order to go on until a time and to list what is there.
type HoldOrder struct {
	Term   uint64 // fences the order
	LeaseEnd  int64  // until when runs go on, on the worker's clock; 0 extends nothing
	RecordedEnds   uint64 // ends up to this number may be forgotten
	WaitMs int64  // how long to wait for another end
}

// StartOrder is the order to start a run.
type StartOrder struct {
	Term  uint64
	LeaseEnd int64 // until when it may go on, on the worker's clock
	Task  string
	Run   int
	Spec  string
	Checkpoint string
}

// StartResult is a worker's answer to an order to start.
type StartResult string

// The answers to an order to start. All but Begun mean that the worker has done
// nothing.
const (
	ResultStarted    StartResult = "begun"    // it is there
	ResultFenced   StartResult = "fenced"   // a newer leader has given orders
	ResultOutdated StartResult = "outdated" // this run, or a later one, has ended or was stopped there
	ResultLeaseEnded     StartResult = "late"     // the lease has ended
	ResultFull     StartResult = "full"
	ResultNoTicket StartResult = "noticket"
	ResultMalformed    StartResult = "unfit" // it can't be understood
	ResultUnavailable   StartResult = "unwell"
)

// Worker takes orders. An error other than ErrOther and ErrNoListener leaves open
// whether an order was or will be carried out.
type Worker interface {
	Hold(ctx context.Context, w jobs.Worker, h HoldOrder) (Listing, error)
	Start(ctx context.Context, w jobs.Worker, s StartOrder) (StartResult, error)
	Stop(ctx context.Context, w jobs.Worker, term uint64, task string, run int) error
}

// Platform speaks with the workers beside agents.
type Platform interface {
	// Worker returns a client for the worker at an address.
	Worker(addr string) Worker
	// Handler takes the announcements of workers.
	Handler(a AnnouncementReceiver, log *zap.Logger) http.Handler
}

// RegisteredPlatform holds how workers are spoken to.
var RegisteredPlatform kern.PluginSlot[Platform]
