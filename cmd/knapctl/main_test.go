package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const testKey = "000102030405060708090a0b0c0d0e0f"

// result holds the exit code and the output of a run of knapctl.
type result struct {
	code           int
	stdout, stderr string
}

func run(t *testing.T, stdin string, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	root := newRoot(&app{})
	root.SetArgs(args)
	root.SetIn(strings.NewReader(stdin))
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	code := execute(t.Context(), root)
	return result{code, stdout.String(), stderr.String()}
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// serveAnswer starts a server that answers every request with v, and returns the
// flags that make knapctl use it.
func serveAnswer(t *testing.T, status int, v any) []string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	}))
	t.Cleanup(srv.Close)
	return clientFlags(t, srv.URL)
}

func clientFlags(t *testing.T, url string) []string {
	return []string{"--server", url, "--operator", "ala", "--key-file", writeFile(t, testKey+"\n")}
}

func TestExitCodes(t *testing.T) {
	refusal := func(c client.Code) []string {
		return serveAnswer(t, c.Status(), client.ErrorBody{Error: &client.Error{Code: c, Message: "m"}})
	}
	plan := func(s model.PlanState) []string { return serveAnswer(t, http.StatusOK, model.Plan{ID: "p", State: s}) }
	tests := map[string]struct {
		flags []string
		args  []string
		code  int
	}{
		"success":            {serveAnswer(t, 200, client.TeamList{}), []string{"teams"}, exitOK},
		"not found":          {refusal(client.CodeNotFound), []string{"job", "j"}, exitError},
		"unknown command":    {nil, []string{"appply"}, exitUsage},
		"unknown subcommand": {nil, []string{"members", "lst"}, exitUsage},
		"unknown flag":       {nil, []string{"teams", "--colour"}, exitUsage},
		"argument missing":   {nil, []string{"job"}, exitUsage},
		"no server":          {clientFlags(t, "")[2:], []string{"teams"}, exitUsage},
		"bad server":         {clientFlags(t, "127.0.0.1:1"), []string{"teams"}, exitUsage},
		"bad output":         {refusal(client.CodeMalformed), []string{"teams", "-o", "xml"}, exitUsage},
		"bad scope":          {nil, []string{"drain", "host", "w1"}, exitUsage},
		"submit no flags":    {nil, []string{"submit"}, exitUsage},
		"conflict":           {refusal(client.CodeConflict), []string{"confirm", "p"}, exitConflict},
		"plan in conflict":   {plan(model.PlanConflict), []string{"confirm", "p"}, exitConflict},
		"plan expired":       {plan(model.PlanExpired), []string{"confirm", "p"}, exitConflict},
		"plan refused":       {plan(model.PlanRefused), []string{"cancel", "j"}, exitRefused},
		"denied":             {refusal(client.CodeDenied), []string{"workers"}, exitRefused},
		"unreachable":        {clientFlags(t, "http://127.0.0.1:1"), []string{"workers"}, exitUnreachable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := run(t, "", append(tt.args, tt.flags...)...)
			require.Equal(t, tt.code, got.code, got.stderr)
		})
	}
}

// Every command that reads from the server prints the answer as a table and as
// JSON.
func TestReadCommands(t *testing.T) {
	job := model.Job{ID: "x1", Team: "linen", Members: []model.Member{{Worker: "w00"}}}
	tests := map[string]any{
		"teams":                client.TeamList{Teams: []model.Team{{Name: "x1"}}},
		"services":             client.ServiceList{Services: []model.Service{{Name: "x1"}}},
		"jobs":                 client.JobList{Jobs: []model.Job{job}},
		"job x1":               job,
		"explain x1":           client.Explanation{Job: job, Reason: "waits"},
		"workers":              client.WorkerList{Workers: []model.Worker{{Name: "x1"}}},
		"agents":               client.AgentList{Agents: []client.Agent{{Name: "x1"}}},
		"agents drain x1":      client.Agent{Name: "x1"},
		"config":               client.Config{Teams: []model.Team{{Name: "x1"}}},
		"config history":       client.History{Revisions: []client.Revision{{Intent: "x1"}}},
		"config diff 1 2":      client.Diff{Changes: []model.Change{{Subject: "x1"}}},
		"config status":        client.Status{Processes: []client.Process{{Name: "x1", Revision: 9}}},
		"members list":         client.MemberList{Members: []client.Member{{Name: "x1"}}},
		"members promote x1":   client.MemberList{Members: []client.Member{{Name: "x1"}}},
		"report guarantees":    client.GuaranteeReport{Lines: []client.GuaranteeLine{{Team: "x1"}}},
		"report fragmentation": client.FragmentationReport{Lines: []client.FragmentationLine{{Shape: "x1"}}},
		"plan p":               model.Plan{ID: "p", State: model.PlanRefused, Refusals: []model.Refusal{{Field: "x1"}}},
	}
	for commandLine, answer := range tests {
		t.Run(commandLine, func(t *testing.T) {
			args := append(strings.Fields(commandLine), serveAnswer(t, http.StatusOK, answer)...)
			got := run(t, "", args...)
			require.Equal(t, exitOK, got.code, got.stderr)
			require.Contains(t, got.stdout, "x1")
			got = run(t, "", append(args, "--output", "json")...)
			require.Equal(t, exitOK, got.code, got.stderr)
			want, err := json.Marshal(answer)
			require.NoError(t, err)
			require.JSONEq(t, string(want), got.stdout)
		})
	}
}

