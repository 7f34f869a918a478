package main

import (
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
)

const relayHelp = `Run a TCP relay to a target.

Its control address serves GET and PUT /state with
{"up":"pass","down":"silent","delayms":0} (modes: pass, silent, refuse), and POST
/silence, after which all open connections forward no more data until they close.`

// newRelay returns the command that runs a relay.
func newRelay() *cobra.Command {
	var addr, control, target string
	cmd := &cobra.Command{
		Use:     "relay",
		Short:   "Run a TCP relay that can stop forwarding data",
		Long:    relayHelp,
		Example: "  knapfake relay --target 127.0.0.1:7400 --control 127.0.0.1:9001",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ln, err := listen(cmd, "listening", addr)
			if err != nil {
				return err
			}
			controlLn, err := listen(cmd, "control", control)
			if err != nil {
				return err
			}
			r := fakes.NewRelay(target)
			g, ctx := errgroup.WithContext(cmd.Context())
			g.Go(func() error { return r.Serve(ctx, ln) })
			g.Go(func() error { return r.ServeControl(ctx, controlLn) })
			return g.Wait()
		},
	}
	f := cmd.Flags()
	f.StringVar(&addr, "listen", "127.0.0.1:0", "address to listen at")
	f.StringVar(&control, "control", "127.0.0.1:0", "address of the HTTP control interface")
	f.StringVar(&target, "target", "", "address to forward connections to")
	_ = cmd.MarkFlagRequired("target")
	return cmd
}
