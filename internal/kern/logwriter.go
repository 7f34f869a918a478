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
	lineQueue  = 1024 // lines; further ones are dropped
	dropReport = time.Second
)

// lines passes log lines to a writer without ever blocking the caller. Lines
// that exceed the rate limit or find the queue full are dropped and counted.
type lines struct {
	w       io.Writer
	limit   *rate.Limiter
	queue   chan []byte
	dropped atomic.Uint64

	mu     sync.RWMutex // guards closed against sends on the queue
	closed bool
}

func newLines(w io.Writer, perSecond int) *lines {
	return &lines{w: w, limit: rate.NewLimiter(rate.Limit(perSecond), perSecond), queue: make(chan []byte, lineQueue)}
}

// Write implements io.Writer. It never fails and never blocks.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return len(p), nil
	}
	if !l.limit.Allow() {
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
func (l *lines) run() {
	t := time.NewTicker(dropReport)
	defer t.Stop()
	for {
		select {
		case line, ok := <-l.queue:
			if !ok {
				l.tell()
				return
			}
			_, _ = l.w.Write(line)
		case <-t.C:
			l.tell()
		}
	}
}

// tell writes a line with the number of lines dropped since the previous report.
func (l *lines) tell() {
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(l.w, `{"level":"warn","time":%q,"msg":"log lines left out","lines":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), n)
	}
}

// close makes run write the queued lines and return. Later lines are discarded.
func (l *lines) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
}
