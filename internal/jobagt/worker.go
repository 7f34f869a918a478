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
	// ErrOther means that another worker answers at the address.
	ErrOther = errors.New("another worker answers there")
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

// Announcements takes what workers tell of themselves.
type Announcements interface {
	Announce(a Announcement)
	// Leave tells that a worker ends now.
	Leave(worker string)
}

// Listing is what a worker says is on it.
type Listing struct {
	Worker jobs.Worker
	Clock  int64 // its steady clock, in milliseconds
	Runs   []Running
	Ends   []jobs.RunEnd
}

// Running is a run that is present.
type Running struct {
	Task    string
	Run     int
	Saved   string
	Percent int
}

// Hold is the order to go on until a time and to list what is there.
type Hold struct {
	Term   uint64 // fences the order
	Lease  int64  // until when runs go on, on the worker's clock; 0 extends nothing
	Seen   uint64 // ends up to this number may be forgotten
	WaitMs int64  // how long to wait for another end
}

// Start is the order to start a run.
type Start struct {
	Term  uint64
	Lease int64 // until when it may go on, on the worker's clock
	Task  string
	Run   int
	Spec  string
	Saved string
}

// Verdict is a worker's answer to an order to start.
type Verdict string

// The answers to an order to start. All but Begun mean that the worker has done
// nothing.
const (
	Begun    Verdict = "begun"    // it is there
	Fenced   Verdict = "fenced"   // a newer leader has given orders
	Outdated Verdict = "outdated" // this run, or a later one, has ended or was stopped there
	Late     Verdict = "late"     // the lease has ended
	Full     Verdict = "full"
	NoTicket Verdict = "noticket"
	Unfit    Verdict = "unfit" // it can't be understood
	Unwell   Verdict = "unwell"
)

// Worker takes orders. An error other than ErrOther and ErrNoListener leaves open
// whether an order was or will be carried out.
type Worker interface {
	Hold(ctx context.Context, w jobs.Worker, h Hold) (Listing, error)
	Start(ctx context.Context, w jobs.Worker, s Start) (Verdict, error)
	Stop(ctx context.Context, w jobs.Worker, term uint64, task string, run int) error
}

// Platform speaks with the workers beside agents.
type Platform interface {
	// Worker returns a client for the worker at an address.
	Worker(addr string) Worker
	// Handler takes the announcements of workers.
	Handler(a Announcements, log *zap.Logger) http.Handler
}

// Platforms holds how workers are spoken to.
var Platforms kern.PluginSlot[Platform]
