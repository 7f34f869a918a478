package main

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const submitHelp = `Submit a job: a gang of members of equal size, all of which run at the same time or not
at all. The plan shows where the job would run and what it would stop.`

const submitExample = `  knapctl submit --team linen --members 2 --accels 8 --cores 16 --memory 64 --near rack \
    --estimate 20m --command "render pall-7" --confirm`

// submitFlags holds the flags of submit: a job, and the fields that are converted
// before they are set in the job.
type submitFlags struct {
	job       model.Job
	memoryGiB int64
	near      string
	urgency   string
	estimate  time.Duration
	deadline  string
}

// newSubmit returns the command that submits a job.
func newSubmit(a *app) *cobra.Command {
	var flags proposeFlags
	var submit submitFlags
	cmd := &cobra.Command{
		Use:     "submit",
		Short:   "Submit a job",
		Long:    submitHelp,
		Example: submitExample,
		Args:    exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			job, err := submit.buildJob(flags.id)
			if err != nil {
				return err
			}
			return a.propose(cmd, flags, model.Intent{Ops: []model.Op{{Kind: model.OpSubmitJob, Job: &job}}})
		},
	}
	submit.addFlags(cmd)
	flags.addFlags(cmd)
	return cmd
}

func (s *submitFlags) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&s.job.ID, "job", "", "id of the job (default: generated)")
	f.StringVar(&s.job.Team, "team", "", "team that the job belongs to")
	f.StringVar(&s.job.Command, "command", "", "command that each member runs")
	f.IntVar(&s.job.Shape.Members, "members", 1, "number of members of the gang")
	f.IntVar(&s.job.Shape.Accels, "accels", 1, "accelerators per member")
	f.IntVar(&s.job.Shape.Cores, "cores", 1, "cores per member")
	f.Int64Var(&s.memoryGiB, "memory", 1, "memory per member in GiB")
	f.StringVar(&s.near, "near", string(model.ProximityAny), "scope within which all members must be placed: worker, rack, domain or any")
	f.StringVar(&s.job.Shape.Kind, "kind", "", "kind of accelerator (default: any)")
	f.StringVar(&s.urgency, "urgency", string(model.Normal), "urgency: urgent, normal or low")
	f.DurationVar(&s.estimate, "estimate", time.Hour, "estimated run time at speed 1.0")
	f.StringVar(&s.deadline, "deadline", "", "time by which the job must have ended, in RFC 3339 format")
	f.BoolVar(&s.job.Stoppable, "stoppable", true, "the job may be checkpointed and stopped for a reclaim")
	f.BoolVar(&s.job.Idempotent, "idempotent", true, "the job may be started again after an unknown outcome")
}

// buildJob returns the job. Unless it is set, the job's id is derived from the
// intent's id if that is given, so that sending the intent again names the same
// job.
func (s *submitFlags) buildJob(intentID string) (model.Job, error) {
	job := s.job
	if job.Team == "" || job.Command == "" {
		return job, fmt.Errorf("%w: --team and --command are required", errUsage)
	}
	job.Shape.Memory = s.memoryGiB << 30
	job.Shape.Proximity = model.Proximity(s.near)
	job.Urgency = model.Urgency(s.urgency)
	job.EstimateMs = s.estimate.Milliseconds()
	switch {
	case job.ID != "":
	case intentID != "":
		job.ID = "j-" + intentID
	default:
		job.ID = "j-" + uuid.NewString()
	}
	if s.deadline == "" {
		return job, nil
	}
	deadline, err := time.Parse(time.RFC3339, s.deadline)
	if err != nil {
		return job, fmt.Errorf("%w: --deadline: %w", errUsage, err)
	}
	job.Deadline = deadline
	return job, nil
}
