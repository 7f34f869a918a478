package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const configHelp = `Show the configuration in force, its history, the changes between two revisions, or
the revision that each process uses.`

const configExample = `  knapctl config
  knapctl config history
  knapctl config diff 41 44
  knapctl config status`

// newConfig returns the command that shows the configuration.
func newConfig(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "config",
		Short:   "Show the configuration and its history",
		Long:    configHelp,
		Example: configExample,
		Args:    exactly(),
		RunE: show(a, func(ctx context.Context, o *client.Operator, _ []string) (client.Config, error) {
			return o.Config(ctx)
		}, configTable),
	}
	cmd.AddCommand(newConfigHistory(a), newConfigDiff(a), newConfigStatus(a))
	return cmd
}

func configTable(cfg client.Config) *table {
	t := &table{header: []string{"REVISION", strconv.FormatUint(cfg.Revision, 10)}}
	for _, team := range cfg.Teams {
		t.add("team", team.Name)
	}
	for _, s := range cfg.Services {
		t.add("service", s.Name)
	}
	return t
}

func newConfigHistory(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "List accepted changes, newest first",
		Example: "  knapctl config history --output json",
		Args:    exactly(),
		RunE: show(a, func(ctx context.Context, o *client.Operator, _ []string) (client.History, error) {
			return o.History(ctx)
		}, historyTable),
	}
}

func newConfigDiff(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FROM TO",
		Short:   "Show the changes between two revisions",
		Example: "  knapctl config diff 41 44",
		Args:    exactly("FROM", "TO"),
		RunE: a.withOperator(func(cmd *cobra.Command, o *client.Operator, args []string) error {
			from, err := parseRevision(args[0])
			if err != nil {
				return err
			}
			to, err := parseRevision(args[1])
			if err != nil {
				return err
			}
			d, err := o.Diff(cmd.Context(), from, to)
			if err != nil {
				return err
			}
			return a.print(cmd, d, func() *table { return changeTable(d.Changes) })
		}),
	}
}

func parseRevision(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: revision %q: want a whole number", errUsage, text)
	}
	return n, nil
}

func changeTable(changes []model.Change) *table {
	t := &table{header: []string{"WHAT", "BEFORE", "AFTER"}}
	for _, c := range changes {
		t.add(c.Subject, c.Before, c.After)
	}
	return t
}

func newConfigStatus(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "List the revision that each process uses",
		Example: "  knapctl config status",
		Args:    exactly(),
		RunE: show(a, func(ctx context.Context, o *client.Operator, _ []string) (client.Status, error) {
			return o.Status(ctx)
		}, statusTable),
	}
}

func historyTable(h client.History) *table {
	t := &table{header: []string{"REVISION", "AT", "OPERATOR", "INTENT", "CHANGES"}}
	for _, r := range h.Revisions {
		t.add(r.Revision, r.At, r.Operator, r.Intent, len(r.Changes))
	}
	return t
}

func statusTable(s client.Status) *table {
	t := &table{header: []string{"PROCESS", "ROLE", "DOMAIN", "REVISION", "BEHIND", "FRESH", "SEEN"}}
	for _, p := range s.Processes {
		t.add(p.Name, p.Role, p.Domain, p.Revision, s.Revision-min(p.Revision, s.Revision), p.Fresh, p.LastSeen)
	}
	return t
}
