package jobs_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// testLog applies commands to a state with increasing indexes, as the replicated log
// does.
type testLog struct {
	t     require.TestingT
	state *jobs.State
	index uint64
}

func newTestLog(t require.TestingT) *testLog { return &testLog{t: t, state: jobs.New()} }

func (l *testLog) apply(c jobs.Command) jobs.Result {
	data, err := jobs.Encode(c)
	require.NoError(l.t, err)
	l.index++
	return l.state.Apply(l.index, data).(jobs.Result)
}

func (l *testLog) job(id string) (j jobs.Job) {
	l.state.Read(func(v jobs.View) {
		if found, ok := v.Job(id); ok {
			j = *found
		}
	})
	return j
}

var (
	w1 = jobs.Worker{Name: "w1", StartedMs: 1}
	w2 = jobs.Worker{Name: "w2", StartedMs: 1}
)

const jobID = "00000000000000aa"

func submitCommand(attempts int, steps ...jobs.Step) jobs.Command {
	return jobs.Command{Term: 1, Submit: &jobs.Submit{ID: jobID, Queue: "q", Team: "t", MaxAttempts: attempts, Spec: &jobs.Spec{Steps: steps}}}
}

func startCommand(w jobs.Worker, step int, indexes ...int) jobs.Command {
	st := jobs.Start{}
	for _, i := range indexes {
		st.Placements = append(st.Placements, jobs.Placement{Task: jobs.TaskID{Job: jobID, Step: step, Index: i}, Worker: w, Host: "h-" + w.Name})
	}
	return jobs.Command{Term: 1, Starts: []jobs.Start{st}}
}

func endCommand(w jobs.Worker, number uint64, step, index, run int, outcome jobs.RunOutcome) jobs.Command {
	task := jobs.TaskID{Job: jobID, Step: step, Index: index}
	return jobs.Command{Term: 1, Ends: []jobs.RunEnds{{Worker: w, Host: "h-" + w.Name, Ends: []jobs.RunEnd{{Number: number, Task: task.String(), Run: run, Outcome: outcome}}}}}
}

func TestSubmitIsIdempotentByID(t *testing.T) {
	l := newTestLog(t)
	require.NoError(t, l.apply(submitCommand(1, jobs.Step{Count: 1})).Err)
	require.NoError(t, l.apply(submitCommand(1, jobs.Step{Count: 1})).Err)
	require.ErrorIs(t, l.apply(submitCommand(1, jobs.Step{Count: 2})).Err, jobs.ErrConflict)
	require.Len(t, l.job(jobID).Spec.Steps, 1)
	require.Equal(t, 1, l.job(jobID).Spec.Steps[0].Count)
}

func TestCommandsOfEarlierTermsAreRejected(t *testing.T) {
	l := newTestLog(t)
	require.NoError(t, l.apply(jobs.Command{Term: 2, BeginTerm: true}).Err)
	require.ErrorIs(t, l.apply(submitCommand(1, jobs.Step{Count: 1})).Err, jobs.ErrFenced)
	require.Empty(t, l.job(jobID).ID)
}

func TestHighestConfigVersionWins(t *testing.T) {
	l := newTestLog(t)
	for _, v := range []uint64{3, 2, 5, 5, 4} {
		require.NoError(t, l.apply(jobs.Command{Config: &jobs.Config{Version: v, Text: []byte(fmt.Sprint(v, l.index))}}).Err)
	}
	l.state.Read(func(v jobs.View) {
		require.EqualValues(t, 5, v.Config().Version)
		require.Equal(t, "5 2", string(v.Config().Text), "a second configuration of the same version must not replace the first")
	})
}

func TestStepsStartAfterTheirDependencies(t *testing.T) {
	l := newTestLog(t)
	l.apply(submitCommand(1, jobs.Step{Count: 2}, jobs.Step{Count: 1, DependsOn: []int{0}}))
	require.Equal(t, []int{0}, l.apply(startCommand(w1, 1, 0)).Runs)
	require.Equal(t, []int{1}, l.apply(startCommand(w1, 0, 0)).Runs)
	require.Equal(t, []int{0}, l.apply(startCommand(w2, 0, 0)).Runs, "the task already has a run")
	require.Equal(t, []int{1}, l.apply(startCommand(w2, 0, 1)).Runs)
	l.apply(endCommand(w1, 1, 0, 0, 1, jobs.RunDone))
	require.Equal(t, []int{0}, l.apply(startCommand(w1, 1, 0)).Runs)
	l.apply(endCommand(w2, 1, 0, 1, 1, jobs.RunDone))
	require.Equal(t, []int{1}, l.apply(startCommand(w1, 1, 0)).Runs)
	l.apply(endCommand(w1, 2, 1, 0, 1, jobs.RunDone))
	require.Equal(t, jobs.Complete, l.job(jobID).Phase)
}

