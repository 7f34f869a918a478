package sched

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// TestNewLeader checks that a new leader assigns running work to its guarantees
// again, even if the guarantees fill the whole fleet.
func TestNewLeader(t *testing.T) {
	w := newWorld(t, Options{}, todays()...)
	w.setTeam(holding("linen", 10, shape(1, 8, model.NearWorker)))
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		j := gang(id, "linen", shape(1, 8, model.NearWorker), w.now)
		j.Stoppable = false
		w.setJob(j)
	}
	w.decide()
	s := w.leader()
	h := s.Guarantees()[0]
	require.Equal(t, 7, h.Used)
	require.Zero(t, h.Short)
	require.Empty(t, s.Decide(w.now), "a new leader stops and starts nothing")
	w.checkWitness(s)
}

// TestLeaderFindsSickWorker checks that no guarantee is bound before all running
// work is added if a new leader quarantines a worker while it adds the work.
func TestLeaderFindsSickWorker(t *testing.T) {
	ws := todays()[:4]
	w := newWorld(t, Options{}, ws...)
	w.setTeam(holding("garden", 1, shape(1, 8, model.NearWorker)))
	run := func(id string, on int, accels int, failedOn ...string) {
		j := gang(id, "linen", shape(1, accels, model.NearWorker), w.now).WithState(model.JobRunning, "")
		j.Members = []model.Member{{Worker: ws[on].Name}}
		j.Borrowed, j.Stoppable, j.FailedOn = true, false, failedOn
		w.jobs[id] = j
	}
	sick := ws[2].Name
	run("a", 0, 4, sick)
	run("b", 0, 4, sick)
	run("c", 1, 8, sick)
	run("d", 3, 2)
	s := w.leader()
	ds := s.Decide(w.now)
	require.Equal(t, map[Kind]int{Quarantine: 1}, kinds(ds))
	w.workers[sick] = w.workers[sick].WithState(model.WorkerQuarantine)
	w.checkWitness(s)
}

// TestCordonUnderGang checks that an unstoppable gang keeps running when one worker
// of its guarantee is cordoned, and that the guarantee is bound to other workers.
func TestCordonUnderGang(t *testing.T) {
	w := newWorld(t, Options{}, todays()...)
	w.setTeam(holding("garden", 1, shape(2, 8, model.NearRack)))
	j := gang("render", "garden", shape(2, 8, model.NearRack), w.now)
	j.Stoppable = false
	w.setJob(j)
	w.decide()
	first := w.jobs["render"].Members[0].Worker
	w.setWorker(w.workers[first].WithState(model.WorkerCordoned))
	require.Empty(t, w.decide(), "the gang keeps running")
	require.Zero(t, w.short())
	w.check()
}
