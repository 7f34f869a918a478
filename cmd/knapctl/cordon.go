package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const cordonHelp = `Cordon a worker, a rack or a failure domain: it keeps its running work and gets no new
work.`

// newCordon returns the command that cordons workers.
func newCordon(a *app) *cobra.Command {
	return newScopeCommand(a, model.OpCordon, "cordon", "Stop placing new work on workers", cordonHelp)
}

// newScopeCommand returns a command that applies an operation to a worker, a
// rack or a failure domain.
func newScopeCommand(a *app, kind model.OpKind, name, short, long string) *cobra.Command {
	var flags proposeFlags
	cmd := &cobra.Command{
		Use:       name + " worker|rack|domain NAME",
		Short:     short,
		Long:      long,
		Example:   fmt.Sprintf("  knapctl %s worker w03\n  knapctl %s rack a-r1 --confirm", name, name),
		ValidArgs: []string{string(model.ProximityWorker), string(model.ProximityRack), string(model.ProximityDomain)},
		Args:      exactly("SCOPE", "NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			scope := model.Proximity(args[0])
			if scope != model.ProximityWorker && scope != model.ProximityRack && scope != model.ProximityDomain {
				return fmt.Errorf("%w: %q: want worker, rack or domain", errUsage, args[0])
			}
			return a.propose(cmd, flags, model.Intent{Ops: []model.Op{{Kind: kind, Scope: scope, Name: args[1]}}})
		},
	}
	flags.addFlags(cmd)
	return cmd
}