func TestOnlyFailedRunsCountAsAttempts(t *testing.T) {
	l := newTestLog(t)
	l.apply(submitCommand(2, jobs.Step{Count: 1}))
	n := uint64(0)
	for run, outcome := range []jobs.RunOutcome{jobs.RunStopped, jobs.RunFailed, jobs.RunLeaseExpired, jobs.RunMemberEnded, jobs.RunFailed} {
		require.Equal(t, jobs.Phase(map[bool]string{true: "pending", false: "active"}[run == 0]), l.job(jobID).Phase)
		require.Equal(t, []int{run + 1}, l.apply(startCommand(w1, 0, 0)).Runs)
		n++
		l.apply(endCommand(w1, n, 0, 0, run+1, outcome))
		l.apply(endCommand(w1, n, 0, 0, run+1, outcome))
	}
	require.Equal(t, jobs.Failed, l.job(jobID).Phase)
	require.Equal(t, []int{0}, l.apply(startCommand(w1, 0, 0)).Runs)
}

func TestGangStartsTogetherAndEndsOnce(t *testing.T) {
	l := newTestLog(t)
	l.apply(submitCommand(2, jobs.Step{Count: 2, Gang: true}))
	require.Equal(t, []int{0}, l.apply(startCommand(w1, 0, 0)).Runs, "a gang starts only as a whole")
	require.Equal(t, []int{1}, l.apply(startCommand(w1, 0, 0, 1)).Runs)
	l.apply(endCommand(w1, 1, 0, 0, 1, jobs.RunFailed))
	require.Equal(t, []int{0}, l.apply(startCommand(w2, 0, 0, 1)).Runs, "the run of one member has not ended")
	l.apply(endCommand(w1, 2, 0, 1, 1, jobs.RunFailed))
	require.Equal(t, jobs.Active, l.job(jobID).Phase, "two failed members of one gang run count as one failure")
	require.Equal(t, []int{2}, l.apply(startCommand(w2, 0, 0, 1)).Runs)
	l.apply(endCommand(w2, 1, 0, 1, 2, jobs.RunDone))
	require.Equal(t, jobs.Complete, l.job(jobID).Phase, "the first member that is done completes the gang")
}

func TestTasksOfLostWorkerRestart(t *testing.T) {
	l := newTestLog(t)
	l.apply(submitCommand(1, jobs.Step{Count: 1, Checkpoints: true}))
	l.apply(startCommand(w1, 0, 0))
	l.apply(jobs.Command{Term: 1, LostWorkers: []jobs.LostWorker{{Worker: w1, Checkpoints: map[string]string{jobID + ".0.0.0": "x"}}}})
	require.Equal(t, "x", l.job(jobID).Occurrences[0].Steps[0].Tasks[0].Checkpoint)
	require.Equal(t, []int{2}, l.apply(startCommand(w2, 0, 0)).Runs)
	l.apply(endCommand(w1, 1, 0, 0, 1, jobs.RunDone))
	require.Equal(t, jobs.Active, l.job(jobID).Phase, "an end reported by a lost worker must be ignored")
	l.apply(endCommand(w2, 1, 0, 0, 2, jobs.RunDone))
	require.Equal(t, jobs.Complete, l.job(jobID).Phase)
}

func TestCanceledJobStartsNothing(t *testing.T) {
	l := newTestLog(t)
	require.ErrorIs(t, l.apply(jobs.Command{Term: 1, Cancel: jobID}).Err, jobs.ErrUnknownJob)
	l.apply(submitCommand(1, jobs.Step{Count: 2}))
	l.apply(startCommand(w1, 0, 0))
	require.Equal(t, jobs.Canceled, l.apply(jobs.Command{Term: 1, Cancel: jobID}).Phase)
	require.Equal(t, []int{0}, l.apply(startCommand(w1, 0, 1)).Runs)
	l.apply(endCommand(w1, 1, 0, 0, 1, jobs.RunDone))
	require.Equal(t, jobs.Canceled, l.job(jobID).Phase)
}

