package jobs_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

func (l *testLog) pendingCount() (n int) {
	l.state.Read(func(v jobs.View) { n = v.PendingCount(jobs.Queue{Name: "q"}) })
	return n
}

// A job whose starts were all refused, or lost with their worker, was shown as active and not counted as pending.
func TestJobIsPendingUntilAWorkerHasBegunIt(t *testing.T) {
	task := jobID + ".0.0.0"
	gone := jobs.Command{Term: 1, Unstarted: []jobs.UnstartedRun{{Worker: w1, Task: task, Run: 1}}}
	lost := jobs.Command{Term: 1, LostWorkers: []jobs.LostWorker{{Worker: w1}}}
	saved := jobs.Command{Term: 1, LostWorkers: []jobs.LostWorker{{Worker: w1, Checkpoints: map[string]string{task: "x"}}}}
	for name, tt := range map[string]struct {
		command jobs.Command
		want    jobs.Phase
	}{
		"nothing heard of the run":       {jobs.Command{Term: 1}, jobs.Pending},
		"refused":                        {gone, jobs.Pending},
		"lost with its worker":           {lost, jobs.Pending},
		"lost after it saved":            {saved, jobs.Active},
		"listed":                         {jobs.Command{Term: 1, BegunJobs: []string{jobID}}, jobs.Active},
		"failed":                         {endCommand(w1, 1, 0, 0, 1, jobs.RunFailed), jobs.Active},
		"stopped":                        {endCommand(w1, 1, 0, 0, 1, jobs.RunStopped), jobs.Active},
		"listed by a worker without it":  {endCommand(w2, 1, 0, 0, 1, jobs.RunFailed), jobs.Pending},
		"another job listed":             {jobs.Command{Term: 1, BegunJobs: []string{"00000000000000bb"}}, jobs.Pending},
		"done, with a second task to do": {endCommand(w1, 1, 0, 0, 1, jobs.RunDone), jobs.Active},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLog(t)
			l.apply(submitCommand(3, jobs.Step{Count: 2}))
			require.Equal(t, []int{1}, l.apply(startCommand(w1, 0, 0)).Runs)
			l.apply(tt.command)
			require.Equal(t, tt.want, l.job(jobID).Phase)
			want := 0
			if tt.want == jobs.Pending {
				want = 1
			}
			require.Equal(t, want, l.pendingCount())
		})
	}
}

func TestBegunDoesNotReviveAnEndedJob(t *testing.T) {
	l := newTestLog(t)
	l.apply(submitCommand(1, jobs.Step{Count: 1}))
	l.apply(jobs.Command{Term: 1, Cancel: jobID})
	l.apply(jobs.Command{Term: 1, BegunJobs: []string{jobID}})
	require.Equal(t, jobs.Canceled, l.job(jobID).Phase)
}

// Snapshots of earlier releases say active for jobs whose starts were only decided. They are read as they are.
func TestSnapshotOfEarlierReleaseIsRead(t *testing.T) {
	l := newTestLog(t)
	require.NoError(t, l.state.Restore(strings.NewReader(`{"index":5,"term":1,"config":{"version":1},"workers":{"w1/1":{"host":"h-w1","seen":0,"runs":{"`+jobID+`.0.0.0":1}}},
		"jobs":{"`+jobID+`":{"id":"`+jobID+`","queue":"q","attempts":2,"spec":{"steps":[{"count":1}]},"phase":"active",
		"occurs":{"0":{"steps":[{"tasks":[{"run":1,"on":{"name":"w1","born":1}}]}]}}}}}`)))
	require.Zero(t, l.pendingCount())
	l.apply(endCommand(w1, 1, 0, 0, 1, jobs.RunDone))
	require.Equal(t, jobs.Complete, l.job(jobID).Phase)
}
