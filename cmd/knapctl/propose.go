package main

import (
	"bufio"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// proposeFlags holds the flags of commands that send an intent.
type proposeFlags struct {
	id      string
	base    uint64
	confirm bool
	dryRun  bool
}

func (p *proposeFlags) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&p.id, "id", "", "id of the intent; set it to send an earlier intent again (default: generated)")
	f.Uint64Var(&p.base, "base", 0, "revision that the change is based on; 0 means the latest")
	f.BoolVar(&p.confirm, "confirm", false, "confirm the plan without asking")
	f.BoolVar(&p.dryRun, "dry-run", false, "only show the plan")
}

// propose sends an intent, prints its plan and confirms it if requested. All
// attempts use the same intent id, so the intent is carried out at most once.
func (a *app) propose(cmd *cobra.Command, flags proposeFlags, intent model.Intent) error {
	if err := a.checkOutput(); err != nil {
		return err
	}
	o, name, err := a.operator()
	if err != nil {
		return err
	}
	intent.Operator = name
	intent.ID = firstNonEmpty(flags.id, intent.ID, uuid.NewString())
	intent.DryRun = intent.DryRun || flags.dryRun
	if flags.base != 0 {
		intent.BaseRevision = flags.base
	}
	plan, err := o.Propose(cmd.Context(), intent)
	if errors.Is(err, client.ErrUnreachable) || errors.Is(err, client.ErrUnavailable) {
		return errors.Wrapf(err, "send it again with --id %s", intent.ID)
	}
	if err != nil {
		return err
	}
	return a.decidePlan(cmd, o, flags, intent, plan)
}

// decidePlan prints a plan and confirms it if it is open and the flags or the
// operator say so.
func (a *app) decidePlan(cmd *cobra.Command, o *client.Operator, flags proposeFlags, intent model.Intent, plan model.Plan) error {
	if plan.State != model.PlanOpen || intent.DryRun {
		return a.reportPlan(cmd, plan)
	}
	if !flags.confirm {
		if err := a.printPlan(cmd, plan); err != nil {
			return err
		}
		// JSON output is for programs, which can't answer a prompt.
		if a.output == outputJSON || !askToConfirm(cmd) {
			fmt.Fprintf(cmd.ErrOrStderr(), "not confirmed; confirm it with: knapctl confirm %s\n", plan.ID)
			return nil
		}
	}
	return a.confirmPlan(cmd, o, plan.ID)
}

// confirmPlan confirms a plan and prints it.
func (a *app) confirmPlan(cmd *cobra.Command, o *client.Operator, id string) error {
	plan, err := o.Confirm(cmd.Context(), id)
	if errors.Is(err, client.ErrUnreachable) || errors.Is(err, client.ErrUnavailable) {
		return errors.Wrapf(err, "the plan may have been confirmed; check with: knapctl plan %s", id)
	}
	if err != nil {
		return err
	}
	return a.reportPlan(cmd, plan)
}

// askToConfirm prompts for confirmation. Anything but y or yes, and the end of
// the input, means no.
func askToConfirm(cmd *cobra.Command) bool {
	fmt.Fprint(cmd.ErrOrStderr(), "confirm? [y/N] ")
	line, _ := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}

// reportPlan prints a plan and returns an error if it was refused, has expired or
// is in conflict with another change.
func (a *app) reportPlan(cmd *cobra.Command, plan model.Plan) error {
	if err := a.printPlan(cmd, plan); err != nil {
		return err
	}
	switch plan.State {
	case model.PlanRefused:
		return errors.Wrapf(client.ErrRefused, "plan %s", plan.ID)
	case model.PlanConflict, model.PlanExpired:
		return errors.Wrapf(client.ErrConflict, "plan %s is in state %s", plan.ID, plan.State)
	default:
		return nil
	}
}

func (a *app) printPlan(cmd *cobra.Command, plan model.Plan) error {
	return a.print(cmd, plan, func() *table { return planTable(plan) })
}

func planTable(plan model.Plan) *table {
	t := &table{header: []string{"PLAN", plan.ID, string(plan.State)}}
	t.add("base", plan.BaseRevision, "")
	if plan.Revision != 0 {
		t.add("revision", plan.Revision, "")
	}
	t.add("deadline", plan.Deadline, "")
	for _, c := range plan.Changes {
		t.add("change", c.Subject, fmt.Sprintf("%s -> %s", formatCell(c.Before), formatCell(c.After)))
	}
	for _, id := range plan.PreemptedJobs {
		t.add("preempts", id, "")
	}
	for _, g := range plan.AffectedGuarantees {
		t.add("touches", g, "")
	}
	for _, r := range plan.Refusals {
		t.add("refused", r.Field, strings.TrimSpace(r.Value+" "+r.Reason))
	}
	return t
}
