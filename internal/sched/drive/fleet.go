// Package drive runs the scheduling decisions over drawn arrivals, in order to
// compare policies. It holds no cluster: jobs end when their drawn run time is
// over, and what stops stops after a fixed checkpoint time.
package drive

import (
	"fmt"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	cores        = 32
	memory       = 128 << 30
	accels       = 8
	rackSize     = 3
	domains      = 3
	largeDomains = 8
	regions      = 2
	// In the planned fleet 25,000 accelerators sit in 13,000 workers.
	accelEvery = 4
)

// yearSpeeds are the speeds of the machines bought in successive years.
var yearSpeeds = []float64{0.6, 0.8, 1.0, 1.3}

// Today returns a fleet of today: 10 workers with 8 accelerators each, three to
// a rack, in three failure domains, of unequal speed.
func Today() []model.Worker {
	return fleet(10, domains, 1, 1)
}

// Planned returns a fleet of n workers in two regions of four failure domains.
// Every fourth rack has workers with 8 accelerators.
func Planned(n int) []model.Worker {
	return fleet(n, largeDomains, regions, accelEvery)
}

// fleet returns workers of which one rack in every so many has accelerators.
func fleet(n, domains, regions, every int) []model.Worker {
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
			Cores:  cores,
			Memory: memory,
			Kind:   "a",
			Speed:  yearSpeeds[rack/every%len(yearSpeeds)],
			State:  model.WorkerReady,
		}
		if rack%every == 0 {
			ws[i].Accels = accels
		}
	}
	return ws
}

// Power returns the accelerators of the fleet, each weighted by its speed.
func Power(ws []model.Worker) float64 {
	sum := 0.0
	for _, w := range ws {
		sum += float64(w.Accels) * w.Speed
	}
	return sum
}
