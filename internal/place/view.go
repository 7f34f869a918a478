package place

// View selects which resources count as free in a search.
type View string

// The views.
const (
	// Unoccupied counts what running and claimed work doesn't use. Stoppable work may start there.
	Unoccupied View = "soft"
	// Unbound counts what isn't bound to guarantees, used by unstoppable work outside of them, or reserved.
	// Guarantees may be bound there.
	Unbound View = "hard"
	// UnoccupiedUnbound counts what is free in both other views. Unstoppable work may start there.
	UnoccupiedUnbound View = "firm"
)

const viewCount = 3

// allViews lists the views by index.
var allViews = [viewCount]View{Unoccupied, Unbound, UnoccupiedUnbound}

// index returns the position of the view in allViews.
func (v View) index() int {
	switch v {
	case Unbound:
		return 1
	case UnoccupiedUnbound:
		return 2
	default:
		return 0
	}
}

// Layer selects one of the accounts of resources in use on a worker.
type Layer string

// The layers.
const (
	Running  Layer = "running"  // used by members that hold a lease or will soon
	Claimed  Layer = "claimed"  // promised to a gang that waits for stopped work to end
	Bound    Layer = "bound"    // guarantees, and unstoppable work outside of them
	Reserved Layer = "reserved" // kept for the starving gang that starts next
)

// Policy selects how a search chooses between possible placements.
type Policy string

// The policies. FirstFit and BestFit are baselines for comparison.
const (
	Gradient Policy = "gradient" // leave room for as many later shapes as possible
	BestFit  Policy = "bestfit"  // leave the fewest accelerators free on the worker
	FirstFit Policy = "firstfit" // the first worker or rack by name
)
