package fakes

import (
	"fmt"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// rackSize is the number of workers in a rack.
const rackSize = 3

// Fleet returns n workers with 32 cores, 128 GB and 8 accelerators each. Every three share
// a rack, and the racks are spread over the domains. The speed changes from rack to rack
// between 1.0, 0.8 and 0.6, as in a fleet that was bought over several years.
func Fleet(n int, region string, domains ...string) []model.Worker {
	speeds := []float64{1.0, 0.8, 0.6}
	list := make([]model.Worker, 0, n)
	for i := range n {
		rack := i / rackSize
		domain := domains[rack%len(domains)]
		list = append(list, model.Worker{
			Name:   fmt.Sprintf("w%02d", i),
			Rack:   fmt.Sprintf("%s-r%d", domain, rack),
			Domain: domain,
			Region: region,
			Cores:  32,
			Memory: 128 << 30,
			Accels: 8,
			Kind:   "gpu",
			Speed:  speeds[rack%len(speeds)],
			State:  model.WorkerReady,
		})
	}
	return list
}
