package jobctl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// The guarantee of a team that got another name didn't cover its jobs, those of a service that got another name found no
// worker, and a queue that got another name lost what was learned about it.
func TestGuaranteesServicesAndEstimatesFollowRenames(t *testing.T) {
	l := newTestLeader(t, time.Unix(1_000_000, 0), oneStepSpec(1, 8, false))
	l.learner.Restore(jobs.Estimates{LogTaskSeconds: map[string]float64{"q": 3}})
	before := l.planInput().Steps[0]
	cfg := &jobs.Config{
		Version:  2,
		Services: []jobs.Service{{Name: "s2"}},
		Queues:   []jobs.Queue{{Name: "x", Host: "h", PathPrefix: "/q/", Service: "s2", TimeoutMs: 1000, MaxAttempts: 2, SlackFactor: 1.5, TargetMs: 250}},
		Teams:    []jobs.Team{{Name: "u", Keys: []string{"k"}, GuaranteedAccels: 8}},
	}
	l.renameQueues(l.commit(t, jobs.Command{Config: cfg}).RenamedQueues)
	for _, h := range l.hosts {
		h.report.Service = "s2"
	}
	in := l.planInput()
	require.True(t, in.Steps[0].Guaranteed)
	require.Equal(t, before.TaskDuration, in.Steps[0].TaskDuration)
	require.Equal(t, before.Deadline, in.Steps[0].Deadline)
	plan := allot.MakePlan(in)
	require.Len(t, plan.Starts, 1)
}