// fakeControl is a fake control process that drops the connection instead of
// answering the first intent.
type fakeControl struct {
	intents  []model.Intent
	confirms int
}

func (c *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/confirm") {
		c.confirms++
		_ = json.NewEncoder(w).Encode(model.Plan{ID: "p1", State: model.PlanConfirmed, Revision: 8})
		return
	}
	var in model.Intent
	_ = json.NewDecoder(r.Body).Decode(&in)
	c.intents = append(c.intents, in)
	if len(c.intents) == 1 {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(model.Plan{ID: "p1", State: model.PlanOpen, Changes: []model.Change{{Subject: "team linen"}}})
}

func TestApply(t *testing.T) {
	intent := `{"ops":[{"kind":"set-team","team":{"name":"linen","weight":1}}]}`
	tests := map[string]struct {
		stdin    string
		args     []string
		confirms int
		want     string
	}{
		"answer yes":      {"y\n", nil, 1, "confirmed"},
		"answer no":       {"n\n", nil, 0, "open"},
		"empty input":     {"", nil, 0, "open"},
		"confirmed":       {"", []string{"--confirm"}, 1, "confirmed"},
		"dry run":         {"y\n", []string{"--confirm", "--dry-run"}, 0, "open"},
		"JSON, no prompt": {"y\n", []string{"-o", "json"}, 0, `"state": "open"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeControl{}
			srv := httptest.NewServer(c)
			defer srv.Close()
			args := append([]string{"apply", writeFile(t, intent)}, clientFlags(t, srv.URL)...)
			got := run(t, tt.stdin, append(args, tt.args...)...)
			require.Equal(t, exitOK, got.code, got.stderr)
			require.Contains(t, got.stdout, tt.want)
			require.Equal(t, tt.confirms, c.confirms)
			require.Len(t, c.intents, 2)
			require.Equal(t, c.intents[0], c.intents[1])
			require.NotEmpty(t, c.intents[0].ID)
			require.Equal(t, "ala", c.intents[0].Operator)
		})
	}
}

func TestApplyRefusesBadFile(t *testing.T) {
	got := run(t, "", "apply", writeFile(t, `{"opps":[],"ops":[{"kind":"set-team","team":{"title":"x","slots":"8"}}]}`))
	require.Equal(t, exitUsage, got.code)
	for _, field := range []string{"opps", "ops[0].team.title", "ops[0].team.slots"} {
		require.Contains(t, got.stderr, field)
	}
	got = run(t, "", "apply", writeFile(t, `{"ops":[`))
	require.Equal(t, exitUsage, got.code)
	require.Contains(t, got.stderr, "line 1")
}

func TestSubmitSameIntentNamesSameJob(t *testing.T) {
	s := submitFlags{job: model.Job{Team: "linen", Command: "sleep 1s"}, deadline: "2026-04-05T06:00:00Z", memoryGiB: 2}
	job, err := s.buildJob("i1")
	require.NoError(t, err)
	again, err := s.buildJob("i1")
	require.NoError(t, err)
	require.Equal(t, job, again)
	require.Equal(t, "j-i1", job.ID)
	require.EqualValues(t, 2<<30, job.Shape.Memory)
}

func TestDumpDerivesToken(t *testing.T) {
	master := []byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}
	want := "Bearer " + kern.AdminToken(kern.DeriveKey(master, "agent-3"))
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != want {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_, _ = w.Write([]byte(`{"roles":{}}`))
	}))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	got := run(t, "", append([]string{"dump", addr, "--node", "agent-3"}, clientFlags(t, srv.URL)...)...)
	require.Equal(t, result{exitOK, `{"roles":{}}`, ""}, got)
	got = run(t, "", append([]string{"dump", addr, "--node", "agent-4"}, clientFlags(t, srv.URL)...)...)
	require.Equal(t, exitRefused, got.code)
}

func TestKeyCommands(t *testing.T) {
	generated := run(t, "", "key", "new")
	require.Equal(t, exitOK, generated.code)
	path := writeFile(t, generated.stdout)
	one := run(t, "", "key", "derive", "agent-1", "--key-file", path)
	two := run(t, "", "key", "derive", "agent-2", "--key-file", path)
	require.Len(t, strings.TrimSpace(one.stdout), 64)
	require.NotEqual(t, one.stdout, two.stdout)
	require.Equal(t, exitUsage, run(t, "", "key", "derive", "a", "--key-file", writeFile(t, "abcd")).code)
}

func TestProfileFromFile(t *testing.T) {
	args := serveAnswer(t, http.StatusOK, client.WorkerList{Workers: []model.Worker{{Name: "w00"}}})
	text, err := json.Marshal(profile{Servers: []string{args[1]}, Operator: "ala", KeyFile: args[5]})
	require.NoError(t, err)
	got := run(t, "", "workers", "--config", writeFile(t, string(text)))
	require.Equal(t, exitOK, got.code, got.stderr)
	require.Contains(t, got.stdout, "w00")
}

func TestEveryCommandHasHelp(t *testing.T) {
	var check func(*cobra.Command)
	check = func(c *cobra.Command) {
		require.NotEmpty(t, c.Short, c.CommandPath())
		if c.HasParent() && c.Name() != "version" {
			require.NotEmpty(t, c.Example, c.CommandPath())
		}
		for _, sub := range c.Commands() {
			check(sub)
		}
	}
	check(newRoot(&app{}))
}
