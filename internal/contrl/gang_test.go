package contrl

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/internal/seed"
	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func TestMain(m *testing.M) { seed.Main(m) }

var allMemberStates = []state.MemberState{
	state.MemberUnreported, state.MemberPrepared, state.MemberRunning, state.MemberCheckpointed,
	state.MemberStopped, state.MemberFailed, state.MemberDone,
}

// drawGang draws a placed gang in any state that reports can lead to, and
// whether each of its workers is lost.
func drawGang(t *rapid.T) (state.Job, map[string]bool) {
	n := rapid.IntRange(1, 5).Draw(t, "members")
	j := state.Job{Job: model.Job{
		ID: "j", Epoch: 7, Idempotent: rapid.Bool().Draw(t, "idempotent"),
		State: rapid.SampledFrom([]model.JobState{model.JobPreparing, model.JobRunning, model.JobStopping}).Draw(t, "state"),
	}}
	j.CancelRequested = rapid.Bool().Draw(t, "cancel")
	started := rapid.Bool().Draw(t, "begun")
	if j.State == model.JobRunning || started && j.State == model.JobStopping {
		j.StartedEpoch = j.Epoch
	}
	lost := map[string]bool{}
	for i := range n {
		w := fmt.Sprint("w", i)
		j.Members = append(j.Members, model.Member{Index: i, Worker: w})
		j.MemberStates = append(j.MemberStates, rapid.SampledFrom(allMemberStates).Draw(t, "status"))
		lost[w] = rapid.Bool().Draw(t, "lost")
	}
	return j, lost
}

// TestGangCommandProperties checks the invariants of every state change of a gang,
// for any reports of its members and any lost workers: it starts only with all
// members prepared, ends only when no member can be running, and is not queued
// again if it may have run and isn't idempotent.
func TestGangCommandProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, lost := drawGang(t)
		now := time.Unix(1_000_000, 0)
		in := gangInputs{now: now, placedAt: now, leasesExpired: func(w string) bool { return lost[w] }}
		cmd := gangCommand(j, in)
		if cmd == nil {
			return
		}
		switch {
		case cmd.Start != nil:
			for _, s := range j.MemberStates {
				if s != state.MemberPrepared {
					t.Fatalf("started with a member that is %q", s)
				}
			}
		case cmd.End != nil:
			checkEnd(t, j, lost, cmd.End)
		}
	})
}

func checkEnd(t *rapid.T, j state.Job, lost map[string]bool, end *state.EndJob) {
	for i, s := range j.MemberStates {
		if !s.Terminal() && !lost[j.Members[i].Worker] {
			t.Fatalf("ended while member %d may be running", i)
		}
		if !s.Terminal() && !end.LeasesExpired {
			t.Fatalf("ended after leases expired, but LeasesExpired is false")
		}
	}
	if end.State == model.JobQueued && j.StartedEpoch == j.Epoch && !j.Idempotent {
		t.Fatalf("queued again although it may not run twice")
	}
}

// TestGangCommand checks the usual state changes of a gang.
func TestGangCommand(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	gang := func(s model.JobState, members ...state.MemberState) state.Job {
		j := state.Job{Job: model.Job{ID: "j", Epoch: 7, State: s, Idempotent: true}, MemberStates: members}
		for i := range members {
			j.Members = append(j.Members, model.Member{Index: i, Worker: fmt.Sprint("w", i)})
		}
		return j
	}
	tests := []struct {
		name     string
		job      state.Job
		timedOut bool
		want     string
	}{
		{"waits for all leases", gang(model.JobPreparing, state.MemberPrepared, state.MemberUnreported), false, ""},
		{"stops if not prepared in time", gang(model.JobPreparing, state.MemberPrepared, state.MemberUnreported), true, "stop"},
		{"starts when all are prepared", gang(model.JobPreparing, state.MemberPrepared, state.MemberPrepared), false, "start"},
		{"keeps running", gang(model.JobRunning, state.MemberRunning, state.MemberPrepared), false, ""},
		{"stops when a member failed", gang(model.JobRunning, state.MemberRunning, state.MemberFailed), false, "stop"},
		{"stops when a member was stopped", gang(model.JobRunning, state.MemberRunning, state.MemberStopped), false, "stop"},
		{"ends when all are done", gang(model.JobRunning, state.MemberDone, state.MemberDone), false, "done"},
		{"waits for members to stop", gang(model.JobStopping, state.MemberRunning, state.MemberStopped), false, ""},
		{"is queued again", gang(model.JobStopping, state.MemberFailed, state.MemberStopped), false, "queued"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := gangInputs{now: now, placedAt: now, leasesExpired: func(string) bool { return false }}
			if tt.timedOut {
				in.placedAt = now.Add(-prepareTimeout - time.Second)
			}
			require.Equal(t, tt.want, commandName(gangCommand(tt.job, in)))
		})
	}
}

func commandName(cmd *state.Command) string {
	switch {
	case cmd == nil:
		return ""
	case cmd.Start != nil:
		return "start"
	case cmd.Stop != nil:
		return "stop"
	}
	return string(cmd.End.State)
}
