package state

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// newPopulatedHarness returns a harness whose state has rows in every table.
func newPopulatedHarness(t testing.TB) *harness {
	h := newReadyHarness(t)
	h.startJob("j1", 2, false)
	h.mustConfirm(submit("j2", "linen", 1, true))
	h.place("j2", 1)
	h.mustConfirm(submit("j3", "linen", 1, true))
	epoch := h.startJob("j4", 1, true)
	h.mustApply(Command{End: &EndJob{ID: "j4", Epoch: epoch, State: "failed", LeasesExpired: true}})
	h.plan("ann", "open", setTeam("linen", 7))
	h.settle("k1", h.claim("k1", "h", "a").Claim.Claim.Epoch, ClaimAnswered, "body")
	h.claim("k2", "h", "b")
	h.mustApply(Command{Mark: &MarkWorker{Name: "w03", Mark: MarkQuarantine, Reason: "probe"}})
	return h
}

func TestRestoreEqualsOriginal(t *testing.T) {
	h := newPopulatedHarness(t)
	copied := restoreCopy(t, h.state)
	require.Equal(t, h.snapshot(), snapshotOf(t, copied))
	require.Equal(t, h.state.View().Counts(), copied.View().Counts())
	for w := range h.state.View().Workers() {
		got, _ := copied.View().Worker(w.Name)
		require.Equal(t, *w, got)
		a, _ := h.state.View().Assignments(w.Name, 0)
		b, _ := copied.View().Assignments(w.Name, 0)
		require.Equal(t, a, b)
	}
}

func TestSnapshotIgnoresLaterChanges(t *testing.T) {
	h := newPopulatedHarness(t)
	h.place("j3", 1)
	h.mustConfirm(submit("j5", "linen", 1, true))
	h.place("j5", 1)
	before := h.snapshot()
	write, err := h.state.Snapshot()
	require.NoError(t, err)
	view := h.state.View()
	h.mustConfirm(setTeam("later", 1))
	h.startJob("a", 3, true)
	h.reportAll("j2", h.job("j2").Epoch, 1, MemberPrepared)
	var buf bytes.Buffer
	require.NoError(t, write(&buf))
	require.Equal(t, before, buf.Bytes())
	_, ok := view.Job("a")
	require.False(t, ok)
	w, _ := view.Worker("w00")
	require.Equal(t, []TaskRef{{Job: "j1"}, {Job: "j2"}, {Job: "j3"}, {Job: "j5"}}, w.Tasks)
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	h := newPopulatedHarness(t)
	snapshot := h.snapshot()
	newer := bytes.Replace(snapshot, []byte(`"version":1`), []byte(`"version":2`), 1)
	require.ErrorIs(t, h.state.Restore(bytes.NewReader(newer)), ErrVersion)
	for length := 0; length < len(snapshot); length += 97 {
		require.ErrorIs(t, h.state.Restore(bytes.NewReader(snapshot[:length])), ErrCorrupt)
	}
	for pos := 0; pos < len(snapshot); pos += 101 {
		damaged := bytes.Clone(snapshot)
		damaged[pos] ^= 0x04
		require.Error(t, New().Restore(bytes.NewReader(damaged)), pos)
	}
	miscounted := regexp.MustCompile(`"records":\d+`).ReplaceAll(snapshot, []byte(`"records":7`))
	require.ErrorIs(t, h.state.Restore(bytes.NewReader(miscounted)), ErrCorrupt)
	lines := bytes.SplitAfter(snapshot, []byte("\n"))
	missing := bytes.Join(append(lines[:5:5], lines[6:]...), nil)
	require.ErrorIs(t, h.state.Restore(bytes.NewReader(missing)), ErrCorrupt)
	require.Equal(t, snapshot, h.snapshot(), "a rejected snapshot must not change the state")
}

func TestAppliedIndexIsRejected(t *testing.T) {
	h := newPopulatedHarness(t)
	before := h.snapshot()
	h.index = 3
	require.ErrorIs(t, h.apply(Command{Mark: &MarkWorker{Name: "w00", Mark: MarkLost}}).Err, ErrApplied)
	require.Equal(t, before, h.snapshot())
}

func TestMalformedCommands(t *testing.T) {
	for _, c := range []Command{
		{Now: startTime, BeginTerm: &BeginTerm{}},
		{Term: 1, BeginTerm: &BeginTerm{}},
		{Term: 1, Now: startTime},
		{Term: 1, Now: startTime, BeginTerm: &BeginTerm{}, Expire: &Expire{}},
		{Term: 1, Now: startTime.AddDate(500, 0, 0), BeginTerm: &BeginTerm{}},
	} {
		_, err := Encode(c)
		require.ErrorIs(t, err, ErrBadCommand)
	}
	s := New()
	for i, b := range []string{"", "{", "null", `{"term":1,"now":"2026-03-01T08:00:00Z","lead":{}} x`, `{"boil":1}`} {
		require.ErrorIs(t, s.Apply(uint64(i+1), []byte(b)).(Result).Err, ErrBadCommand, b)
	}
	require.EqualValues(t, 5, s.View().Index(), "a malformed command still advances the index")
}

