// Package seed fixes the seed of property tests, so that a run gives the same
// verdict every time.
package seed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaults are the flags of rapid that a run uses unless told otherwise.
var defaults = map[string]string{
	"rapid.seed":       "20261204",
	"rapid.nofailfile": "true",
	"rapid.shrinktime": "10s",
}

// Main runs a package's tests with fixed seeds. Flags on the command line go
// first. It is called by TestMain.
func Main(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaults {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, "seed:", err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
