// Command knapctl is the command-line client of knapweedlug for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

const rootHelp = `knapctl is the command-line client for operators. Operators state what they want as an
intent, the system answers with a plan, and nothing changes until the plan is confirmed.

The servers, the operator's name and the key file are taken from the flags, then from
the environment, then from the settings file ($KNAPCTL_CONFIG or --config), which is JSON:
  {"servers": ["http://10.0.0.1:7300"], "operator": "ala", "keyfile": "ala.key"}
Environment: KNAPCTL_SERVER (comma-separated), KNAPCTL_OPERATOR, KNAPCTL_KEY_FILE.

Exit codes:
  0  success
  1  error
  2  wrong usage or invalid settings
  3  conflict: another change came first
  4  refused: it can't be carried out, or isn't allowed
  5  not reachable`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(execute(ctx, newRoot(&app{})))
}

// execute runs the command line and returns the exit code.
func execute(ctx context.Context, root *cobra.Command) int {
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(root.ErrOrStderr(), "knapctl:", err)
	}
	return exitCode(err)
}

// newRoot returns the command line of knapctl.
func newRoot(a *app) *cobra.Command {
	root := commandGroup(&cobra.Command{
		Use:           "knapctl",
		Short:         "Command-line client of knapweedlug for operators",
		Long:          rootHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
	})
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fmt.Errorf("%w: %w", errUsage, err)
	})
	a.addFlags(root.PersistentFlags())
	root.AddCommand(
		newApply(a), newConfirm(a), newPlan(a), newSubmit(a), newCancel(a),
		newCordon(a), newDrain(a), newUncordon(a), newEvacuate(a), newWithdraw(a), newEvacuations(a),
		newJobs(a), newJob(a), newExplain(a), newTeams(a), newServices(a), newWorkers(a),
		newAgents(a), newConfig(a), newMembers(a), newReport(a),
		newDump(a), newLogLevel(a), newKey(a), newVersion(),
	)
	return root
}