func TestNewerCommandHaltsStateMachine(t *testing.T) {
	for _, newer := range []string{
		`{"version":2,"term":1,"now":"2026-03-01T08:00:00Z","lead":{}}`,
		`{"version":2,"term":1,"now":"2026-03-01T08:00:00Z","boil":{"minutes":3}}`,
	} {
		h := newPopulatedHarness(t)
		before := h.snapshot()
		require.ErrorIs(t, h.state.Apply(h.index+1, []byte(newer)).(Result).Err, ErrVersion)
		b, err := Encode(Command{Term: 9, Now: startTime, BeginTerm: &BeginTerm{}})
		require.NoError(t, err)
		require.ErrorIs(t, h.state.Apply(h.index+2, b).(Result).Err, ErrVersion, "no command is applied after it")
		_, err = h.state.Snapshot()
		require.ErrorIs(t, err, ErrVersion)
		require.EqualValues(t, h.index, h.state.View().Index())
		require.NoError(t, h.state.Restore(bytes.NewReader(before)))
		require.Equal(t, before, h.snapshot())
	}
}

// withEndRecord returns a snapshot with these lines and the matching end record.
func withEndRecord(lines string) []byte {
	body := strings.TrimRight(lines, "\n") + "\n"
	end := fmt.Sprintf(`{"end":{"records":%d,"sum":"%016x"}}`+"\n", strings.Count(body, "\n"), xxhash.Sum64String(body))
	return []byte(body + end)
}

func FuzzRestore(f *testing.F) {
	snapshot := string(newPopulatedHarness(f).snapshot())
	f.Add(snapshot[:strings.LastIndex(snapshot, `{"end"`)])
	f.Add(`{"head":{"format":"knapweedlug-state","version":1}}` + "\n" + `{"job":{"id":"j","state":"running","status":["x"]}}`)
	f.Add(`{"head":{"format":"knapweedlug-state","version":1}}` + "\n" + `{"plan":{"plan":{"id":"p20","operator":"ann","state":"open","deadline":"2027-01-01T00:00:00Z"},"ops":[{"kind":"submit-job"}]}}` + "\n" + `{"meta":{}}`)
	f.Add(`{"head":{"format":"knapweedlug-state","version":1}}` + "\n" + `{"plan":{"plan":{"state":"open"}}}` + "\n" + `{"meta":{}}`)
	f.Fuzz(func(t *testing.T, lines string) {
		_ = New().Restore(strings.NewReader(lines))
		s := New()
		if s.Restore(bytes.NewReader(withEndRecord(lines))) != nil {
			return
		}
		first := snapshotOf(t, s)
		require.Equal(t, string(first), string(snapshotOf(t, restoreCopy(t, s))))
		index := s.View().Index()
		for i, c := range exampleCommands() {
			b, err := Encode(c)
			require.NoError(t, err)
			s.Apply(index+uint64(i)+1, b)
		}
	})
}

// exampleCommands returns a command of each kind except PlanIntent, for the rows
// of newPopulatedHarness.
func exampleCommands() []Command {
	h := harness{now: startTime.Add(time.Hour)}
	commands := []Command{
		{BeginTerm: &BeginTerm{}},
		{Confirm: &ConfirmPlan{PlanID: "p20", Operator: "ann"}},
		{Workers: &SetWorkers{Drop: []string{"w00"}}},
		{Mark: &MarkWorker{Name: "w01", Mark: MarkLost}},
		{Place: &PlaceJob{ID: "j3"}},
		{Start: &StartJob{ID: "j2", Epoch: 11}},
		{Report: &Report{Members: []MemberReport{{Job: "j1", Epoch: 6, State: MemberDone}}}},
		{Stop: &StopJob{ID: "j1", Epoch: 6}},
		{End: &EndJob{ID: "j1", Epoch: 6, State: "failed", LeasesExpired: true}},
		{Claim: &ClaimRequest{Team: "linen", Service: "rota", Key: "k1", BodyHash: "h", Entry: "e", Attempt: "x"}},
		{Settle: &SettleClaim{Team: "linen", Key: "k2", Epoch: 23, State: ClaimNotRun}},
		{Expire: &Expire{Limit: 100}},
	}
	for i := range commands {
		commands[i].Term = 1 << 40
		commands[i].Now = h.now
	}
	return commands
}

func FuzzDecode(f *testing.F) {
	for _, c := range exampleCommands() {
		b, err := Encode(c)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Add([]byte(`{"version":7,"boil":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		first, second := newPopulatedHarness(t).state, New()
		require.NoError(t, second.Restore(bytes.NewReader(snapshotOf(t, first))))
		firstResult := first.Apply(1000, b).(Result)
		secondResult := second.Apply(1000, b).(Result)
		require.Equal(t, fmt.Sprint(firstResult.Err), fmt.Sprint(secondResult.Err))
		if errors.Is(firstResult.Err, ErrVersion) {
			return // both have halted
		}
		require.Equal(t, snapshotOf(t, first), snapshotOf(t, second))
		c, err := Decode(b)
		if err != nil {
			require.ErrorIs(t, err, ErrBadCommand)
			return
		}
		_, _ = Encode(c)
	})
}
