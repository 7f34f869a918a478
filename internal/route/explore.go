package route

import "github.com/knapweedlug/knapweedlug/internal/admit"

// Parameters of exploration, which measures backend servers anew that are not used.
const (
	exploreEvery = 500 // every how many picks; rare enough not to affect the 99th percentile
	exploreScan  = 4   // number of backend servers to examine
)

// stale returns one of the least recently used backend servers with a credit for
// the class, so that its speed is measured again, or else the given one.
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
