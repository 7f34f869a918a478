package kern

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	maxQueuedLines     = 1024 // for a slow reader; further lines are dropped
	dropReportInterval = time.Second
)

// logWriter passes log lines to a writer without ever blocking the caller. Lines
// that exceed the rate limit or find the queue full are dropped and counted.
type logWriter struct {
	w       io.Writer
	limiter *rate.Limiter
	queue   chan []byte
	dropped atomic.Uint64

	mu     sync.RWMutex // guards closed against sends on the queue
	closed bool
}

func newLogWriter(w io.Writer, perSecond int) *logWriter {
	return &logWriter{w: w, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond), queue: make(chan []byte, maxQueuedLines)}
}

// Write implements io.Writer. It never fails and never blocks.
func (l *logWriter) Write(p []byte) (int, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return len(p), nil
	}
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return len(p), nil
	}
	select {
	case l.queue <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// run writes queued lines until close is called. Errors of the writer are
// ignored, because there is nowhere to report them.
func (l *logWriter) run() {
	t := time.NewTicker(dropReportInterval)
	defer t.Stop()
	for {
		select {
		case line, ok := <-l.queue:
			if !ok {
				l.reportDropped()
				return
			}
			_, _ = l.w.Write(line)
		case <-t.C:
			l.reportDropped()
		}
	}
}

// reportDropped writes a line with the number of lines dropped since the
// previous report.
func (l *logWriter) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(l.w, `{"level":"warn","time":%q,"msg":"log lines left out","lines":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), n)
	}
}

// close makes run write the queued lines and return. Later lines are discarded.
func (l *logWriter) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
}
