package jobctl_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// After a configuration that gave a route or a team another name, callers got 410 for jobs that ran on, couldn't cancel
// them, and got a conflict for a repeated submission. The queue's number of waiting jobs was 0.
func TestCallersReachTheirJobsAfterARename(t *testing.T) {
	for name, change := range map[string]func(cfg *jobs.Config){
		"route":         func(cfg *jobs.Config) { cfg.Queues[0].Name = "x" },
		"team":          func(cfg *jobs.Config) { cfg.Teams[0].Name = "u" },
		"service":       func(cfg *jobs.Config) { cfg.Services[0].Name, cfg.Queues[0].Service = "s2", "s2" },
		"all":           func(cfg *jobs.Config) { cfg.Queues[0].Name, cfg.Teams[0].Name = "x", "u" },
		"team with key": func(cfg *jobs.Config) { cfg.Teams[0] = jobs.Team{Name: "u", Keys: []string{"k", "k2"}} },
	} {
		t.Run(name, func(t *testing.T) {
			s := startCluster(t)
			caller := s.dial("jobentry", "e1")
			require.Equal(t, string(jobs.Accepted), s.call(caller, jobs.CallSubmit, "/q/"+idA, oneTask()).Outcome)
			cfg := newConfig(2)
			change(cfg)
			require.NoError(t, s.control.PutConfig(t.Context(), cfg))
			rep := s.call(caller, jobs.CallState, "/q/"+idA, nil)
			require.Equal(t, string(jobs.Answered), rep.Outcome)
			require.Equal(t, string(jobs.Pending), rep.Detail)
			require.Equal(t, string(jobs.Accepted), s.call(caller, jobs.CallSubmit, "/q/"+idA, oneTask()).Outcome)
			require.EqualValues(t, 1, s.call(caller, jobs.CallCount, "/q/", nil).Count)
			require.Equal(t, string(jobs.Accepted), s.call(caller, jobs.CallSubmit, "/q/"+idB, oneTask()).Outcome)
			require.EqualValues(t, 2, s.call(caller, jobs.CallCount, "/q/", nil).Count)
			require.Equal(t, string(jobs.Stopped), s.call(caller, jobs.CallCancel, "/q/"+idA, nil).Outcome)
			require.Equal(t, string(jobs.Canceled), s.call(caller, jobs.CallState, "/q/"+idA, nil).Detail)
		})
	}
}

// A team that takes the name of one that is gone must not get at its jobs.
func TestTeamThatTakesANameDoesNotOwnItsJobs(t *testing.T) {
	s := startCluster(t)
	caller := s.dial("jobentry", "e1")
	cfg := newConfig(2)
	cfg.Teams = append(cfg.Teams, jobs.Team{Name: "t2", Keys: []string{"k2"}})
	require.NoError(t, s.control.PutConfig(t.Context(), cfg))
	require.Equal(t, string(jobs.Accepted), s.call(caller, jobs.CallSubmit, "/q/"+idA, oneTask()).Outcome)
	cfg = newConfig(3)
	cfg.Teams = []jobs.Team{{Name: "t", Keys: []string{"k2"}}}
	require.NoError(t, s.control.PutConfig(t.Context(), cfg))
	s.key = "k2"
	require.Equal(t, string(jobs.NoJob), s.call(caller, jobs.CallState, "/q/"+idA, nil).Outcome)
	require.Equal(t, string(jobs.NoJob), s.call(caller, jobs.CallCancel, "/q/"+idA, nil).Outcome)
	cfg = newConfig(4)
	cfg.Teams = []jobs.Team{{Name: "t", Keys: []string{"k2"}}, {Name: "u", Keys: []string{"k"}}}
	require.NoError(t, s.control.PutConfig(t.Context(), cfg))
	s.key = "k"
	require.Equal(t, string(jobs.Answered), s.call(caller, jobs.CallState, "/q/"+idA, nil).Outcome)
}
