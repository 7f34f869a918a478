package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const cordonHelp = `Cordon a worker, a rack or a failure domain: it keeps its work and gets no more.`

// newCordon returns the command that cordons workers.
func newCordon(a *app) *cobra.Command {
	return newScoped(a, model.OpCordon, "cordon", "Give workers no more work", cordonHelp)
}

// newScoped returns a command that changes a worker, a rack or a failure domain.
func newScoped(a *app, kind model.OpKind, verb, short, long string) *cobra.Command {
	var p proposal
	cmd := &cobra.Command{
		Use:       verb + " worker|rack|domain NAME",
		Short:     short,
		Long:      long,
		Example:   fmt.Sprintf("  knapctl %s worker w03\n  knapctl %s rack a-r1 --confirm", verb, verb),
		ValidArgs: []string{string(model.ProximityWorker), string(model.ProximityRack), string(model.ProximityDomain)},
		Args:      exactly("SCOPE", "NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			scope := model.Proximity(args[0])
			if scope != model.ProximityWorker && scope != model.ProximityRack && scope != model.ProximityDomain {
				return fmt.Errorf("%w: %q: want worker, rack or domain", errUsage, args[0])
			}
			return a.propose(cmd, p, model.Intent{Ops: []model.Op{{Kind: kind, Scope: scope, Name: args[1]}}})
		},
	}
	p.addFlags(cmd)
	return cmd
}
