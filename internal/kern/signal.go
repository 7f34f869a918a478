package kern

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// fileCheckInterval is how often the settings file is checked for changes. The
// cost of one stat call per second is negligible.
const fileCheckInterval = time.Second

// serveWithSignals runs the daemon. SIGTERM or SIGINT stops it gracefully, a second
// one at once. SIGUSR1 writes a dump to the log. SIGHUP, or a change of the
// settings file, reloads the settings.
func serveWithSignals(ctx context.Context, d *Daemon, path string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		defer close(done)
		return d.Serve(ctx)
	})
	watch := newFileWatch(path)
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	stop := d.Stop
	for {
		select {
		case <-done:
			return g.Wait()
		case <-ticker.C:
			if watch.changed() {
				d.Reload(path, "file changed")
			}
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				d.LogDump()
			case syscall.SIGHUP:
				watch.changed()
				d.Reload(path, "SIGHUP")
			default:
				stop()
				stop = d.Abort
			}
		}
	}
}

// fileWatch detects that a file was written or replaced.
type fileWatch struct {
	path    string
	size    int64
	modTime time.Time // of the last modification
}

func newFileWatch(path string) *fileWatch {
	f := &fileWatch{path: path}
	f.changed()
	return f
}

// changed reports whether the file differs from the previous call. A file that
// can't be read counts as unchanged.
func (f *fileWatch) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil || (info.Size() == f.size && info.ModTime().Equal(f.modTime)) {
		return false
	}
	f.size, f.modTime = info.Size(), info.ModTime()
	return true
}
