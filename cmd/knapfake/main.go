// Command knapfake runs the stand-ins of outside systems as processes, for tests
// and for the demo.
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

const rootHelp = `knapfake runs a stand-in of one outside system: the platform, a backend server, or
a TCP relay that can silence connections. It is for tests and for the demo.

Each prints one line "listening ADDRESS" on standard output once it serves.`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{Use: "knapfake", Short: "Stand-ins of outside systems", Long: rootHelp, SilenceUsage: true}
	root.AddCommand(newPlatform(), newBackend(), newRelay())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// listen opens a TCP listener and says where.
func listen(cmd *cobra.Command, what, addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(cmd.OutOrStdout(), what, ln.Addr())
	return ln, nil
}
