package main

import (
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const drainHelp = `Drain a worker, a rack or a failure domain: its work is checkpointed and moved, and it
gets no more. For an agent beside a backend server, see knapctl agents drain.`

// newDrain returns the command that drains workers.
func newDrain(a *app) *cobra.Command {
	return newScoped(a, model.OpDrain, "drain", "Move the work off workers", drainHelp)
}
