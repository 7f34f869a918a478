//go:build race

package e2e

// buildFlags make the processes look for data races when the tests do.
var buildFlags = []string{"-race"}
