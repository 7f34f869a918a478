package e2e

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestKnapctlCommands runs knapctl against real processes: every listing as a
// table and as JSON, and a job from submission to cancellation.
func TestKnapctlCommands(t *testing.T) {
	c := newReadyCluster(t, clusterSize{controls: 3, entries: 1, agents: 1, workers: 4})
	key := filepath.Join(c.dir, "op.key")
	require.NoError(t, os.WriteFile(key, []byte(operatorKey), 0o600))
	knapctl := func(args ...string) (string, error) {
		dir, err := buildOnce()
		require.NoError(t, err)
		args = append(args, "--server", "http://"+c.callAddrs[0], "--operator", operatorName, "--key-file", key)
		out, err := exec.Command(filepath.Join(dir, "knapctl"), args...).CombinedOutput()
		return string(out), err
	}
	out, err := knapctl("submit", "--id", "s1", "--job", "j1", "--team", "linen", "--members", "1", "--accels", "1", "--near", "worker", "--estimate", "1h", "--command", "sleep 1h", "--confirm")
	require.NoError(t, err, out)
	for _, cmd := range []string{
		"teams", "services", "jobs", "job j1", "explain j1", "workers", "agents", "config history", "config diff 0 1",
		"config status", "members list", "report guarantees", "report fragmentation",
	} {
		for _, format := range []string{"table", "json"} {
			out, err := knapctl(append(strings.Fields(cmd), "--output", format)...)
			require.NoError(t, err, "%s: %s", cmd, out)
			require.NotEmpty(t, strings.TrimSpace(out), cmd)
			if format == "json" {
				require.True(t, json.Valid([]byte(out)), "%s: %s", cmd, out)
			}
		}
	}
	out, err = knapctl("cancel", "j1", "--confirm")
	require.NoError(t, err, out)
	c.awaitJobState("j1", 20e9, "cancelled")
	out, err = knapctl("job", "no-such-job")
	require.Error(t, err)
	require.Contains(t, out, "notfound")
}
