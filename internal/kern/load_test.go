package kern_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

func parse(text string) (*kern.Config, []kern.Problem, error) {
	return kern.Parse([]byte(text), []kern.Role{&echoRole{}})
}

func TestParseFillsDefaults(t *testing.T) {
	cfg, problems, err := parse(settingsText(`{"limit": 3}`))
	require.NoError(t, err)
	require.Empty(t, problems)
	require.Equal(t, "info", cfg.Log.Level)
	require.Equal(t, "127.0.0.1:0", cfg.Admin.Listen)
	require.Equal(t, &echoSettings{Listen: "127.0.0.1:0", Limit: 3}, cfg.Role("echo"))
	require.Equal(t, kern.Node{Cluster: "linen", Name: "n1", Domain: "a", Region: "pl"}, cfg.Identity())
	require.Len(t, cfg.Secrets().Self, kern.MinKeyBytes)
}

func TestParseReportsProblems(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string // fields, in order
	}{
		"unknown fields, several at once": {
			`{"cluster":"c","clutser":"c","node":{"name":"n","zone":"z","domain":"a","region":"r"},
			  "keys":{"self":"` + selfKey + `"},"roles":{"echo":{"lisen":"x","limit":1}}}`,
			[]string{"clutser", "node.zone", "roles.echo.lisen"},
		},
		"wrong types": {
			`{"cluster":7,"node":[],"drain":{"seconds":"30"},"log":{"level":null},"keys":{"self":"` + selfKey + `"},
			  "roles":{"echo":{"limit":1.5,"peers":{"a":1}}}}`,
			[]string{"cluster", "node", "drain.seconds", "log.level", "roles.echo.limit", "roles.echo.peers", "node.name"},
		},
		"field given twice": {
			strings.Replace(settingsText(`{"limit":1}`), `"cluster"`, `"cluster": "other", "cluster"`, 1),
			[]string{"cluster"},
		},
		"unknown role":         {strings.Replace(settingsText(`{}`), `"echo"`, `"entri"`, 1), []string{"roles.entri"}},
		"role isn't an object": {settingsText(`null`), []string{"roles.echo"}},
		"no role":              {strings.Replace(settingsText(`{}`), `"echo": {}`, ``, 1), []string{"roles"}},
		"values out of bounds": {
			settingsText(`{"limit":0,"listen":"localhost:80","peers":["127.0.0.1:1","x"],"secret":"zz"}`),
			[]string{"roles.echo.listen", "roles.echo.peers[1]", "roles.echo.limit", "roles.echo.secret"},
		},
		"key too short": {strings.Replace(settingsText(`{}`), selfKey, "abcd", 1), []string{"keys.self"}},
		"bad role key": {
			strings.Replace(settingsText(`{}`), `"keys": {`, `"keys": {"roles": {"agent": "zz"}, `, 1),
			[]string{"keys.roles.agent"},
		},
		"same listener twice": {
			strings.Replace(settingsText(`{"listen":"127.0.0.1:7400"}`), `"drain"`, `"admin": {"listen": "0.0.0.0:7400"}, "drain"`, 1),
			[]string{"roles.echo.listen"},
		},
		"listener by tag": {
			strings.Replace(settingsText(`{"nodes":"127.0.0.1:7400"}`), `"drain"`, `"admin": {"listen": "127.0.0.1:7400"}, "drain"`, 1),
			[]string{"roles.echo.nodes"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cfg, problems, err := parse(tt.text)
			require.NoError(t, err)
			require.Nil(t, cfg)
			var fields []string
			for _, p := range problems {
				fields = append(fields, p.Field)
				require.NotEmpty(t, p.Want, p.Field)
			}
			require.Subset(t, fields, tt.want)
			require.Subset(t, tt.want, fields[:len(tt.want)])
		})
	}
}

func TestParseHidesSecrets(t *testing.T) {
	text := strings.Replace(settingsText(`{"secret":"hunter2"}`), selfKey, "0badc0de", 1)
	_, problems, err := parse(text)
	require.NoError(t, err)
	require.Len(t, problems, 2)
	for _, p := range problems {
		require.NotContains(t, p.String(), "hunter2")
		require.NotContains(t, p.String(), "0badc0de")
	}
}

// A settings file that was truncated anywhere is rejected with the position of
// the error.
func TestParseTruncatedFile(t *testing.T) {
	whole := settingsText(`{"limit": 3}`)
	for n := range len(whole) - 1 {
		cfg, _, err := parse(whole[:n])
		require.ErrorIs(t, err, kern.ErrSettings, "%d bytes", n)
		require.Contains(t, err.Error(), "line ", "%d bytes", n)
		require.Nil(t, cfg)
	}
	_, _, err := parse("{\n  \"cluster\": \"c\",\n  oops}")
	require.ErrorContains(t, err, "line 3, column 3")
}

func TestParseDeepNesting(t *testing.T) {
	text := strings.Repeat(`{"a":`, 5000) + "1" + strings.Repeat("}", 5000)
	_, _, err := parse(text)
	require.ErrorIs(t, err, kern.ErrSettings)
}

func TestLoadMissingAndLargeFile(t *testing.T) {
	_, _, err := kern.Load(filepath.Join(t.TempDir(), "none.json"))
	require.ErrorIs(t, err, kern.ErrSettings)
	path := filepath.Join(t.TempDir(), "large.json")
	require.NoError(t, os.WriteFile(path, []byte(strings.Repeat(" ", 2<<20)), 0o600))
	_, _, err = kern.Load(path)
	require.ErrorIs(t, err, kern.ErrSettings)
	require.Equal(t, kern.ExitSettings, kern.ExitCode(err))
}

func TestEverySettingHasHelp(t *testing.T) {
	for _, h := range kern.ListSettings([]kern.Role{&echoRole{}}) {
		require.NotEmpty(t, h.Help, h.Field)
	}
}

// FuzzParse checks that no input makes the decoder panic, and that all input that
// it accepts is valid JSON.
func FuzzParse(f *testing.F) {
	f.Add(settingsText(`{"limit": 3}`))
	f.Add(settingsText(`{"peers": [1, null, {}], "limit": 1e400}`))
	f.Add(`{"roles": [1], "roles": {"echo": 3}, "keys": {"roles": {"": "x"}}}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, text string) {
		cfg, problems, err := parse(text)
		if err == nil && len(problems) == 0 {
			require.True(t, json.Valid([]byte(text)))
			require.NotNil(t, cfg)
		}
	})
}
