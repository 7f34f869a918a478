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

// busy returns a rig whose state has rows in every table.
func busy(t testing.TB) *rig {
	r := ready(t)
	r.running("j1", 2, false)
	r.carry(submit("j2", "linen", 1, true))
	r.place("j2", 1)
	r.carry(submit("j3", "linen", 1, true))
	epoch := r.running("j4", 1, true)
	r.must(Command{End: &EndJob{ID: "j4", Epoch: epoch, State: "failed", Lapsed: true}})
	r.plan("ann", "open", setTeam("linen", 7))
	r.settle("k1", r.claim("k1", "h", "a").Claim.Claim.Epoch, ClaimAnswered, "body")
	r.claim("k2", "h", "b")
	r.must(Command{Mark: &MarkWorker{Name: "w03", Mark: MarkQuarantine, Reason: "probe"}})
	return r
}

func TestRestoreEqualsOriginal(t *testing.T) {
	r := busy(t)
	twin := restored(t, r.s)
	require.Equal(t, r.snapshot(), snapshotOf(t, twin))
	require.Equal(t, r.s.View().Counts(), twin.View().Counts())
	for w := range r.s.View().Workers() {
		got, _ := twin.View().Worker(w.Name)
		require.Equal(t, *w, got)
		a, _ := r.s.View().Assignments(w.Name, 0)
		b, _ := twin.View().Assignments(w.Name, 0)
		require.Equal(t, a, b)
	}
}

func TestSnapshotIsACapture(t *testing.T) {
	r := busy(t)
	r.place("j3", 1)
	r.carry(submit("j5", "linen", 1, true))
	r.place("j5", 1)
	before := r.snapshot()
	write, err := r.s.Snapshot()
	require.NoError(t, err)
	view := r.s.View()
	r.carry(setTeam("later", 1))
	r.running("a", 3, true)
	r.report("j2", r.job("j2").Epoch, 1, MemberPrepared)
	var buf bytes.Buffer
	require.NoError(t, write(&buf))
	require.Equal(t, before, buf.Bytes())
	_, ok := view.Job("a")
	require.False(t, ok)
	w, _ := view.Worker("w00")
	require.Equal(t, []TaskRef{{Job: "j1"}, {Job: "j2"}, {Job: "j3"}, {Job: "j5"}}, w.Tasks)
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	r := busy(t)
	whole := r.snapshot()
	newer := bytes.Replace(whole, []byte(`"version":1`), []byte(`"version":2`), 1)
	require.ErrorIs(t, r.s.Restore(bytes.NewReader(newer)), ErrVersion)
	for cut := 0; cut < len(whole); cut += 97 {
		require.ErrorIs(t, r.s.Restore(bytes.NewReader(whole[:cut])), ErrCorrupt)
	}
	for at := 0; at < len(whole); at += 101 {
		bad := bytes.Clone(whole)
		bad[at] ^= 0x04
		require.Error(t, New().Restore(bytes.NewReader(bad)), at)
	}
	miscounted := regexp.MustCompile(`"records":\d+`).ReplaceAll(whole, []byte(`"records":7`))
	require.ErrorIs(t, r.s.Restore(bytes.NewReader(miscounted)), ErrCorrupt)
	lines := bytes.SplitAfter(whole, []byte("\n"))
	missing := bytes.Join(append(lines[:5:5], lines[6:]...), nil)
	require.ErrorIs(t, r.s.Restore(bytes.NewReader(missing)), ErrCorrupt)
	require.Equal(t, whole, r.snapshot(), "a rejected snapshot must not change the state")
}

func TestAppliedIndexIsSkipped(t *testing.T) {
	r := busy(t)
	before := r.snapshot()
	r.index = 3
	require.ErrorIs(t, r.apply(Command{Mark: &MarkWorker{Name: "w00", Mark: MarkLost}}).Err, ErrApplied)
	require.Equal(t, before, r.snapshot())
}

