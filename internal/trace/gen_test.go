package trace_test

import (
	"compress/gzip"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/load"
	"github.com/knapweedlug/knapweedlug/internal/trace"
)

var generate = flag.Bool("generate", false, "write the traces under testdata anew")

// The spans of the crest trace.
const (
	crestStart  = 20 * time.Second
	crestEnd    = 28 * time.Second
	crestFinish = 50 * time.Second
	genSeed     = 7
)

// generated are the traces under testdata by file name.
var generated = map[string]load.Scenario{
	"crest.jsonl.gz":    load.CustomCrest(genSeed, 2, crestStart, crestEnd, crestFinish),
	"gradinka.jsonl.gz": load.Gradinka(genSeed, 0.8, true, 40*time.Second),
}

// TestGenerate writes the traces if the flag is set.
func TestGenerate(t *testing.T) {
	if !*generate {
		return
	}
	for name, s := range generated {
		f, err := os.Create("testdata/" + name)
		require.NoError(t, err)
		zip := gzip.NewWriter(f)
		w, err := trace.NewWriter(zip, s.Header())
		require.NoError(t, err)
		load.RunRecorded(s, load.Credits, func(e trace.Event) { require.NoError(t, w.Write(e)) })
		require.NoError(t, w.Flush())
		require.NoError(t, zip.Close())
		require.NoError(t, f.Close())
	}
}
