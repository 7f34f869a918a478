package route

import "github.com/knapweedlug/knapweedlug/internal/admit"

// Constants of exploration.
const (
	exploreEvery = 500 // picks; rare enough not to show in the 99th percentile
	exploreScan  = 4   // backend servers that are looked at
)

// stale returns a backend server that hasn't been used for long, so that its
// speed is learned anew, or else the given one.
func (p *Picker) stale(class admit.Class, b *backend, kind admit.SlotClass) (*backend, admit.SlotClass) {
	e := p.used.Front()
	for i := 0; i < exploreScan && e != nil; i++ {
		old := e.Value.(*backend)
		switch {
		case old.listed[1]:
			return old, admit.AnySlot
		case old.listed[0] && class == admit.Short:
			return old, admit.ShortSlot
		}
		e = e.Next()
	}
	return b, kind
}
