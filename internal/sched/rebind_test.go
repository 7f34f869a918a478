package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// TestIdleGuaranteeIsRebound checks that a guarantee is bound to other workers
// when a gang can be placed only on the workers that it is bound to.
func TestIdleGuaranteeIsRebound(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	newTestWorker := func(name, rack, domain string, s model.WorkerState) model.Worker {
		return model.Worker{Name: name, Rack: rack, Domain: domain, Region: "r", Cores: 32, Memory: 128 << 30, Accels: 8, Kind: "g", Speed: 1, State: s}
	}
	team := model.Team{Name: "linen", Weight: 1, Guarantees: []model.Guarantee{{
		Shape: model.Shape{Members: 1, Cores: 4, Memory: 1 << 30, Accels: 2, Proximity: model.ProximityWorker}, Count: 1,
	}}}
	s := New(Defaults())
	s.Reset([]model.Worker{
		newTestWorker("w00", "r0", "a", model.WorkerReady), newTestWorker("w01", "r0", "a", model.WorkerReady),
		newTestWorker("w02", "r0", "a", model.WorkerReady), newTestWorker("w03", "r1", "b", model.WorkerReady),
	}, []model.Team{team}, nil, now)
	s.SetWorker(newTestWorker("w01", "r0", "a", model.WorkerLost), now)
	s.SetJob(model.Job{
		ID: "gang", Team: "linen", Urgency: model.Urgent, State: model.JobQueued, Idempotent: true, EstimateMs: 2000,
		Shape: model.Shape{Members: 2, Cores: 8, Memory: 8 << 30, Accels: 8, Proximity: model.ProximityDomain},
	}, now)
	ds := s.Decide(now)
	require.Len(t, ds, 1, "%+v %+v", ds, s.Explain("gang", now))
	require.Equal(t, Place, ds[0].Kind)
}
