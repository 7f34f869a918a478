package sched

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// TestResetReassignsUnits checks that a new leader assigns running work to its
// guarantees again, even if the guarantees fill the whole fleet.
func TestResetReassignsUnits(t *testing.T) {
	tc := newTestCluster(t, Options{}, testFleet()...)
	tc.setTeam(teamWithGuarantee("linen", 10, newShape(1, 8, model.ProximityWorker)))
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		j := newGang(id, "linen", newShape(1, 8, model.ProximityWorker), tc.now)
		j.Stoppable = false
		tc.setJob(j)
	}
	tc.decide()
	s := tc.newLeader()
	g := s.Guarantees()[0]
	require.Equal(t, 7, g.Used)
	require.Zero(t, g.Short)
	require.Empty(t, s.Decide(tc.now), "a new leader stops and starts nothing")
	tc.checkBindings(s)
}

// TestResetQuarantinesFaultyWorker checks that no guarantee is bound before all
// running work is added if a new leader quarantines a worker while it adds the
// work.
func TestResetQuarantinesFaultyWorker(t *testing.T) {
	ws := testFleet()[:4]
	tc := newTestCluster(t, Options{}, ws...)
	tc.setTeam(teamWithGuarantee("garden", 1, newShape(1, 8, model.ProximityWorker)))
	addRunning := func(id string, on int, accels int, failedOn ...string) {
		j := newGang(id, "linen", newShape(1, accels, model.ProximityWorker), tc.now).WithState(model.JobRunning, "")
		j.Members = []model.Member{{Worker: ws[on].Name}}
		j.Borrowed, j.Stoppable, j.FailedOn = true, false, failedOn
		tc.jobs[id] = j
	}
	faulty := ws[2].Name
	addRunning("a", 0, 4, faulty)
	addRunning("b", 0, 4, faulty)
	addRunning("c", 1, 8, faulty)
	addRunning("d", 3, 2)
	s := tc.newLeader()
	ds := s.Decide(tc.now)
	require.Equal(t, map[Kind]int{Quarantine: 1}, countByKind(ds))
	tc.workers[faulty] = tc.workers[faulty].WithState(model.WorkerQuarantine)
	tc.checkBindings(s)
}

// TestCordonKeepsUnstoppableGang checks that an unstoppable gang keeps running
// when one worker of its guarantee is cordoned, and that the guarantee is bound
// to other workers.
func TestCordonKeepsUnstoppableGang(t *testing.T) {
	tc := newTestCluster(t, Options{}, testFleet()...)
	tc.setTeam(teamWithGuarantee("garden", 1, newShape(2, 8, model.ProximityRack)))
	j := newGang("render", "garden", newShape(2, 8, model.ProximityRack), tc.now)
	j.Stoppable = false
	tc.setJob(j)
	tc.decide()
	first := tc.jobs["render"].Members[0].Worker
	tc.setWorker(tc.workers[first].WithState(model.WorkerCordoned))
	require.Empty(t, tc.decide(), "the gang keeps running")
	require.Zero(t, tc.countUnbound())
	tc.checkInvariants()
}
