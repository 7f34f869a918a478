package sched

import (
	"cmp"
	"maps"
	"slices"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// GuaranteeStatus is the status of one guarantee of a team.
type GuaranteeStatus struct {
	Team      string       `json:"team"`
	Guarantee int          `json:"guarantee"` // index within the team
	Shape     string       `json:"shape"`
	Count     int          `json:"count"` // shapes guaranteed
	Used      int          `json:"used"`  // shapes that jobs of the team use or claim
	Short     int          `json:"short"` // shapes that the fleet can't hold at present
	Units     []UnitStatus `json:"units,omitempty"`
}

// UnitStatus is the status of one guaranteed shape: the workers that it can be
// reclaimed on and the jobs within it.
type UnitStatus struct {
	Shape   model.Shape  `json:"shape"`
	Binding []place.Cell `json:"cells,omitempty"` // empty while the shape is short
	Jobs    []string     `json:"jobs,omitempty"`
}

// Guarantees returns the status of every guarantee, with the workers on which
// each of its shapes is used or can be reclaimed by stopping borrowed work.
func (s *Sched) Guarantees() []GuaranteeStatus {
	var statuses []GuaranteeStatus
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[name]
		for i, g := range t.Guarantees {
			statuses = append(statuses, statusOf(t, i, g))
		}
	}
	return statuses
}

func statusOf(t *team, i int, g model.Guarantee) GuaranteeStatus {
	status := GuaranteeStatus{Team: t.Name, Guarantee: i, Shape: g.Shape.String(), Count: g.Count}
	for _, u := range t.units {
		if u.guaranteeIndex != i {
			continue
		}
		if !u.bound() {
			status.Short++
		}
		if !u.idle() {
			status.Used++
		}
		status.Units = append(status.Units, UnitStatus{
			Shape:   u.shape,
			Binding: slices.SortedFunc(slices.Values(u.binding), compareByWorker),
			Jobs:    slices.Sorted(maps.Keys(u.jobs)),
		})
	}
	return status
}

func compareByWorker(a, b place.Cell) int { return cmp.Compare(a.Worker, b.Worker) }

// GangFit holds the number of gangs of a shape that fit into the free
// accelerators.
type GangFit struct {
	Shape    string `json:"shape"`
	Fits     int    `json:"fits"`  // gangs that fit in the present layout
	Possible int    `json:"could"` // gangs that would fit if the free accelerators were laid out differently
}

// FragmentedShare returns the share of the possible gangs that don't fit because
// of the layout.
func (g GangFit) FragmentedShare() float64 {
	if g.Possible == 0 {
		return 0
	}
	return 1 - float64(g.Fits)/float64(g.Possible)
}

// FragmentationReport reports how fragmented the free accelerators are.
type FragmentationReport struct {
	Accels int       `json:"accels"` // free accelerators
	Gangs  []GangFit `json:"gangs"`  // for gangs of different sizes
}

// referenceShapes returns the shapes that fragmentation is measured with.
func referenceShapes() []model.Shape {
	return []model.Shape{
		{Members: 1, Accels: 8, Proximity: model.ProximityWorker},
		{Members: 2, Accels: 8, Proximity: model.ProximityRack},
		{Members: 8, Accels: 8, Proximity: model.ProximityDomain},
	}
}

// Fragmentation reports how many gangs fit, and how many would fit in the best
// layout, for gangs of 8 accelerators on a worker, 16 in a rack and 64 in a
// failure domain.
func (s *Sched) Fragmentation() FragmentationReport {
	f := FragmentationReport{Accels: s.fleet.FreeAccels()}
	for _, shape := range referenceShapes() {
		possible := min(f.Accels/shape.TotalAccels(), s.emptyFleet.CountGangs(shape))
		f.Gangs = append(f.Gangs, GangFit{
			Shape:    shape.String(),
			Fits:     s.fleet.CountGangs(shape),
			Possible: possible,
		})
	}
	return f
}

// Queued returns the number of waiting jobs.
func (s *Sched) Queued() int {
	n := 0
	for _, t := range s.teams {
		n += t.queue.Len()
	}
	return n
}

func (s *Sched) sortedWorkers() []string { return slices.Sorted(maps.Keys(s.workers)) }
