package kern

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// stuck is a writer that nobody reads from.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestLogWriterNeverBlocks(t *testing.T) {
	s := stuck{make(chan struct{})}
	l := newLines(s, 1<<20)
	var g errgroup.Group
	g.Go(func() error { l.run(); return nil })
	for range 3 * lineQueue {
		_, err := l.Write([]byte("x\n"))
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, l.dropped.Load(), uint64(lineQueue))
	close(s.release)
	l.close()
	require.NoError(t, g.Wait())
}

func TestLogWriterCountsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	l := newLines(&out, 10)
	for range 30 {
		_, _ = l.Write([]byte("{}\n"))
	}
	l.close()
	l.run()
	require.Equal(t, 10, strings.Count(out.String(), "{}"))
	require.Contains(t, out.String(), `"lines":20`)
	_, err := l.Write([]byte("late\n"))
	require.NoError(t, err, "a line after the end is left out")
}

func BenchmarkLogLine(b *testing.B) {
	l := newLines(&bytes.Buffer{}, 1<<30)
	var g errgroup.Group
	g.Go(func() error { l.run(); return nil })
	b.Cleanup(func() { l.close(); _ = g.Wait() })
	line := []byte(strings.Repeat("x", 300))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = l.Write(line)
	}
}