// For any order of starts, ends and lost workers, a task never has two runs at a time,
// never starts after it is done, and its run numbers increase. Restoring a snapshot
// doesn't change this.
func TestPropertyAtMostOneRunPerTask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLog(t)
		gang := rapid.Bool().Draw(t, "gang")
		l.apply(submitCommand(3, jobs.Step{Count: 2, Gang: gang}, jobs.Step{Count: 1, DependsOn: []int{0}}))
		workers := []jobs.Worker{w1, w2, {Name: "w1", StartedMs: 2}}
		running := map[string]jobs.Worker{}
		done, lastRun := map[string]bool{}, map[string]int{}
		lastEnd := map[jobs.Worker]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "length") {
			w := rapid.SampledFrom(workers).Draw(t, "worker")
			step := rapid.IntRange(0, 1).Draw(t, "step")
			index := rapid.IntRange(0, 1-step).Draw(t, "index")
			task := jobs.TaskID{Job: jobID, Step: step, Index: index}.String()
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				group := []int{index}
				if gang && step == 0 {
					group = []int{0, 1}
				}
				run := l.apply(startCommand(w, step, group...)).Runs[0]
				if run == 0 {
					continue
				}
				for _, i := range group {
					name := jobs.TaskID{Job: jobID, Step: step, Index: i}.String()
					require.Empty(t, running[name].Name, "%s already has a run", name)
					require.False(t, done[name], "%s is already done", name)
					require.Greater(t, run, lastRun[name])
					running[name], lastRun[name] = w, run
				}
			case 2:
				outcome := rapid.SampledFrom([]jobs.RunOutcome{jobs.RunDone, jobs.RunFailed, jobs.RunStopped}).Draw(t, "how")
				if running[task] != w {
					continue
				}
				lastEnd[w]++
				l.apply(endCommand(w, lastEnd[w], step, index, lastRun[task], outcome))
				delete(running, task)
				if outcome == jobs.RunDone {
					done[task] = true
				}
			case 3:
				l.apply(jobs.Command{Term: 1, LostWorkers: []jobs.LostWorker{{Worker: w}}})
				lastEnd[w] = 0
				for name, worker := range running {
					if worker == w {
						delete(running, name)
					}
				}
			case 4:
				write, err := l.state.Snapshot()
				require.NoError(t, err)
				var buf bytes.Buffer
				require.NoError(t, write(&buf))
				restored := jobs.New()
				require.NoError(t, restored.Restore(&buf))
				l.state = restored
			}
		}
	})
}

func TestInvalidSpecsAreRejected(t *testing.T) {
	oneTask := jobs.Step{Count: 1}
	for name, s := range map[string]jobs.Spec{
		"no steps":                {},
		"no tasks":                {Steps: []jobs.Step{{}}},
		"negative count":          {Steps: []jobs.Step{{Count: -1}}},
		"too many tasks":          {Steps: []jobs.Step{{Count: jobs.MaxTasks}, oneTask}},
		"negative CPU":            {Steps: []jobs.Step{{Count: 1, CPU: -1}}},
		"memory out of range":     {Steps: []jobs.Step{{Count: 1, Memory: 1 << 62}}},
		"depends on itself":       {Steps: []jobs.Step{{Count: 1, DependsOn: []int{0}}}},
		"depends on a later step": {Steps: []jobs.Step{{Count: 1, DependsOn: []int{1}}, oneTask}},
		"negative dependency":     {Steps: []jobs.Step{oneTask, {Count: 1, DependsOn: []int{-1}}}},
		"long text":               {Text: string(make([]byte, jobs.MaxTextBytes+1)), Steps: []jobs.Step{oneTask}},
		"negative repeat count":   {RepeatCount: -1, Steps: []jobs.Step{oneTask}},
		"interval out of range":   {RepeatCount: 2, IntervalMs: 1 << 62, Steps: []jobs.Step{oneTask}},
	} {
		require.ErrorIs(t, s.Validate(), jobs.ErrInvalidJob, name)
	}
	require.NoError(t, (&jobs.Spec{Steps: []jobs.Step{oneTask, {Count: 2, DependsOn: []int{0}}}}).Validate())
}

func TestInvalidConfigsAreRejected(t *testing.T) {
	validConfig := func() *jobs.Config {
		return &jobs.Config{
			Version: 1, Services: []jobs.Service{{Name: "s"}},
			Queues: []jobs.Queue{{Name: "q", Host: "h", PathPrefix: "/a/", Service: "s", TimeoutMs: 1}},
			Teams:  []jobs.Team{{Name: "t", Keys: []string{"k"}}},
		}
	}
	require.NoError(t, validConfig().Validate())
	for name, makeInvalid := range map[string]func(c *jobs.Config){
		"unknown service":      func(c *jobs.Config) { c.Queues[0].Service = "none" },
		"same host and prefix": func(c *jobs.Config) { c.Queues = append(c.Queues, c.Queues[0]) },
		"no timeout":           func(c *jobs.Config) { c.Queues[0].TimeoutMs = 0 },
		"shared key":           func(c *jobs.Config) { c.Teams = append(c.Teams, jobs.Team{Name: "u", Keys: []string{"k"}}) },
	} {
		c := validConfig()
		makeInvalid(c)
		require.ErrorIs(t, c.Validate(), jobs.ErrInvalidConfig, name)
	}
}

func TestLongestPrefixMatches(t *testing.T) {
	c := jobs.Config{Queues: []jobs.Queue{{Name: "a", Host: "h", PathPrefix: "/"}, {Name: "b", Host: "h", PathPrefix: "/x/"}, {Name: "c", Host: "i", PathPrefix: "/x/y/"}}}
	for path, want := range map[string]string{"/x/y/z": "b", "/y": "a"} {
		q, ok := c.Match("h", path)
		require.True(t, ok)
		require.Equal(t, want, q.Name)
	}
	_, ok := c.Match("none", "/")
	require.False(t, ok)
}

func FuzzParseTaskID(f *testing.F) {
	f.Add(jobID + ".0.1.17")
	f.Add("x.0.0")
	f.Fuzz(func(t *testing.T, name string) {
		if task, err := jobs.ParseTaskID(name); err == nil {
			require.Equal(t, name, task.String())
		}
	})
}
