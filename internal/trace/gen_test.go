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

var generate = flag.Bool("generate", false, "rewrite the traces under testdata")

// Parameters of the generated traces. The overload trace has three times the
// capacity arrive between overloadStart and overloadEnd.
const (
	overloadStart    = 20 * time.Second
	overloadEnd      = 28 * time.Second
	overloadTraceEnd = 50 * time.Second
	generatorSeed    = 7
)

// generatedTraces are the scenarios of the traces under testdata, by file name.
var generatedTraces = map[string]load.Scenario{
	"crest.jsonl.gz":    load.CustomCrest(generatorSeed, 2, overloadStart, overloadEnd, overloadTraceEnd),
	"gradinka.jsonl.gz": load.Gradinka(generatorSeed, 0.8, true, 40*time.Second),
}

// TestGenerate rewrites the traces if the flag -generate is set.
func TestGenerate(t *testing.T) {
	if !*generate {
		return
	}
	for name, scenario := range generatedTraces {
		f, err := os.Create("testdata/" + name)
		require.NoError(t, err)
		gz := gzip.NewWriter(f)
		w, err := trace.NewWriter(gz, scenario.Header())
		require.NoError(t, err)
		load.RunRecorded(scenario, load.Credits, func(e trace.Event) { require.NoError(t, w.Write(e)) })
		require.NoError(t, w.Flush())
		require.NoError(t, gz.Close())
		require.NoError(t, f.Close())
	}
}
