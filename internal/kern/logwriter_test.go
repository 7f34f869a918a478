package kern

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestLogWriterNeverBlocks(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	l := newLogWriter(w, 1<<20)
	var g errgroup.Group
	g.Go(func() error { l.run(); return nil })
	for range 3 * maxQueuedLines {
		_, err := l.Write([]byte("x\n"))
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, l.dropped.Load(), uint64(maxQueuedLines))
	close(w.release)
	l.close()
	require.NoError(t, g.Wait())
}

func TestLogWriterCountsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	l := newLogWriter(&out, 10)
	for range 30 {
		_, _ = l.Write([]byte("{}\n"))
	}
	l.close()
	l.run()
	require.Equal(t, 10, strings.Count(out.String(), "{}"))
	require.Contains(t, out.String(), `"lines":20`)
	_, err := l.Write([]byte("late\n"))
	require.NoError(t, err, "a write after close must not fail")
}

func BenchmarkLogLine(b *testing.B) {
	l := newLogWriter(&bytes.Buffer{}, 1<<30)
	var g errgroup.Group
	g.Go(func() error { l.run(); return nil })
	b.Cleanup(func() { l.close(); _ = g.Wait() })
	line := []byte(strings.Repeat("x", 300))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = l.Write(line)
	}
}
