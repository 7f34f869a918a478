package kern

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"
)

// withSignals serves the daemon. SIGTERM and SIGINT stop it gracefully, a second
// one at once; SIGUSR1 writes a dump to the log.
func withSignals(ctx context.Context, d *Daemon) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		defer close(done)
		return d.Serve(ctx)
	})
	stop := d.Stop
	for {
		select {
		case <-done:
			return g.Wait()
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				d.LogDump()
				continue
			}
			stop()
			stop = d.Abort
		}
	}
}
