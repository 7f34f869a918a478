package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

const checkHelp = `Check a settings file and print every problem with its field, its value and what is
expected. Nothing is started. The exit code is 2 if there is a problem.`

// newCheck returns the command that checks a settings file.
func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file",
		Long:    checkHelp,
		Example: "  knapd check entry.json",
		Args:    exactlyOneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := load(cmd.ErrOrStderr(), args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good, roles %v\n", args[0], cfg.RoleNames())
			return nil
		},
	}
}
