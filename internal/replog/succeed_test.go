package replog

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/store/memdisk"
)

// arrive starts a host with an empty data folder that is not an initial voter.
func (s *sim) arrive(name string) *simHost {
	return s.join(&simHost{name: name, disk: memdisk.New(), late: true})
}

// spare starts a host that is not an initial voter as if together with them.
func (s *sim) spare(name string) *simHost {
	return s.join(&simHost{name: name, disk: memdisk.New(), late: true, first: true})
}

func (s *sim) join(h *simHost) *simHost {
	s.hosts = append(s.hosts, h)
	s.boot(h)
	return h
}

// TestReplicaRemovedWhileOutOfReachAnnouncesItself guards against a replica
// that was removed while it was unreachable and never notices.
func TestReplicaRemovedWhileOutOfReachAnnouncesItself(t *testing.T) {
	s, a, _, c := newTrio(t)
	s.isolate("c")
	s.run(2 * DefaultElection)
	_, err := a.core.remove("c")
	require.NoError(t, err)
	s.run(2 * DefaultElection)
	s.heal()
	s.runUntil("an announcement", 10*time.Second, func() bool { return len(s.leader().core.waitingReplicas()) == 1 })
	require.Equal(t, c.incarnation, s.leader().core.waitingReplicas()[0].Incarnation)
}

// catchUp is the time within which a newly started replica must have replaced a
// lost voter.
const catchUp = 4 * time.Second

var testRule = SuccessionRule{Silence: time.Second, Fresh: 20 * time.Second, Returned: 8 * time.Second, Patience: 8 * time.Second}

// tend maintains the membership like the leader of jobctl.
func (s *sim) tend() {
	l := s.leader()
	if l == nil || !l.core.hasCommittedInTerm() {
		return
	}
	c, now := l.core, s.local(l)
	c.advanceClock(now)
	st := Status{Incarnation: c.self, Members: c.members(), Peers: c.peerStatus(), Waiting: c.waitingReplicas()}
	if m, ok := testRule.Dropped(st, now); ok {
		_, _ = c.remove(m.Incarnation)
	} else if next, ok := testRule.Successor(st, now); ok {
		if _, err := c.replace(next.Old.Incarnation, next.By.Name); err == nil {
			s.replacements++
		}
	}
	s.settle(l)
}

// restart stops a host for the given time.
func (s *sim) restart(h *simHost, down time.Duration) {
	s.crash(h)
	s.tendFor(down)
	s.boot(h)
}

// tendFor advances the time and calls tend as often as jobctl does.
func (s *sim) tendFor(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.run(400 * time.Millisecond)
		s.tend()
	}
}

