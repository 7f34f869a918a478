package place

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed, so that a run gives the same verdict every time. A
// seed on the command line goes first.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if name == "rapid.seed" && given {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
