package route

import "github.com/knapweedlug/knapweedlug/internal/admit"

// Parameters of exploration, which measures backend servers anew that are not used.
const (
	exploreInterval = 500 // every how many picks; rare enough not to affect the 99th percentile
	maxExploreScan  = 4   // number of backend servers to examine
)

// explorationTarget returns one of the least recently used backend servers with a credit for
// the class, so that its speed is measured again, or else the given one.
func (p *Picker) explorationTarget(class admit.Class, b *backend, slotClass admit.SlotClass) (*backend, admit.SlotClass) {
	e := p.lru.Front()
	for i := 0; i < maxExploreScan && e != nil; i++ {
		candidate := e.Value.(*backend)
		switch {
		case candidate.inTree[1]:
			return candidate, admit.AnySlot
		case candidate.inTree[0] && class == admit.Short:
			return candidate, admit.ShortSlot
		}
		e = e.Next()
	}
	return b, slotClass
}
