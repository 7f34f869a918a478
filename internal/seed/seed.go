// Package seed fixes the random seed of property tests, so that repeated runs
// give the same result.
package seed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultFlags holds the values of rapid's flags that apply unless the command
// line sets them.
var defaultFlags = map[string]string{
	"rapid.seed":       "20261204",
	"rapid.nofailfile": "true",
	"rapid.shrinktime": "10s",
}

// Main runs a package's tests with a fixed seed and exits. Flags on the command
// line take precedence. It is called by TestMain.
func Main(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range defaultFlags {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, "seed:", err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
