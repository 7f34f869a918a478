//go:build race

package e2e

// buildFlags builds the programs with the race detector if the tests have it.
var buildFlags = []string{"-race"}
