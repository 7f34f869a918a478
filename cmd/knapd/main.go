// Command knapd is the daemon of knapweedlug. One process runs the roles that
// its settings file names.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const rootHelp = `knapd is the daemon of knapweedlug. One process runs one or more roles, each with
its own section of a JSON settings file.

Exit codes:
  0  stopped gracefully
  1  a role failed
  2  invalid settings or wrong usage
  3  the drain deadline passed with work still running
  4  a role can't use its data folder`

func main() {
	root := newRoot()
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "knapd:", err)
		os.Exit(kern.ExitCode(err))
	}
}

// newRoot returns the command line of knapd.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "knapd",
		Short:         "Daemon of knapweedlug",
		Long:          rootHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.Args = noArgs
	root.RunE = func(cmd *cobra.Command, _ []string) error { return cmd.Help() }
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fmt.Errorf("%w: %w", kern.ErrSettings, err)
	})
	root.AddCommand(newRun(), newCheck(), newConfig(), newVersion())
	return root
}

// exactlyOneFile accepts exactly one argument, the settings file.
func exactlyOneFile(_ *cobra.Command, args []string) error {
	if len(args) != 1 {
		return errors.Wrap(kern.ErrSettings, "want exactly one argument, the settings file")
	}
	return nil
}

// noArgs accepts no arguments.
func noArgs(_ *cobra.Command, args []string) error {
	if len(args) != 0 {
		return errors.Wrapf(kern.ErrSettings, "unexpected argument %q", args[0])
	}
	return nil
}
