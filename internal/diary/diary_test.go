package diary_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/diary"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

const (
	urgentID = "00000000000000aa"
	batchID  = "00000000000000bb"
)

// logLines is the log of a day with two jobs: a batch job is preempted by an
// urgent one and started again. It also has a line without JSON and a truncated one.
const logLines = `
no log line
 1.0 e1 {"time":"2026-01-01T00:00:00.02Z","msg":"call","role":"jobentry","request":"r1","kind":"submit","outcome":"accepted","took":0.02}
 1.0 c1 {"time":"2026-01-01T00:00:00.01Z","msg":"call","role":"jobctl","request":"r1","kind":"submit","outcome":"accepted","job":"00000000000000bb","queue":"q-batch","team":"t","priority":2,"slack":3,"target":3000,"steps":1,"tasks":1,"cpu":2000,"accels":1,"estimate":4000}
 1.0 c1 {"time":"2026-01-01T00:00:00Z","msg":"worker seen","role":"jobctl","worker":"w1"}
 1.1 c1 {"time":"2026-01-01T00:00:00.1Z","msg":"start","role":"jobctl","request":"00000000000000bb","task":"00000000000000bb.0.0.0","run":1,"worker":"w1","rack":"r1","factor":1}
 1.2 h1 {"time":"2026-01-01T00:00:00.2Z","msg":"start answered","role":"jobagent","request":"00000000000000bb","task":"00000000000000bb.0.0.0","run":1,"outcome":"begun"}
 2.0 c1 {"time":"2026-01-01T00:00:01Z","msg":"call","role":"jobctl","request":"r2","kind":"submit","outcome":"accepted","job":"00000000000000aa","queue":"q-urgent","team":"t","priority":0,"slack":1.5,"target":250,"steps":1,"tasks":1,"cpu":2000,"accels":8,"estimate":2000}
 2.0 c1 {"time":"2026-01-01T00:00:01.01Z","msg":"ruling","role":"jobctl","request":"00000000000000aa","outcome":"reclaims"}
 2.3 c1 {"time":"2026-01-01T00:00:01.2Z","msg":"end","role":"jobctl","request":"00000000000000bb","task":"00000000000000bb.0.0.0","run":1,"worker":"w1","outcome":"stopped","madeway":"00000000000000aa"}
 2.3 c1 {"time":"2026-01-01T00:00:01.25Z","msg":"start","role":"jobctl","request":"00000000000000aa","task":"00000000000000aa.0.0.0","run":1,"worker":"w1","rack":"r1","factor":1}
 2.3 h1 {"time":"2026-01-01T00:00:01.25Z","msg":"start answered","role":"jobagent","request":"00000000000000aa","task":"00000000000000aa.0.0.0","run":1,"outcome":"begun"}
 4.3 c1 {"time":"2026-01-01T00:00:03.25Z","msg":"end","role":"jobctl","request":"00000000000000aa","task":"00000000000000aa.0.0.0","run":1,"worker":"w1","outcome":"done"}
 4.4 c1 {"time":"2026-01-01T00:00:03.3Z","msg":"job ended","role":"jobctl","request":"00000000000000aa","outcome":"complete"}
 4.4 c1 {"time":"2026-01-01T00:00:03.3Z","msg":"start","role":"jobctl","request":"00000000000000bb","task":"00000000000000bb.0.0.0","run":2,"worker":"w1","rack":"r1","factor":1}
 4.4 h1 {"time":"2026-01-01T00:00:03.3Z","msg":"start answered","role":"jobagent","request":"00000000000000bb","task":"00000000000000bb.0.0.0","run":2,"outcome":"begun"}
 8.4 c1 {"time":"2026-01-01T00:00:07.3Z","msg":"end","role":"jobctl","request":"00000000000000bb","task":"00000000000000bb.0.0.0","run":2,"worker":"w1","outcome":"done"}
 8.5 c1 {"time":"2026-01-01T00:00:07.4Z","msg":"job ended","role":"jobctl","request":"00000000000000bb","outcome":"complete"}
 9 c1 {"time":"half a li`

func readLog(t *testing.T) *diary.DayLog {
	t.Helper()
	d, err := diary.Read(strings.NewReader(logLines))
	require.NoError(t, err)
	return d
}

func TestRead(t *testing.T) {
	d := readLog(t)
	require.Equal(t, 1, d.SkippedLines)
	require.Len(t, d.Jobs, 2)
	b, u := d.Jobs[0], d.Jobs[1]
	require.Equal(t, []string{batchID, urgentID}, []string{b.ID, u.ID})
	require.Len(t, b.Runs, 2)
	require.Equal(t, jobs.RunStopped, b.Runs[0].Outcome)
	require.Equal(t, urgentID, b.Runs[0].PreemptedFor)
	require.Equal(t, jobs.Complete, u.Phase)
	require.Equal(t, 1, u.Verdicts[allot.Reclaims])
	_, err := diary.Read(strings.NewReader("nothing\n{}\n"))
	require.ErrorIs(t, err, diary.ErrEmpty)
}

func TestReport(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, readLog(t).Report(&out))
	text := strings.Join(strings.Fields(out.String()), " ")
	// The lost run took 1 s on 2 cores and 1 accelerator, which counts as 8 cores.
	require.Contains(t, text, "q-batch 2 1 1 0 0 0 2 1 10 0.02 0.02 0.09 0.09 0.10 0.10 4.00 4.00 3.20 3.20 0.10 0.10")
	require.Contains(t, text, "q-urgent 0 1 1 0 0 0 1 0 0 - 0.25 0.25")
	require.Contains(t, text, urgentID+" q-urgent 1 8 2.30 0.25 1 done 1 reclaims 1")
}

func TestChart(t *testing.T) {
	var out bytes.Buffer
	readLog(t).Chart(&out)
	require.Equal(t, 2, strings.Count(out.String(), "fill:none;stroke:"+"#7f8c8d"), "the run that was stopped, in the row of its worker and in that of its job")
}

func TestReplay(t *testing.T) {
	params := diary.ReplayParams{
		WorkerCapacity: allot.Resources{CPU: 32000, Memory: 1000, Accels: 8}, RemoteFactor: 3,
		ValueByQueue: map[string]float64{"q-urgent": 4}, LateValueByQueue: map[string]float64{"q-urgent": 1},
	}
	scenario := readLog(t).Scenario(params)
	require.Len(t, scenario.Workers, 1)
	require.Len(t, scenario.Jobs, 2)
	require.Equal(t, 4.0, scenario.Jobs[1].Value)
	require.InDelta(t, 4.0, scenario.Jobs[0].Duration.Seconds(), 0.5)
	aloneShare, capacityShare := diary.UpperBounds(scenario, "")
	require.Equal(t, 1.0, aloneShare)
	require.InDelta(t, 1.0, capacityShare, 0.01)
	var out bytes.Buffer
	require.NoError(t, diary.Compare(&out, scenario, 20*time.Second))
	require.Contains(t, out.String(), "first come")
}
