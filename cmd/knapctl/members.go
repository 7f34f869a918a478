package main

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const membersHelp = `List, add, promote, remove or replace replicas of the log. A new replica joins as a
learner and votes only after it has caught up and was promoted. replace adds and
promotes a new replica and then removes the old one.`

const membersExample = `  knapctl members list
  knapctl members add ctl-4 --addr 10.0.0.4:7500 --domain b
  knapctl members promote ctl-4
  knapctl members replace ctl-2 --with ctl-4 --addr 10.0.0.4:7500 --domain b`

// newMembers returns the command that lists and changes the replicas of the log.
func newMembers(a *app) *cobra.Command {
	cmd := commandGroup(&cobra.Command{Use: "members", Short: "List or change the replicas of the log", Long: membersHelp, Example: membersExample})
	cmd.AddCommand(
		newMembersList(a),
		newMemberChange(a, client.MemberAdd, "Add a learner"),
		newMemberChange(a, client.MemberPromote, "Promote a learner that has caught up"),
		newMemberChange(a, client.MemberRemove, "Remove a replica"),
		newMemberChange(a, client.MemberReplace, "Replace a replica with a new one"),
	)
	return cmd
}

func newMembersList(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the replicas of the log",
		Example: "  knapctl members list --output json",
		Args:    exactly(),
		RunE: show(a, func(ctx context.Context, o *client.Operator, _ []string) (client.MemberList, error) {
			return o.Members(ctx)
		}, memberTable),
	}
}

func newMemberChange(a *app, verb client.MemberVerb, short string) *cobra.Command {
	template := client.MemberChange{Verb: verb}
	cmd := &cobra.Command{
		Use:     string(verb) + " MEMBER",
		Short:   short,
		Example: "  knapctl members " + string(verb) + " ctl-4",
		Args:    exactly("MEMBER"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := a.checkOutput(); err != nil {
				return err
			}
			o, name, err := a.operator()
			if err != nil {
				return err
			}
			if verb == client.MemberReplace && template.Replacement == "" {
				return fmt.Errorf("%w: --with is required", errUsage)
			}
			change := template
			change.ID, change.Operator, change.Name = firstNonEmpty(template.ID, uuid.NewString()), name, args[0]
			list, err := o.ChangeMembers(cmd.Context(), change)
			if err != nil {
				return err
			}
			return a.print(cmd, list, func() *table { return memberTable(list) })
		},
	}
	f := cmd.Flags()
	f.StringVar(&template.ID, "id", "", "id of the change; set it to send an earlier change again (default: generated)")
	if verb == client.MemberAdd || verb == client.MemberReplace {
		f.StringVar(&template.Addr, "addr", "", "IP address and port of the new replica")
		f.StringVar(&template.Domain, "domain", "", "failure domain of the new replica")
	}
	if verb == client.MemberReplace {
		f.StringVar(&template.Replacement, "with", "", "name of the new replica")
	}
	return cmd
}

func memberTable(list client.MemberList) *table {
	t := &table{header: []string{"MEMBER", "ROLE", "ADDR", "DOMAIN", "MATCH", "LAG", "REPAIR", "LIVE"}}
	for _, m := range list.Members {
		t.add(m.Name, m.Role, m.Addr, m.Domain, m.MatchIndex, m.Lag, m.Repair, m.Live)
	}
	return t
}
