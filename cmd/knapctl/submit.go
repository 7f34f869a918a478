package main

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const submitHelp = `Submit a job: a gang of equal members that runs whole or not at all. The plan says
where it would run and what it would stop.`

const submitExample = `  knapctl submit --team linen --members 2 --accels 8 --cores 16 --memory 64 --near rack \
    --estimate 20m --command "render pall-7" --confirm`

// submission holds the flags of submit that don't fit a job as they are.
type submission struct {
	job      model.Job
	memory   int64 // GiB
	near     string
	urgency  string
	estimate time.Duration
	deadline string
}

// newSubmit returns the command that submits a job.
func newSubmit(a *app) *cobra.Command {
	var p proposal
	var s submission
	cmd := &cobra.Command{
		Use:     "submit",
		Short:   "Submit a job",
		Long:    submitHelp,
		Example: submitExample,
		Args:    exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			job, err := s.build(p.id)
			if err != nil {
				return err
			}
			return a.propose(cmd, p, model.Intent{Ops: []model.Op{{Kind: model.OpSubmitJob, Job: &job}}})
		},
	}
	s.addFlags(cmd)
	p.addFlags(cmd)
	return cmd
}

func (s *submission) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&s.job.ID, "job", "", "id of the job; made up if not given")
	f.StringVar(&s.job.Team, "team", "", "team that the job belongs to")
	f.StringVar(&s.job.Command, "command", "", "what each member runs")
	f.IntVar(&s.job.Shape.Members, "members", 1, "members of the gang")
	f.IntVar(&s.job.Shape.Accels, "accels", 1, "accelerators per member")
	f.IntVar(&s.job.Shape.Cores, "cores", 1, "cores per member")
	f.Int64Var(&s.memory, "memory", 1, "memory per member in GiB")
	f.StringVar(&s.near, "near", string(model.ProximityAny), "how close the members must be: worker, rack, domain or any")
	f.StringVar(&s.job.Shape.Kind, "kind", "", "kind of accelerator; any if not given")
	f.StringVar(&s.urgency, "urgency", string(model.Normal), "urgent, normal or low")
	f.DurationVar(&s.estimate, "estimate", time.Hour, "declared run time at speed 1.0")
	f.StringVar(&s.deadline, "deadline", "", "when it must have ended, RFC 3339")
	f.BoolVar(&s.job.Stoppable, "stoppable", true, "may be checkpointed and stopped for a reclaim")
	f.BoolVar(&s.job.Idempotent, "idempotent", true, "may be started again after an unknown outcome")
}

// build returns the job. Its id follows from that of the intent, if that is
// given, so that a resend names the same job.
func (s *submission) build(intent string) (model.Job, error) {
	job := s.job
	if job.Team == "" || job.Command == "" {
		return job, fmt.Errorf("%w: give --team and --command", errUsage)
	}
	job.Shape.Memory = s.memory << 30
	job.Shape.Proximity = model.Proximity(s.near)
	job.Urgency = model.Urgency(s.urgency)
	job.EstimateMs = s.estimate.Milliseconds()
	switch {
	case job.ID != "":
	case intent != "":
		job.ID = "j-" + intent
	default:
		job.ID = "j-" + uuid.NewString()
	}
	if s.deadline == "" {
		return job, nil
	}
	at, err := time.Parse(time.RFC3339, s.deadline)
	if err != nil {
		return job, fmt.Errorf("%w: --deadline: %w", errUsage, err)
	}
	job.Deadline = at
	return job, nil
}
