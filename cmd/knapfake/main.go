// Command knapfake runs fakes of external systems as processes, for tests and
// for the demo.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

const rootHelp = `knapfake runs a fake of one external system: the platform, a backend server, or a
TCP relay that can stop forwarding data. It is meant for tests and for the demo.

Each command prints the line "listening ADDRESS" on standard output once it serves.`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{Use: "knapfake", Short: "Fakes of external systems", Long: rootHelp, SilenceUsage: true}
	root.AddCommand(newPlatform(), newBackend(), newRelay())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// listen opens a TCP listener and prints a line with the label and its address.
func listen(cmd *cobra.Command, label, addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(cmd.OutOrStdout(), label, ln.Addr())
	return ln, nil
}