func TestMalformedCommands(t *testing.T) {
	for _, c := range []Command{
		{Now: start, Lead: &Lead{}},
		{Term: 1, Lead: &Lead{}},
		{Term: 1, Now: start},
		{Term: 1, Now: start, Lead: &Lead{}, Expire: &Expire{}},
		{Term: 1, Now: start.AddDate(500, 0, 0), Lead: &Lead{}},
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

func TestNewerCommandHalts(t *testing.T) {
	for _, newer := range []string{
		`{"version":2,"term":1,"now":"2026-03-01T08:00:00Z","lead":{}}`,
		`{"version":2,"term":1,"now":"2026-03-01T08:00:00Z","boil":{"minutes":3}}`,
	} {
		r := busy(t)
		before := r.snapshot()
		require.ErrorIs(t, r.s.Apply(r.index+1, []byte(newer)).(Result).Err, ErrVersion)
		b, err := Encode(Command{Term: 9, Now: start, Lead: &Lead{}})
		require.NoError(t, err)
		require.ErrorIs(t, r.s.Apply(r.index+2, b).(Result).Err, ErrVersion, "no command is applied after it")
		_, err = r.s.Snapshot()
		require.ErrorIs(t, err, ErrVersion)
		require.EqualValues(t, r.index, r.s.View().Index())
		require.NoError(t, r.s.Restore(bytes.NewReader(before)))
		require.Equal(t, before, r.snapshot())
	}
}

// seal returns a snapshot with these lines and the matching end record.
func seal(lines string) []byte {
	body := strings.TrimRight(lines, "\n") + "\n"
	end := fmt.Sprintf(`{"end":{"records":%d,"sum":"%016x"}}`+"\n", strings.Count(body, "\n"), xxhash.Sum64String(body))
	return []byte(body + end)
}

func FuzzRestore(f *testing.F) {
	whole := string(busy(f).snapshot())
	f.Add(whole[:strings.LastIndex(whole, `{"end"`)])
	f.Add(`{"head":{"format":"knapweedlug-state","version":1}}` + "\n" + `{"job":{"id":"j","state":"running","status":["x"]}}`)
	f.Add(`{"head":{"format":"knapweedlug-state","version":1}}` + "\n" + `{"plan":{"plan":{"id":"p20","operator":"ann","state":"open","deadline":"2027-01-01T00:00:00Z"},"ops":[{"kind":"submit-job"}]}}` + "\n" + `{"meta":{}}`)
	f.Add(`{"head":{"format":"knapweedlug-state","version":1}}` + "\n" + `{"plan":{"plan":{"state":"open"}}}` + "\n" + `{"meta":{}}`)
	f.Fuzz(func(t *testing.T, lines string) {
		_ = New().Restore(strings.NewReader(lines))
		s := New()
		if s.Restore(bytes.NewReader(seal(lines))) != nil {
			return
		}
		first := snapshotOf(t, s)
		require.Equal(t, string(first), string(snapshotOf(t, restored(t, s))))
		at := s.View().Index()
		for i, c := range everyCommand() {
			b, err := Encode(c)
			require.NoError(t, err)
			s.Apply(at+uint64(i)+1, b)
		}
	})
}

// everyCommand returns a command of each kind except PlanIntent, for the rows of
// busy.
func everyCommand() []Command {
	r := rig{now: start.Add(time.Hour)}
	cs := []Command{
		{Lead: &Lead{}},
		{Confirm: &ConfirmPlan{PlanID: "p20", Operator: "ann"}},
		{Workers: &SetWorkers{Drop: []string{"w00"}}},
		{Mark: &MarkWorker{Name: "w01", Mark: MarkLost}},
		{Place: &PlaceJob{ID: "j3"}},
		{Start: &StartJob{ID: "j2", Epoch: 11}},
		{Report: &Report{Members: []MemberReport{{Job: "j1", Epoch: 6, State: MemberDone}}}},
		{Stop: &StopJob{ID: "j1", Epoch: 6}},
		{End: &EndJob{ID: "j1", Epoch: 6, State: "failed", Lapsed: true}},
		{Claim: &ClaimRequest{Team: "linen", Service: "rota", Key: "k1", Body: "h", Entry: "e", Attempt: "x"}},
		{Settle: &SettleClaim{Team: "linen", Key: "k2", Epoch: 23, State: ClaimNotRun}},
		{Expire: &Expire{Limit: 100}},
	}
	for i := range cs {
		cs[i].Term = 1 << 40
		cs[i].Now = r.now
	}
	return cs
}

func FuzzDecode(f *testing.F) {
	for _, c := range everyCommand() {
		b, err := Encode(c)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Add([]byte(`{"version":7,"boil":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, twin := busy(t).s, New()
		require.NoError(t, twin.Restore(bytes.NewReader(snapshotOf(t, a))))
		one := a.Apply(1000, b).(Result)
		two := twin.Apply(1000, b).(Result)
		require.Equal(t, fmt.Sprint(one.Err), fmt.Sprint(two.Err))
		if errors.Is(one.Err, ErrVersion) {
			return // both have halted
		}
		require.Equal(t, snapshotOf(t, a), snapshotOf(t, twin))
		c, err := Decode(b)
		if err != nil {
			require.ErrorIs(t, err, ErrBadCommand)
			return
		}
		_, _ = Encode(c)
	})
}
