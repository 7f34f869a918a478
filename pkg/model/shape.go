package model

import "fmt"

// Proximity says how close together the accelerators of a shape must be.
type Proximity string

// The levels of proximity, from the closest to the loosest.
const (
	ProximityWorker Proximity = "worker" // all members on one worker
	ProximityRack   Proximity = "rack"   // all members in one rack
	ProximityDomain Proximity = "domain" // all members in one failure domain
	ProximityAny    Proximity = "any"    // anywhere in one region
)

// MaxMembers is the largest number of members of a gang.
const MaxMembers = 512

// Shape is the resource request of a gang: a number of equal members, each with
// its own cores, memory and accelerators on one worker.
type Shape struct {
	Members   int       `json:"members" validate:"min=1,max=512"`             // 1 to MaxMembers
	Cores     int       `json:"cores" validate:"min=1,max=4096"`              // cores per member
	Memory    int64     `json:"memory" validate:"min=1,max=17592186044416"`   // bytes per member
	Accels    int       `json:"accels" validate:"min=0,max=1024"`             // accelerators per member
	Proximity Proximity `json:"near" validate:"oneof=worker rack domain any"` // how close the members must be
	Kind      string    `json:"kind,omitempty" validate:"max=64"`             // kind of accelerator; empty means any
}

// TotalAccels returns the number of accelerators of all members together.
func (s Shape) TotalAccels() int { return s.Members * s.Accels }

// String returns the shape in the short form shown to operators.
func (s Shape) String() string {
	return fmt.Sprintf("%dx(%dc,%dMiB,%da)@%s", s.Members, s.Cores, s.Memory>>20, s.Accels, s.Proximity)
}

// Guarantee is a shape that a team can claim at any time, Count times at once.
type Guarantee struct {
	Shape Shape `json:"shape"`
	Count int   `json:"count" validate:"min=1,max=100000"`
}
