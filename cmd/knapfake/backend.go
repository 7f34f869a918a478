package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
)

const backendHelp = `Run a fake backend server, which announces itself to its agent every second.

It serves POST /work?ms=N (N milliseconds of work at speed 1.0) and GET /healthz.
For tests: GET /journal, PUT /leave, and PUT /fault with
{"fails":false,"frozen":false,"cut":false,"huge":0,"latems":0,"mute":false}.
On SIGTERM it tells its agent that it leaves, finishes its work and exits.`

// newBackend returns the command that runs a fake backend server.
func newBackend() *cobra.Command {
	var addr string
	var grace time.Duration
	var cfg fakes.BackendConfig
	cmd := &cobra.Command{
		Use:     "backend",
		Short:   "Run a fake backend server",
		Long:    backendHelp,
		Example: "  knapfake backend --id b1 --service rota --agent http://127.0.0.1:7401 --speed 0.8",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ln, err := listen(cmd, "listening", addr)
			if err != nil {
				return err
			}
			// The command's context is canceled at the first SIGTERM, but running
			// work must still finish.
			ctx, cancel := context.WithCancel(context.WithoutCancel(cmd.Context()))
			defer cancel()
			b := fakes.NewBackend(cfg, fakes.WallClock{})
			var g errgroup.Group
			g.Go(func() error { return b.Serve(ctx, ln) })
			g.Go(func() error {
				defer cancel()
				<-cmd.Context().Done()
				return leave(ctx, b, ln.Addr().String(), grace)
			})
			return g.Wait()
		},
	}
	f := cmd.Flags()
	f.StringVar(&addr, "listen", "127.0.0.1:0", "address to listen at")
	f.StringVar(&cfg.ID, "id", "b1", "id of the backend server")
	f.StringVar(&cfg.Service, "service", "demo", "service that it provides")
	f.StringVar(&cfg.AgentURL, "agent", "", "base URL of its agent")
	f.IntVar(&cfg.Slots, "slots", fakes.DefaultSlots, "maximum number of concurrent requests")
	f.IntVar(&cfg.MaxConns, "conns", fakes.DefaultMaxConns, "maximum number of connections")
	f.Float64Var(&cfg.Speed, "speed", 1, "speed of its work; 1.0 is the reference")
	f.DurationVar(&grace, "grace", 10*time.Second, "how long running work may take to finish after SIGTERM")
	return cmd
}

// leave announces that the server leaves and waits until its work has finished.
// A second signal ends the wait.
func leave(ctx context.Context, b *fakes.Backend, addr string, grace time.Duration) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	return b.Leave(ctx, addr)
}
