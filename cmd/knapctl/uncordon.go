package main

import (
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const uncordonHelp = `Place work again on a worker, a rack or a failure domain that was cordoned or drained.`

// newUncordon returns the command that ends a cordon or a drain.
func newUncordon(a *app) *cobra.Command {
	return newScopeCommand(a, model.OpUncordon, "uncordon", "Place work on workers again", uncordonHelp)
}
