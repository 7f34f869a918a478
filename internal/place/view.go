package place

// View selects which capacity a search may use.
type View string

// The views on a worker's capacity.
const (
	Soft View = "soft" // not used by running or claimed work: stoppable work may start here
	Hard View = "hard" // not bound to guarantees, unstoppable work or reservations
	Firm View = "firm" // both: unstoppable work may start here
)

const viewCount = 3

var allViews = [viewCount]View{Soft, Hard, Firm}

func (v View) index() int {
	switch v {
	case Hard:
		return 1
	case Firm:
		return 2
	default:
		return 0
	}
}

// Layer names one ledger of what is taken on a worker.
type Layer string

// The layers.
const (
	Running  Layer = "running"  // members that hold a lease or are about to
	Claimed  Layer = "claimed"  // promised to a gang that waits for stopped work to leave
	Bound    Layer = "bound"    // guarantees, and unstoppable work outside of them
	Reserved Layer = "reserved" // held for the starving gang that starts next
)

// Policy selects how a search chooses among the places that fit.
type Policy string

// The policies. FirstFit and BestFit are baselines to compare with.
const (
	Gradient Policy = "gradient" // leave as many future shapes whole as possible
	BestFit  Policy = "bestfit"  // leave the fewest accelerators on the worker
	FirstFit Policy = "firstfit" // the first that fits, by name
)
