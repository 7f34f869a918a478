package admit

// Class says whether a request is short or long.
type Class string

// The classes of a request.
const (
	Short Class = "short"
	Long  Class = "long"
)

// SlotClass says which requests a slot accepts.
type SlotClass string

// The classes of a slot.
const (
	NoSlot    SlotClass = ""
	ShortSlot SlotClass = "short" // reserved: long requests never take it
	AnySlot   SlotClass = "any"
)

// Accepts reports whether a request of class c may use the slot.
func (s SlotClass) Accepts(c Class) bool {
	return s == AnySlot || (s == ShortSlot && c == Short)
}

// Slot is a free slot on a backend server. Slowdown is the measured run time of
// requests on that server relative to the mean of the fleet: 2.0 takes twice as
// long.
type Slot struct {
	Class    SlotClass
	Slowdown float64
}
