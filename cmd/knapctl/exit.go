package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// Exit codes of knapctl.
const (
	exitOK          = 0
	exitError       = 1
	exitUsage       = 2
	exitConflict    = 3
	exitRefused     = 4
	exitUnreachable = 5
)

var errUsage = errors.New("wrong usage")

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage), errors.Is(err, client.ErrNoServer):
		return exitUsage
	case errors.Is(err, client.ErrConflict):
		return exitConflict
	case errors.Is(err, client.ErrRefused), errors.Is(err, client.ErrForbidden), errors.Is(err, client.ErrDenied):
		return exitRefused
	case errors.Is(err, client.ErrUnreachable), errors.Is(err, client.ErrUnavailable):
		return exitUnreachable
	default:
		return exitError
	}
}

// exactly accepts exactly one argument for each name.
func exactly(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return fmt.Errorf("%w: got %d arguments, want %d: %v", errUsage, len(args), len(names), names)
		}
		return nil
	}
}

// atLeastOne accepts one or more arguments.
func atLeastOne(_ *cobra.Command, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: got no arguments, want one or more", errUsage)
	}
	return nil
}

// commandGroup prepares a command that only has subcommands: it prints its help
// and rejects unknown subcommands.
func commandGroup(cmd *cobra.Command) *cobra.Command {
	cmd.Args = func(_ *cobra.Command, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("%w: unknown command %q for %s", errUsage, args[0], cmd.CommandPath())
		}
		return nil
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return cmd.Help() }
	return cmd
}
