package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const agentsHelp = `List agents, the processes beside backend servers, or drain one: it gets no new work
and finishes what runs.`

const agentsExample = `  knapctl agents
  knapctl agents drain agent-3
  knapctl agents undrain agent-3`

// newAgents returns the command that lists and drains agents.
func newAgents(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "agents",
		Short:   "List or drain agents",
		Long:    agentsHelp,
		Example: agentsExample,
		Args:    exactly(),
		RunE: show(a, func(ctx context.Context, o *client.Operator, _ []string) (client.AgentList, error) {
			return o.Agents(ctx)
		}, func(list client.AgentList) *table { return agentTable(list.Agents...) }),
	}
	cmd.AddCommand(
		newAgentVerb(a, "drain", "Give an agent no more work", (*client.Operator).DrainAgent),
		newAgentVerb(a, "undrain", "Give an agent work again", (*client.Operator).UndrainAgent),
	)
	return cmd
}

func newAgentVerb(a *app, verb, short string, do func(*client.Operator, context.Context, string) (client.Agent, error)) *cobra.Command {
	return &cobra.Command{
		Use:     verb + " AGENT",
		Short:   short,
		Example: "  knapctl agents " + verb + " agent-3",
		Args:    exactly("AGENT"),
		RunE: a.with(func(cmd *cobra.Command, o *client.Operator, args []string) error {
			agent, err := do(o, cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return a.print(cmd, agent, func() *table { return agentTable(agent) })
		}),
	}
}

func agentTable(agents ...client.Agent) *table {
	t := &table{head: []string{"AGENT", "STATE", "SERVICE", "BACKEND", "DOMAIN", "SLOTS", "FREE", "SEEN"}}
	for _, g := range agents {
		t.add(g.Name, g.State, g.Service, g.Backend, g.Domain, g.Slots, g.FreeSlots, g.LastSeen)
	}
	return t
}
