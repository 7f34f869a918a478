package jobs_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

func route(name, prefix, service string) jobs.Queue {
	return jobs.Queue{Name: name, Host: "h", PathPrefix: prefix, Service: service, TimeoutMs: 1000}
}

func team(name string, keys ...string) jobs.Team { return jobs.Team{Name: name, Keys: keys} }

// restart replaces the state by one that is restored from its snapshot, as after a restart.
func (l *testLog) restart() {
	write, err := l.state.Snapshot()
	require.NoError(l.t, err)
	var snapshot bytes.Buffer
	require.NoError(l.t, write(&snapshot))
	l.state = jobs.New()
	require.NoError(l.t, l.state.Restore(&snapshot))
}

// Jobs were known by the names that their route and team had at acceptance. When a configuration changed one of them, the
// callers couldn't read, cancel or repeat their jobs, and the guarantee of the team didn't cover them any more.
func TestJobsFollowRenamedQueuesAndTeams(t *testing.T) {
	type change struct {
		queues []jobs.Queue
		teams  []jobs.Team
	}
	before := change{
		[]jobs.Queue{route("r1", "/a/", "s"), route("r2", "/b/", "s")},
		[]jobs.Team{team("t1", "k1", "k2"), team("t2", "k9")},
	}
	for name, tt := range map[string]struct {
		changes     []change
		queue       string // that has the job of r1 in the end
		team        string // that owns it
		service     string
		estimateOf1 string // name under which the estimate of r1 is stored
	}{
		"nothing":                {[]change{before}, "r1", "t1", "s", "r1"},
		"route renamed":          {[]change{{[]jobs.Queue{route("x", "/a/", "s"), route("r2", "/b/", "s")}, before.teams}}, "x", "t1", "s", "x"},
		"route renamed twice":    {[]change{{[]jobs.Queue{route("x", "/a/", "s")}, before.teams}, {[]jobs.Queue{route("y", "/a/", "s")}, before.teams}}, "y", "t1", "s", "y"},
		"routes exchange names":  {[]change{{[]jobs.Queue{route("r2", "/a/", "s"), route("r1", "/b/", "s")}, before.teams}}, "r2", "t1", "s", "r2"},
		"gets a removed name":    {[]change{{[]jobs.Queue{route("r2", "/a/", "s")}, before.teams}}, "r2", "t1", "s", "r2"},
		"name goes to another":   {[]change{{[]jobs.Queue{route("r1", "/b/", "s2")}, before.teams}}, "", "t1", "s", ""},
		"route moved":            {[]change{{[]jobs.Queue{route("r1", "/c/", "s"), route("r2", "/b/", "s")}, before.teams}}, "r1", "t1", "s", "r1"},
		"moved, then renamed":    {[]change{{[]jobs.Queue{route("r1", "/c/", "s")}, before.teams}, {[]jobs.Queue{route("x", "/c/", "s")}, before.teams}}, "x", "t1", "s", "x"},
		"removed":                {[]change{{[]jobs.Queue{route("r2", "/b/", "s")}, before.teams}}, "", "t1", "s", "r1"},
		"removed, back as x":     {[]change{{[]jobs.Queue{route("r2", "/b/", "s")}, before.teams}, {[]jobs.Queue{route("x", "/a/", "s")}, before.teams}}, "x", "t1", "s", "r1"},
		"service renamed":        {[]change{{[]jobs.Queue{route("r1", "/a/", "s2"), route("r2", "/b/", "s2")}, before.teams}}, "r1", "t1", "s2", "r1"},
		"route and service":      {[]change{{[]jobs.Queue{route("x", "/a/", "s2")}, before.teams}, {[]jobs.Queue{}, before.teams}}, "", "t1", "s2", "x"},
		"team renamed":           {[]change{{before.queues, []jobs.Team{team("u", "k1", "k2"), team("t2", "k9")}}}, "r1", "u", "s", "r1"},
		"team renamed, one key":  {[]change{{before.queues, []jobs.Team{team("u", "k2", "k3")}}, {before.queues, []jobs.Team{team("v", "k3")}}}, "r1", "v", "s", "r1"},
		"all keys changed":       {[]change{{before.queues, []jobs.Team{team("t1", "k7"), team("t2", "k9")}}}, "r1", "t1", "s", "r1"},
		"teams exchange names":   {[]change{{before.queues, []jobs.Team{team("t2", "k1", "k2"), team("t1", "k9")}}}, "r1", "t2", "s", "r1"},
		"keys go to two teams":   {[]change{{before.queues, []jobs.Team{team("u", "k1"), team("t1", "k2")}}}, "r1", "t1", "s", "r1"},
		"name goes to team 2":    {[]change{{before.queues, []jobs.Team{team("t1", "k9")}}}, "r1", "t1 (not in version 11)", "s", "r1"},
		"team away":              {[]change{{before.queues, []jobs.Team{team("t2", "k9")}}, {before.queues, []jobs.Team{team("t2", "k9")}}}, "r1", "t1 (not in version 12)", "s", "r1"},
		"team back as u":         {[]change{{before.queues, nil}, {before.queues, nil}, {before.queues, []jobs.Team{team("u", "k1")}}}, "r1", "u", "s", "r1"},
		"team back, other keys":  {[]change{{before.queues, nil}, {before.queues, []jobs.Team{team("t1", "k7")}}}, "r1", "t1", "s", "r1"},
		"all renamed at once":    {[]change{{[]jobs.Queue{route("x", "/a/", "s2")}, []jobs.Team{team("u", "k1")}}}, "x", "u", "s2", "x"},
		"all there and back":     {[]change{{[]jobs.Queue{route("x", "/a/", "s2")}, []jobs.Team{team("u", "k1")}}, before}, "r1", "t1", "s", "r1"},
		"everything gone, back":  {[]change{{}, before}, "r1", "t1", "s", "r1"},
		"teams merge":            {[]change{{before.queues, []jobs.Team{team("t2", "k9", "k1")}}}, "r1", "t2", "s", "r1"},
		"team without name":      {[]change{{before.queues, []jobs.Team{team("", "k9")}}, {before.queues, []jobs.Team{team("t2", "k9")}}}, "r1", "t1 (not in version 12)", "s", "r1"},
		"route at longer prefix": {[]change{{[]jobs.Queue{route("r1", "/a/", "s"), route("x", "/a/b/", "s")}, before.teams}}, "r1", "t1", "s", "r1"},
	} {
		for _, how := range []string{"in one process", "with restarts", "stored by an earlier release"} {
			t.Run(name+", "+how, func(t *testing.T) {
				log := newTestLog(t)
				log.apply(jobs.Command{Term: 1, Config: &jobs.Config{Version: 10, Queues: before.queues, Teams: before.teams}})
				submit := &jobs.Submit{ID: jobID, Queue: "r1", Place: before.queues[0].Place(), Service: "s", Team: "t1", ConfigVersion: 10, Spec: &jobs.Spec{Steps: []jobs.Step{{Count: 1}}}}
				anyone := &jobs.Submit{ID: "00000000000000bb", Queue: "r2", Place: before.queues[1].Place(), Service: "s", ConfigVersion: 10, Spec: submit.Spec}
				if how == "stored by an earlier release" {
					submit.Place, submit.ConfigVersion = "", 0
				}
				log.apply(jobs.Command{Term: 1, Submit: submit, Estimates: &jobs.Estimates{LogTaskSeconds: map[string]float64{"r1": 1}}})
				log.apply(jobs.Command{Term: 1, Submit: anyone})
				var last jobs.Config
				for i, c := range tt.changes {
					if how == "with restarts" {
						log.restart()
					}
					last = jobs.Config{Version: uint64(11 + i), Queues: c.queues, Teams: c.teams}
					log.apply(jobs.Command{Term: 1, Config: &last})
				}
				j := log.job(jobID)
				found := ""
				for _, q := range last.Queues {
					if q.Has(&j) {
						found = q.Name
						log.state.Read(func(v jobs.View) { require.Positive(t, v.PendingCount(q)) })
					}
				}
				require.Equal(t, tt.queue, found)
				require.Equal(t, tt.team, j.Team)
				require.Empty(t, log.job(anyone.ID).Team)
				log.state.Read(func(v jobs.View) {
					require.Equal(t, tt.service, v.ServiceOf(&j))
					if tt.estimateOf1 != "" {
						require.Contains(t, v.Estimates().LogTaskSeconds, tt.estimateOf1)
					}
				})
				if found == "" {
					return
				}
				again := *submit
				again.Queue, again.Place, again.Team, again.ConfigVersion = found, j.Place, tt.team, last.Version
				res := log.apply(jobs.Command{Term: 1, Submit: &again})
				require.NoError(t, res.Err, "it is the same job")
			})
		}
	}
}

// A job that was checked against one configuration and stored under the next one kept names that mean something else there.
func TestJobOfAnEarlierConfigurationIsNotStored(t *testing.T) {
	log := newTestLog(t)
	log.apply(jobs.Command{Term: 1, Config: &jobs.Config{Version: 2, Queues: []jobs.Queue{route("r1", "/a/", "s")}}})
	submit := jobs.Submit{ID: jobID, Queue: "r1", Place: "h /a/", Team: "t1", ConfigVersion: 1, Spec: &jobs.Spec{Steps: []jobs.Step{{Count: 1}}}}
	require.ErrorIs(t, log.apply(jobs.Command{Term: 1, Submit: &submit}).Err, jobs.ErrStaleConfig)
	require.Empty(t, log.job(jobID).ID)
	submit.ConfigVersion = 2
	require.NoError(t, log.apply(jobs.Command{Term: 1, Submit: &submit}).Err)
}
