package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const versionHelp = `Print the version of knapd and the roles that it was built with.`

// newVersion returns the command that prints the version.
func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Long:  versionHelp,
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintln(cmd.OutOrStdout(), "knapd", kern.Version())
			for _, r := range kern.Roles() {
				fmt.Fprintln(cmd.OutOrStdout(), "role", r.Name())
			}
			return nil
		},
	}
}
