package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const versionHelp = `Print the version of knapctl.`

// newVersion returns the command that prints the version.
func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Long:  versionHelp,
		Args:  exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintln(cmd.OutOrStdout(), "knapctl", kern.Version())
			return nil
		},
	}
}
