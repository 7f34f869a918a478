package main

import (
	"fmt"
	"strings"
)

// slopeRow describes a row of the table of slopes: a metric that was measured over
// a parameter.
type slopeRow struct {
	role, resource       string
	prefix, unit         string
	parameter, shownUnit string
}

var slopeRows = []slopeRow{
	{"agent", "processor time", "BenchmarkEntries/entries=", "agent-cpu-%", "entry that it is connected to", "% of a core"},
	{"agent", "bytes read and written", "BenchmarkEntries/entries=", "agent-KB/s", "entry that it is connected to", "KB/s"},
	{"agent", "resident memory", "BenchmarkEntries/entries=", "agent-MB", "entry that it is connected to", "MB"},
	{"entry", "processor time", "BenchmarkAgents/agents=", "entry-cpu-%", "connected agent", "% of a core"},
	{"entry", "bytes read and written", "BenchmarkAgents/agents=", "entry-KB/s", "connected agent", "KB/s"},
	{"entry", "resident memory", "BenchmarkAgents/agents=", "entry-MB", "connected agent", "MB"},
	{"control, follower", "processor time", "BenchmarkAgents/agents=", "follower-cpu-%", "agent of the cluster, a third of them served here", "% of a core"},
	{"control, follower", "bytes read and written", "BenchmarkAgents/agents=", "follower-KB/s", "agent of the cluster, a third of them served here", "KB/s"},
	{"control, follower", "resident memory", "BenchmarkAgents/agents=", "follower-MB", "agent of the cluster, a third of them served here", "MB"},
	{"control, leader", "processor time", "BenchmarkAgents/agents=", "leader-cpu-%", "agent of the cluster, a third of them served here", "% of a core"},
	{"control, leader", "bytes read and written", "BenchmarkAgents/agents=", "leader-KB/s", "agent of the cluster, a third of them served here", "KB/s"},
	{"control, leader", "resident memory", "BenchmarkAgents/agents=", "leader-MB", "agent of the cluster, a third of them served here", "MB"},
}

// slopeTable returns the table of the fitted lines and the ranges over which they
// were measured.
func slopeTable(fs measurements) (string, error) {
	var b strings.Builder
	b.WriteString("| role | what | for each | slope | base | unit | measured from | to | farthest point off the line |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range slopeRows {
		l, err := fs.fit(s.prefix, s.unit)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.4g | %s | %.0f | %.0f | %.0f %% |\n",
			s.role, s.resource, s.parameter, l.slope, l.intercept, s.shownUnit, l.minParam, l.maxParam, 100*l.maxDeviation)
	}
	return b.String(), nil
}

// Sizes of the planned fleet and of its deployment.
const (
	agentCount      = 13_000
	entriesPerAgent = 4  // entries that one agent is connected to
	entryCount      = 40 // over both regions
	controlCount    = 15
	jobCount        = 13_000 * 3           // kept for three days
	planCount       = (13_000 + 6_500) * 7 // kept for seven days
	claimCount      = 1_000_000
)

// sizeRow is one row of the table of the planned deployment.
type sizeRow struct {
	role, resource, formula string
	value                   float64
	unit, limit             string
}

// sizeTable returns the table of what each role needs in the planned deployment,
// computed from the fitted lines.
func sizeTable(fs measurements) (string, error) {
	rows, err := sizeRows(fs)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("| role | what | sum | value | unit | limit |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %s | %s |\n", r.role, r.resource, r.formula, r.value, r.unit, r.limit)
	}
	return b.String(), nil
}

