package main

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const configHelp = `Print every setting with its type, its default and a description. A dash means that
the setting has no default.`

// newConfig returns the command that prints every setting.
func newConfig() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:     "config",
		Short:   "Print every setting with its default",
		Long:    configHelp,
		Example: "  knapd config\n  knapd config --output json",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings := kern.ListSettings(kern.Roles())
			switch output {
			case "json":
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(settings)
			case "table":
				return kern.WriteSettings(cmd.OutOrStdout(), settings)
			default:
				return errors.Wrapf(kern.ErrSettings, "--output %q: want table or json", output)
			}
		},
	}
	cmd.Flags().StringVarP(&output, "output", "o", "table", "output format: table or json")
	return cmd
}