// voters returns the names of the members according to the leader, nil if its
// membership is not committed.
func (s *sim) voters() []string {
	l := s.leader()
	if l == nil || l.core.history.latest().index > l.core.commit {
		return nil
	}
	var names []string
	for _, m := range l.core.members() {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

// newFive returns five hosts, of which two may be lost. Host "a" leads.
func newFive(t *testing.T) *sim {
	s := newSim(t, 7, 5)
	s.write(s.lead("a"), "old")
	s.run(3 * DefaultHeartbeat)
	return s
}

// survives crashes hosts and checks that the others elect a leader, which needs
// all committed entries, and that it commits a write.
func (s *sim) survives(t *testing.T, lost ...string) {
	t.Helper()
	for _, name := range lost {
		s.crash(s.host(name))
	}
	s.runUntil("a leader", 10*time.Second, func() bool { l := s.leader(); return l != nil && l.core.hasCommittedInTerm() })
	l := s.leader()
	s.write(l, "after")
	op := s.clients[len(s.clients)-1]
	s.runUntil("a write", 5*time.Second, func() bool { return op.ok })
}

// TestSuccessorVotesWithinItsTime guards against a lost voter that is still a
// member after the time for its replacement.
func TestSuccessorVotesWithinItsTime(t *testing.T) {
	for _, gone := range []string{"a", "b", "c"} { // a leads
		for _, next := range []string{"a", "b", "c"} {
			if next == gone {
				continue
			}
			s, _, _, _ := newTrio(t)
			s.crash(s.host(gone))
			s.tendFor(time.Second)
			s.arrive("d")
			s.tendFor(catchUp)
			require.Len(t, s.voters(), 3, "%s is gone", gone)
			require.NotContains(t, s.voters(), gone)
			s.survives(t, next)
		}
	}
}

// TestTwoSuccessorsAtOnce guards against two replacements that block each
// other.
func TestTwoSuccessorsAtOnce(t *testing.T) {
	for _, gone := range [][]string{{"a", "b"}, {"b", "c"}} {
		s := newFive(t)
		for _, name := range gone {
			s.crash(s.host(name))
		}
		s.tendFor(time.Second)
		s.arrive("f")
		s.arrive("g")
		s.tendFor(catchUp)
		require.Subset(t, s.voters(), []string{"d", "e", "f", "g"})
		require.Len(t, s.voters(), 5)
		s.survives(t, "d", "e")
	}
}

// TestVoterComesBackDuringItsReplacement guards against a voter that resumes
// while its replacement catches up, is removed, and never becomes a member
// again.
func TestVoterComesBackDuringItsReplacement(t *testing.T) {
	s, a, b, c := newTrio(t)
	c.frozen = s.now + 1500*time.Millisecond
	d := s.arrive("d")
	d.slow = 50 * time.Millisecond
	s.runUntil("a replacement", 5*time.Second, func() bool {
		s.tendFor(100 * time.Millisecond)
		return s.replacements == 1
	})
	d.stall()
	s.tendFor(2 * time.Second)
	require.True(t, s.up(c))
	s.write(a, "meanwhile")
	d.resume()
	s.tendFor(catchUp)
	require.Equal(t, []string{"a", "b", "d"}, s.voters())
	s.crash(b)
	s.tendFor(catchUp)
	require.Equal(t, []string{"a", "c", "d"}, s.voters(), "the removed voter replaces the next lost one")
	require.Equal(t, 2, s.replacements)
	s.survives(t, "a")
}

// TestSuccessorIsLostBeforeItVotes guards against a replacement that is lost
// before its promotion and blocks the next one.
func TestSuccessorIsLostBeforeItVotes(t *testing.T) {
	for _, how := range []string{"gone", "wiped"} {
		s, _, _, c := newTrio(t)
		s.crash(c)
		s.tendFor(time.Second)
		d := s.arrive("d")
		d.stall()
		s.runUntil("a replacement", 5*time.Second, func() bool {
			s.tendFor(100 * time.Millisecond)
			return s.replacements == 1
		})
		s.crash(d)
		if how == "wiped" {
			d.resume()
			s.wipe(d)
		} else {
			s.arrive("e")
		}
		s.tendFor(catchUp)
		require.Len(t, s.voters(), 3, how)
		require.NotContains(t, s.voters(), "c", how)
		s.survives(t, "b")
	}
}

// TestLongestSilentVoterIsReplacedFirst guards against replacing a frozen voter
// instead of one that has crashed.
func TestLongestSilentVoterIsReplacedFirst(t *testing.T) {
	s := newFive(t)
	s.crash(s.host("d"))
	s.tendFor(2 * time.Second)
	s.host("b").frozen = s.now + 4*time.Second
	s.tendFor(1500 * time.Millisecond)
	s.arrive("f")
	s.tendFor(catchUp)
	require.Equal(t, []string{"a", "b", "c", "e", "f"}, s.voters())
}

// TestSpareWaitsForAFrozenVoter guards against spares that replace voters that
// are frozen for a few seconds.
func TestSpareWaitsForAFrozenVoter(t *testing.T) {
	s := newFive(t)
	s.arrive("f")
	s.arrive("g")
	s.tendFor(testRule.Fresh + time.Second)
	for i, name := range []string{"b", "c", "a", "d", "e"} {
		h := s.host(name)
		h.frozen = s.now + time.Duration(2+i)*time.Second
		s.tendFor(8 * time.Second)
	}
	require.Zero(t, s.replacements)
	s.crash(s.host("b"))
	s.tendFor(testRule.Patience + 2*time.Second)
	require.Equal(t, 1, s.replacements)
	require.Len(t, s.voters(), 5)
}

// TestReturnedVoterSoonCountsAsASpare guards against a chain of replacements in
// which each voter that was frozen and removed replaces the next frozen one.
func TestReturnedVoterSoonCountsAsASpare(t *testing.T) {
	s := newFive(t)
	s.arrive("f")
	s.tendFor(time.Second)
	for _, name := range []string{"b", "c", "d"} {
		s.host(name).frozen = s.now + 3*time.Second
		s.tendFor(15 * time.Second)
	}
	require.Equal(t, 1, s.replacements)
	require.Equal(t, []string{"a", "c", "d", "e", "f"}, s.voters())
}

// TestRestartsInTurnReplaceNobody guards against spares and restarted replicas
// that replace one voter after the other during a rolling restart.
func TestRestartsInTurnReplaceNobody(t *testing.T) {
	s := newFive(t)
	s.restart(s.arrive("f"), time.Second)
	s.spare("g")
	for range 2 {
		for _, name := range []string{"b", "f", "c", "g", "a", "d", "e"} {
			s.restart(s.host(name), 2*time.Second)
			s.tendFor(time.Second)
		}
	}
	require.Zero(t, s.replacements)
}

// TestLeavingVoterIsReplacedAtOnce guards against a voter that was stopped
// permanently and remains in the membership.
func TestLeavingVoterIsReplacedAtOnce(t *testing.T) {
	for _, name := range []string{"a", "b"} { // a leads
		s, _, _, _ := newTrio(t)
		s.arrive("d")
		s.tendFor(catchUp)
		require.Zero(t, s.replacements, "a voter was replaced although none is silent")
		h := s.host(name)
		h.core.leaving = true
		h.core.resign()
		s.tendFor(3 * time.Second)
		require.Len(t, s.voters(), 3)
		require.NotContains(t, s.voters(), name)
		st := Status{Incarnation: h.core.self, Members: h.core.members(), Leader: h.core.leaderName()}
		require.True(t, st.Succeeded(), "the leaving voter doesn't know that it was replaced")
		require.Empty(t, s.leader().core.waitingReplicas(), "the leaving voter announces itself again")
		s.crash(h)
		s.survives(t, "c")
	}
}

// TestReplacementPassesThroughFourVoters guards against swapping one voter for
// another in a single entry, which allows two disjoint majorities: a and c
// before it, b and d after it.
func TestReplacementPassesThroughFourVoters(t *testing.T) {
	s, a, _, c := newTrio(t)
	s.crash(c)
	s.tendFor(1200 * time.Millisecond)
	s.arrive("d")
	seen := map[int]bool{}
	s.watch = func(h *simHost) {
		if h == a {
			seen[len(a.core.members().voters())] = true
		}
	}
	s.tendFor(catchUp)
	require.Equal(t, map[int]bool{3: true, 4: true}, seen)
}

// TestSuccessorCatchesUpOverASlowLink guards against catch-up traffic that
// saturates the leader's link and delays its heartbeats.
func TestSuccessorCatchesUpOverASlowLink(t *testing.T) {
	for _, how := range []string{"entries", "snapshot"} {
		catchUpSlowly(t, how)
	}
}

func catchUpSlowly(t *testing.T, how string) {
	t.Helper()
	s, a, _, c := newTrio(t)
	value := strings.Repeat("x", 4000)
	for range 150 {
		s.write(a, value)
		s.run(simTick)
	}
	if how == "snapshot" {
		s.write(a, strings.Repeat(value, 150))
		s.run(DefaultElection)
		for _, h := range s.hosts {
			h.core.opt.ChunkBytes = DefaultChunkBytes
			s.snapshot(h)
		}
		require.Greater(t, a.core.log.base, uint64(10))
	}
	for _, h := range s.hosts {
		h.link = 250_000 // 2 Mbit/s
	}
	term := a.core.state.term
	s.crash(c)
	s.tendFor(time.Second)
	s.arrive("d").link = 250_000
	s.tendFor(6 * time.Second)
	require.Equal(t, []string{"a", "b", "d"}, s.voters())
	require.Equal(t, term, s.leader().core.state.term, "the leader lost its leadership")
}

// TestThawedLeaderReplacesNobody guards against a leader that replaces a voter
// right after it was suspended: it received no messages in that time, so voters
// that were up look silent.
func TestThawedLeaderReplacesNobody(t *testing.T) {
	s, a, b, _ := newTrio(t)
	s.arrive("d")
	s.run(2 * DefaultElection)
	for _, h := range s.hosts {
		h.frozen = never
	}
	s.run(2 * testRule.Silence)
	a.core.advanceClock(s.local(a)) // a resumes and has not ticked yet
	_, err := a.core.replace(b.incarnation, "d")
	require.ErrorIs(t, err, ErrChangePending)
}

func TestSuccessorOfASuccessorTakesOverItsVoter(t *testing.T) {
	s := newSim(t, 7, 5)
	a := s.lead("a")
	s.run(DefaultElection)
	lost, d := s.host("b"), s.host("c")
	d1 := d.incarnation
	ms := Members{}
	for _, m := range a.core.members() {
		if m.Incarnation == d1 {
			m.Replaces = lost.incarnation // already a voter; the lost one isn't removed yet
		}
		ms = append(ms, m)
	}
	s.wipe(d)
	s.run(2 * DefaultElection)
	ms = ms.WithMember(Member{Name: "c", Incarnation: d.incarnation, Role: Voter, Replaces: d1, Promoted: 1})
	a.core.history = append(a.core.history, indexedMembers{a.core.commit, ms})
	_, err := a.core.remove(d1)
	require.NoError(t, err)
	m, ok := a.core.members().get(d.incarnation)
	require.True(t, ok)
	require.Equal(t, lost.incarnation, m.Replaces)
}

func TestSuccessionOfStoppedVoters(t *testing.T) {
	noon := time.Unix(1_000_000, 0)
	members := []Member{{Name: "a", Incarnation: "a1", Role: Voter}, {Name: "b", Incarnation: "b1", Role: Voter}, {Name: "c", Incarnation: "c1", Role: Voter}}
	spare := Announced{Name: "s", Incarnation: "s1", Heard: noon}
	newcomer := Announced{Name: "n", Incarnation: "n1", Since: noon.Add(-time.Second), Heard: noon}
	emptied := Announced{Name: "b", Incarnation: "b2", Since: noon, Heard: noon}
	for _, c := range []struct {
		name    string
		waiting []Announced
		by      string // replaces c, which is leaving
		awaited bool   // c waits for its replacement
	}{
		{"no waiting replica", nil, "", false},
		{"a spare doesn't replace it", []Announced{spare}, "", false},
		{"a newly started replica replaces it", []Announced{newcomer}, "n", true},
		{"a newly started replica takes precedence over a spare", []Announced{spare, newcomer}, "n", true},
		{"a member that lost its folder replaces only itself", []Announced{emptied}, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			st := Status{Incarnation: "a1", Members: members, Waiting: c.waiting, Peers: []PeerStatus{
				{Name: "b", Incarnation: "b1", Heard: noon}, {Name: "c", Incarnation: "c1", Heard: noon, Leaving: true},
			}}
			next, ok := testRule.Successor(st, noon)
			require.Equal(t, c.by != "", ok)
			require.Equal(t, c.by, next.By.Name)
			st.Incarnation = "c1"
			require.Equal(t, c.awaited, testRule.Awaited(st, noon))
		})
	}
}

func TestLeavingVoterStaysUntilItsSuccessorIsCommitted(t *testing.T) {
	st := Status{
		Incarnation: "c1", MembersAt: 9, Commit: 8,
		Members: []Member{
			{Name: "a", Incarnation: "a1", Role: Voter},
			{Name: "b", Incarnation: "b1", Role: Voter},
			{Name: "c", Incarnation: "c1", Role: Voter},
			{Name: "d", Incarnation: "d1", Role: Voter, Replaces: "c1", Promoted: 9},
		},
	}
	require.False(t, st.Succeeded(), "the promotion is not committed and may be lost with the leader")
	st.Commit = 9
	require.True(t, st.Succeeded())
}
