package trace_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/trace"
)

const headerLine = `{"version":1,"cluster":"c","start":"2026-01-01T00:00:00Z","slots":8,"teams":[],"services":[]}` + "\n"

// readAll reads a whole trace. On an error it returns the events before it.
func readAll(text string) ([]trace.Event, error) {
	r, err := trace.NewReader(strings.NewReader(text))
	if err != nil {
		return nil, err
	}
	var out []trace.Event
	for {
		e, err := r.Read()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, e)
	}
}

// TestReadErrorNamesLineAndField checks that each invalid trace is refused with
// the line, the field and the reason.
func TestReadErrorNamesLineAndField(t *testing.T) {
	long := strings.Repeat("x", trace.MaxLineBytes+1)
	for _, c := range []struct {
		name, text string
		wantReason error
		wantLine   int
		wantField  string
	}{
		{"empty", "", trace.ErrMissing, 1, "header"},
		{"version", strings.Replace(headerLine, `"version":1`, `"version":2`, 1), trace.ErrVersion, 1, "version"},
		{"cluster", strings.Replace(headerLine, `"c"`, `""`, 1), trace.ErrMissing, 1, "cluster"},
		{"slots", strings.Replace(headerLine, `8`, `0`, 1), trace.ErrBadValue, 1, "slots"},
		{"not JSON", headerLine + "arrive\n", trace.ErrSyntax, 2, "line"},
		{"two values", headerLine + `{"at":1,"kind":"cancel","id":"1"}{}` + "\n", trace.ErrSyntax, 2, "line"},
		{"unknown field", headerLine + `{"at":1,"kind":"cancel","id":"1","what":2}`, trace.ErrSyntax, 2, "line"},
		{"type", headerLine + `{"at":"soon","kind":"cancel"}`, trace.ErrBadValue, 2, "at"},
		{"kind", headerLine + `{"at":1,"kind":"leave","id":"1"}`, trace.ErrBadValue, 2, "kind"},
		{"id", headerLine + `{"at":1,"kind":"cancel"}`, trace.ErrMissing, 2, "id"},
		{"team", headerLine + `{"at":1,"kind":"arrive","id":"1"}`, trace.ErrMissing, 2, "team"},
		{"order", headerLine + `{"at":2,"kind":"cancel","id":"1"}` + "\n" + `{"at":1,"kind":"cancel","id":"2"}`, trace.ErrOrder, 3, "at"},
		{"long line", headerLine + `{"at":1,"id":"` + long + `"}`, trace.ErrTooLong, 2, "line"},
		{"long name", headerLine + `{"at":1,"kind":"cancel","id":"` + long[:300] + `"}`, trace.ErrTooLong, 2, "name"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := readAll(c.text)
			require.ErrorIs(t, err, c.wantReason)
			var fieldErr *trace.FieldError
			require.ErrorAs(t, err, &fieldErr)
			require.Equal(t, c.wantLine, fieldErr.Line)
			require.Equal(t, c.wantField, fieldErr.Field)
		})
	}
}

// TestWriteReadRoundTrip checks that events are read as they were written.
func TestWriteReadRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []trace.Event
		at := int64(0)
		name := rapid.StringMatching(`[a-z0-9-]{1,20}`)
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			at += rapid.Int64Range(0, 1_000_000).Draw(t, "step")
			want = append(want, trace.Event{
				OffsetMicros: at, ID: name.Draw(t, "id"), Team: name.Draw(t, "team"), Service: name.Draw(t, "service"),
				Kind:       rapid.SampledFrom([]trace.Kind{trace.Arrive, trace.Refuse, trace.Answer}).Draw(t, "kind"),
				Class:      rapid.SampledFrom([]admit.Class{"", admit.Short, admit.Long}).Draw(t, "class"),
				AtMostOnce: rapid.Bool().Draw(t, "once"), RunMicros: rapid.Int64Range(0, 1<<40).Draw(t, "took"),
			})
		}
		var buf bytes.Buffer
		h := trace.Header{Cluster: "c", Slots: 1, Start: time.Unix(0, 0).UTC()}
		w, err := trace.NewWriter(&buf, h)
		require.NoError(t, err)
		for _, e := range want {
			require.NoError(t, w.Write(e))
		}
		require.NoError(t, w.Flush())
		got, err := readAll(buf.String())
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

// FuzzRead checks that no input makes the reader panic or loop.
func FuzzRead(f *testing.F) {
	f.Add(headerLine + `{"at":1,"kind":"cancel","id":"1"}` + "\n")
	f.Add(headerLine + "{}\n\n{")
	f.Add("\x00")
	f.Add(headerLine + `{"at":5,"kind":"arrive","id":"1","team":"a","service":"s","deadline":9}` + "\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, _ := readAll(text)
		if len(events) > len(text) {
			t.Fatal("more events than bytes")
		}
	})
}
