package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const agentsHelp = `List agents, the processes that run next to backend servers, or drain one: it gets no
new work and finishes its running work.`

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
		newAgentAction(a, "drain", "Stop sending work to an agent", (*client.Operator).DrainAgent),
		newAgentAction(a, "undrain", "Send work to an agent again", (*client.Operator).UndrainAgent),
	)
	return cmd
}

func newAgentAction(a *app, name, short string, action func(*client.Operator, context.Context, string) (client.Agent, error)) *cobra.Command {
	return &cobra.Command{
		Use:     name + " AGENT",
		Short:   short,
		Example: "  knapctl agents " + name + " agent-3",
		Args:    exactly("AGENT"),
		RunE: a.withOperator(func(cmd *cobra.Command, o *client.Operator, args []string) error {
			agent, err := action(o, cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return a.print(cmd, agent, func() *table { return agentTable(agent) })
		}),
	}
}

func agentTable(agents ...client.Agent) *table {
	t := &table{header: []string{"AGENT", "STATE", "SERVICE", "BACKEND", "DOMAIN", "SLOTS", "FREE", "SEEN"}}
	for _, g := range agents {
		t.add(g.Name, g.State, g.Service, g.Backend, g.Domain, g.Slots, g.FreeSlots, g.LastSeen)
	}
	return t
}
