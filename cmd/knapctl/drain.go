package main

import (
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const drainHelp = `Drain a worker, a rack or a failure domain: its running work is checkpointed and moved,
and it gets no new work. To drain an agent, see knapctl agents drain.`

// newDrain returns the command that drains workers.
func newDrain(a *app) *cobra.Command {
	return newScopeCommand(a, model.OpDrain, "drain", "Move all work away from workers", drainHelp)
}
