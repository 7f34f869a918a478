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

// proposal holds the flags of each command that proposes a change.
type proposal struct {
	id      string
	base    uint64
	confirm bool
	dryRun  bool
}

func (p *proposal) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&p.id, "id", "", "id of the intent, to send an earlier one again; made up if not given")
	f.Uint64Var(&p.base, "base", 0, "revision that the change is meant for; the latest if 0")
	f.BoolVar(&p.confirm, "confirm", false, "confirm the plan without asking")
	f.BoolVar(&p.dryRun, "dry-run", false, "show the plan only")
}

// propose sends an intent, shows its plan and confirms it if wanted. The intent
// keeps its id over every attempt, so it is carried out once.
func (a *app) propose(cmd *cobra.Command, p proposal, in model.Intent) error {
	if err := a.checkOutput(); err != nil {
		return err
	}
	o, name, err := a.operator()
	if err != nil {
		return err
	}
	in.Operator = name
	in.ID = first(p.id, in.ID, uuid.NewString())
	in.DryRun = in.DryRun || p.dryRun
	if p.base != 0 {
		in.BaseRevision = p.base
	}
	plan, err := o.Propose(cmd.Context(), in)
	if errors.Is(err, client.ErrUnreachable) || errors.Is(err, client.ErrUnavailable) {
		return errors.Wrapf(err, "send it again with --id %s", in.ID)
	}
	if err != nil {
		return err
	}
	return a.settle(cmd, o, p, in, plan)
}

// settle shows a plan and confirms it if it can be and is to be.
func (a *app) settle(cmd *cobra.Command, o *client.Operator, p proposal, in model.Intent, plan model.Plan) error {
	if plan.State != model.PlanOpen || in.DryRun {
		return a.finish(cmd, plan)
	}
	if !p.confirm {
		if err := a.printPlan(cmd, plan); err != nil {
			return err
		}
		// JSON is for programs, which can't be asked.
		if a.output == outputJSON || !ask(cmd) {
			fmt.Fprintf(cmd.ErrOrStderr(), "not confirmed; confirm it with: knapctl confirm %s\n", plan.ID)
			return nil
		}
	}
	return a.confirm(cmd, o, plan.ID)
}

// confirm confirms a plan and shows it.
func (a *app) confirm(cmd *cobra.Command, o *client.Operator, id string) error {
	plan, err := o.Confirm(cmd.Context(), id)
	if errors.Is(err, client.ErrUnreachable) || errors.Is(err, client.ErrUnavailable) {
		return errors.Wrapf(err, "it may be confirmed; see with: knapctl plan %s", id)
	}
	if err != nil {
		return err
	}
	return a.finish(cmd, plan)
}

// ask asks for a yes. Anything else, and the end of the input, is a no.
func ask(cmd *cobra.Command) bool {
	fmt.Fprint(cmd.ErrOrStderr(), "confirm? [y/N] ")
	line, _ := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}

// finish shows a plan and returns the error that its state stands for.
func (a *app) finish(cmd *cobra.Command, plan model.Plan) error {
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
	t := &table{head: []string{"PLAN", plan.ID, string(plan.State)}}
	t.add("base", plan.BaseRevision, "")
	if plan.Revision != 0 {
		t.add("revision", plan.Revision, "")
	}
	t.add("deadline", plan.Deadline, "")
	for _, c := range plan.Changes {
		t.add("change", c.Subject, fmt.Sprintf("%s -> %s", cell(c.Before), cell(c.After)))
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
