package main

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const runHelp = `Run the roles that a settings file names.

SIGTERM or SIGINT stops gracefully: the roles accept no new work and get up to
drain.seconds to finish running work. A second signal stops at once. SIGUSR1 writes
the state of every role to the log, as one JSON line. SIGHUP, or a change of the
file, reloads the settings; only settings that can change at run time take effect.`

// newRun returns the command that runs the daemon.
func newRun() *cobra.Command {
	return &cobra.Command{
		Use:     "run FILE",
		Short:   "Run the roles that a settings file names",
		Long:    runHelp,
		Example: "  knapd run entry.json",
		Args:    exactlyOneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := load(cmd.ErrOrStderr(), args[0])
			if err != nil {
				return err
			}
			return kern.Run(cmd.Context(), args[0], cfg)
		},
	}
}

// load reads a settings file and writes its problems to w, one per line.
func load(w io.Writer, path string) (*kern.Config, error) {
	cfg, problems, err := kern.Load(path)
	if err != nil {
		return nil, err
	}
	for _, p := range problems {
		fmt.Fprintln(w, p)
	}
	if len(problems) > 0 {
		return nil, errors.Wrapf(kern.ErrSettings, "%s has %d problems", path, len(problems))
	}
	return cfg, nil
}