func sizeRows(fs measurements) ([]sizeRow, error) {
	var rows []sizeRow
	add := func(role, what, unit, limit, prefix, metric string, n float64) error {
		l, err := fs.fit(prefix, metric)
		if err != nil {
			return err
		}
		formula := fmt.Sprintf("%.4g + %.4g × %.0f", l.intercept, l.slope, n)
		rows = append(rows, sizeRow{role, what, formula, l.valueAt(n), unit, limit})
		return nil
	}
	agentsPerEntry := float64(agentCount*entriesPerAgent) / entryCount
	// In the benchmarks each control process served a third of the agents, so one
	// that serves n agents needs what it needed in a benchmark with 3n agents.
	equivalentAgents := 3 * float64(agentCount) / controlCount
	for _, x := range []struct {
		role, what, unit, limit, prefix, metric string
		n                                       float64
	}{
		{"agent", "processor time", "% of a core", "1.2", "BenchmarkEntries/entries=", "agent-cpu-%", entriesPerAgent},
		{"agent", "bytes", "KB/s", "29", "BenchmarkEntries/entries=", "agent-KB/s", entriesPerAgent},
		{"agent", "memory", "MB", "32", "BenchmarkEntries/entries=", "agent-MB", entriesPerAgent},
		{"entry", "processor time, idle", "% of a core", "", "BenchmarkAgents/agents=", "entry-cpu-%", agentsPerEntry},
		{"entry", "bytes, idle", "KB/s", "", "BenchmarkAgents/agents=", "entry-KB/s", agentsPerEntry},
		{"entry", "memory, idle", "MB", "", "BenchmarkAgents/agents=", "entry-MB", agentsPerEntry},
		{"control, each of 15", "processor time", "% of a core", "", "BenchmarkAgents/agents=", "follower-cpu-%", equivalentAgents},
		{"control, each of 15", "bytes", "KB/s", "", "BenchmarkAgents/agents=", "follower-KB/s", equivalentAgents},
		{"control, each of 15", "memory of sessions", "MB", "", "BenchmarkAgents/agents=", "follower-MB", equivalentAgents},
	} {
		if err := add(x.role, x.what, x.unit, x.limit, x.prefix, x.metric, x.n); err != nil {
			return nil, err
		}
	}
	leader, err := leaderRows(fs)
	if err != nil {
		return nil, err
	}
	return append(append(rows, leader...), stateRows(fs)...), nil
}

// leaderRows returns what the leader needs beyond a follower, because it receives
// the state of every agent from the followers.
func leaderRows(fs measurements) ([]sizeRow, error) {
	var rows []sizeRow
	for _, x := range []struct{ what, metric, unit string }{
		{"processor time beyond the others'", "cpu-%", "% of a core"},
		{"bytes beyond the others'", "KB/s", "KB/s"},
	} {
		l, err := fs.fit("BenchmarkAgents/agents=", "leader-"+x.metric)
		if err != nil {
			return nil, err
		}
		f, err := fs.fit("BenchmarkAgents/agents=", "follower-"+x.metric)
		if err != nil {
			return nil, err
		}
		slope := l.slope - f.slope
		rows = append(rows, sizeRow{"control, leader", x.what, fmt.Sprintf("%.4g × %d", slope, agentCount), slope * agentCount, x.unit, ""})
	}
	return rows, nil
}

// stateRows returns the sizes of the parts of the replicated state, which every
// control process holds in memory.
func stateRows(fs measurements) []sizeRow {
	var rows []sizeRow
	for _, x := range []struct {
		what, bench string
		n           float64
	}{
		{"state: gangs and their leases", "BenchmarkMemory/gang16", jobCount},
		{"state: workers", "BenchmarkMemory/worker", agentCount},
		{"state: plans kept 7 days", "BenchmarkMemory/plan+revision", planCount},
		{"state: claims with answers of 1 KiB", "BenchmarkMemory/claim1KiB", claimCount},
	} {
		v, err := fs.mean(x.bench, "B/1000")
		if err != nil {
			rows = append(rows, sizeRow{"control", x.what, "not measured", 0, "MB", ""})
			continue
		}
		rows = append(rows, sizeRow{"control", x.what, fmt.Sprintf("%.4g B × %.0f", v/1000, x.n), v / 1000 * x.n / 1e6, "MB", ""})
	}
	return rows
}
