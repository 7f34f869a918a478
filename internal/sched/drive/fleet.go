// Package drive simulates the scheduler on randomly generated arrivals, in
// order to compare policies. There is no cluster: jobs end after their
// generated run time, and a stop takes a fixed checkpoint time.
package drive

import (
	"fmt"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	workerCores    = 32
	workerMemory   = 128 << 30 // bytes
	workerAccels   = 8
	rackSize       = 3 // workers per rack
	todayDomains   = 3
	plannedDomains = 8
	plannedRegions = 2
	// Racks per rack with accelerators: the planned fleet has 25,000
	// accelerators in 13,000 workers.
	racksPerAccelRack = 4
)

// yearSpeeds are the speeds of workers by year of purchase.
var yearSpeeds = []float64{0.6, 0.8, 1.0, 1.3}

// TodayFleet returns a fleet like those in use today: 10 workers of unequal speed with 8
// accelerators each, three per rack, in three failure domains.
func TodayFleet() []model.Worker {
	return newFleet(10, todayDomains, 1, 1)
}

// PlannedFleet returns the planned fleet with n workers, in two regions of four
// failure domains each. Every fourth rack has workers with 8 accelerators.
func PlannedFleet(n int) []model.Worker {
	return newFleet(n, plannedDomains, plannedRegions, racksPerAccelRack)
}

// newFleet returns n workers. The first of every racksPerAccelRack racks has
// accelerators.
func newFleet(n, domains, regions, racksPerAccelRack int) []model.Worker {
	ws := make([]model.Worker, n)
	racks := (n + rackSize - 1) / rackSize
	for i := range ws {
		rack := i / rackSize
		domain := rack * domains / racks
		ws[i] = model.Worker{
			Name:   fmt.Sprintf("w%05d", i),
			Rack:   fmt.Sprintf("k%04d", rack),
			Domain: fmt.Sprintf("d%d", domain),
			Region: fmt.Sprintf("r%d", domain*regions/domains),
			Cores:  workerCores,
			Memory: workerMemory,
			Kind:   "a",
			Speed:  yearSpeeds[rack/racksPerAccelRack%len(yearSpeeds)],
			State:  model.WorkerReady,
		}
		if rack%racksPerAccelRack == 0 {
			ws[i].Accels = workerAccels
		}
	}
	return ws
}

// WeightedAccels returns the accelerators of the fleet, each weighted by its speed.
func WeightedAccels(ws []model.Worker) float64 {
	sum := 0.0
	for _, w := range ws {
		sum += float64(w.Accels) * w.Speed
	}
	return sum
}
