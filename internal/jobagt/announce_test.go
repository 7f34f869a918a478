package jobagt

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// A worker that restarted after its clock had been set back was never used again: its start time was lower than
// that of its earlier incarnation.
func TestWorkerThatSaysItStartedEarlierIsTaken(t *testing.T) {
	setBack := jobs.Worker{Name: "w", StartedMs: -2400}
	answers := func(a *Agent) { a.receiveListing(Listing{Worker: setBack, ClockMs: 10}) }
	announces := func(a *Agent) { a.Announce(Announcement{Worker: setBack, Service: "s", Seq: 1}) }
	for name, steps := range map[string][]func(a *Agent){
		"answers first":   {answers, announces},
		"announces first": {announces, answers},
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := newTestAgent(t, &fakeWorker{})
			for _, step := range steps {
				step(a)
			}
			rep := a.buildReport()
			require.EqualValues(t, -2400, rep.Born)
			require.True(t, rep.Listed)
			a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 9})
			require.True(t, a.buildReport().Listed, "a late announcement of the earlier incarnation")
			require.Equal(t, setBack, a.announced.Worker)
		})
	}
}

// An agent that has just started doesn't know the earlier incarnations. The answer of the current one shows that a
// late announcement is out of date.
func TestLateAnnouncementOfUnknownIncarnationIsWithdrawn(t *testing.T) {
	for _, born := range []int64{-5, 5} {
		a, _ := newTestAgent(t, &fakeWorker{})
		late := jobs.Worker{Name: "w", StartedMs: born}
		a.Announce(Announcement{Worker: late, Service: "s", Seq: 9})
		a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 2, Draining: true, RemainMs: 2000})
		require.True(t, a.mayHaveRestarted(testWorker), "it may be the next incarnation, until one of them answers")
		require.Equal(t, late, a.nextHold())
		a.receiveListing(Listing{Worker: testWorker, ClockMs: 1100})
		require.False(t, a.mayHaveRestarted(testWorker))
		require.Equal(t, testWorker, a.announced.Worker)
		require.True(t, a.announced.Draining, "the last announcement of the worker that answers is in force")
		require.True(t, a.buildReport().Listed)
		require.EqualValues(t, 2000, a.buildReport().Remainms)
	}
}
