package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const applyHelp = `Send an intent from a JSON file, show the plan for it, and ask whether to confirm it.
If FILE is -, the intent is read from standard input; the plan is then confirmed only
with --confirm.

The intent's id is generated once and used for every attempt, so a retry after a lost
response is safe. Use --id to send an earlier intent again.`

const applyExample = `  knapctl apply team.json
  knapctl apply team.json --confirm --output json
  echo '{"ops":[{"kind":"drop-team","name":"spare"}]}' | knapctl apply - --dry-run`

// newApply returns the command that sends an intent.
func newApply(a *app) *cobra.Command {
	var flags proposeFlags
	cmd := &cobra.Command{
		Use:     "apply FILE",
		Short:   "Send an intent and confirm its plan",
		Long:    applyHelp,
		Example: applyExample,
		Args:    exactly("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readInput(cmd, args[0])
			if err != nil {
				return err
			}
			var intent model.Intent
			if err := decodeFile(args[0], text, &intent); err != nil {
				return err
			}
			return a.propose(cmd, flags, intent)
		},
	}
	flags.addFlags(cmd)
	return cmd
}

// readInput reads a file, or standard input if path is "-".
func readInput(cmd *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(path)
}
