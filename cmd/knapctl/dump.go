package main

import (
	"github.com/dghubble/sling"
	"github.com/spf13/cobra"
)

const dumpHelp = `Print the state of one process as JSON, read from its admin listener. --key-file names
a file with the node's own key (keys.self of its settings) or, with --node, with the
master key of its role.`

// newDump returns the command that dumps a process.
func newDump(a *app) *cobra.Command {
	var f adminFlags
	cmd := &cobra.Command{
		Use:     "dump ADDRESS",
		Short:   "Print the state of one process as JSON",
		Long:    dumpHelp,
		Example: "  knapctl dump 10.0.0.4:7901 --key-file agent.key --node agent-3",
		Args:    exactly("ADDRESS"),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := a.adminRequest(cmd, f, args[0], func(s *sling.Sling) *sling.Sling { return s.Get("/dump") })
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		},
	}
	f.addFlags(cmd)
	return cmd
}
