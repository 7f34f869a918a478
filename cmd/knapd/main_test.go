package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

func execute(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&out)
	err := root.ExecuteContext(t.Context())
	return kern.ExitCode(err), out.String()
}

func TestCheckPrintsEveryProblem(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"clutser":"c","node":{"zone":"z"}}`), 0o600))
	for _, command := range []string{"check", "run"} {
		code, out := execute(t, command, path)
		require.Equal(t, kern.ExitSettings, code)
		for _, field := range []string{"clutser", "node.zone", "cluster", "node.name", "keys.self", "roles"} {
			require.Contains(t, out, field+": ")
		}
	}
}

func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{{"rnu"}, {"check"}, {"check", "a", "b"}, {"config", "--color"}, {"config", "x"}, {"config", "-o", "xml"}} {
		code, _ := execute(t, args...)
		require.Equal(t, kern.ExitSettings, code, args)
	}
}

func TestConfigAndVersion(t *testing.T) {
	for _, args := range [][]string{{"config"}, {"config", "-o", "json"}} {
		code, out := execute(t, args...)
		require.Equal(t, kern.ExitOK, code)
		require.Contains(t, out, "drain.seconds")
		require.Contains(t, out, "30")
	}
	code, out := execute(t, "version")
	require.Equal(t, kern.ExitOK, code)
	require.Contains(t, out, "knapd ")
}
