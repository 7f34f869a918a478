package replog

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/store/memdisk"
)

// addNewHost starts a host with an empty data folder that is not an initial
// voter.
func (s *sim) addNewHost(name string) *simHost {
	return s.addHost(&simHost{name: name, disk: memdisk.New(), addedLater: true})
}

// addSpareHost starts a host that is not an initial voter, as in the first
// start of the cluster.
func (s *sim) addSpareHost(name string) *simHost {
	return s.addHost(&simHost{name: name, disk: memdisk.New(), addedLater: true, firstStart: true})
}

// addHost adds a host to the simulation and starts it.
func (s *sim) addHost(h *simHost) *simHost {
	s.hosts = append(s.hosts, h)
	s.startHost(h)
	return h
}

// TestReplicaRemovedWhileUnreachableAnnouncesItself guards against a replica
// that was removed while it was unreachable and never notices.
func TestReplicaRemovedWhileUnreachableAnnouncesItself(t *testing.T) {
	s, a, _, c := newThreeHosts(t)
	s.isolate("c")
	s.run(2 * DefaultElectionTimeout)
	_, err := a.core.remove("c")
	require.NoError(t, err)
	s.run(2 * DefaultElectionTimeout)
	s.healFaults()
	s.runUntil("an announcement", 10*time.Second, func() bool { return len(s.leader().core.waitingReplicas()) == 1 })
	require.Equal(t, c.incarnation, s.leader().core.waitingReplicas()[0].Incarnation)
}

// replacementTime is the time within which a newly started replica must have
// replaced a lost voter.
const replacementTime = 4 * time.Second

var testPolicy = ReplacementPolicy{ReplaceByNewcomerAfter: time.Second, NewcomerPeriod: 20 * time.Second, ReturnedPeriod: 8 * time.Second, ReplaceBySpareAfter: 8 * time.Second}

// maintainMembership maintains the membership like the leader of jobctl.
func (s *sim) maintainMembership() {
	l := s.leader()
	if l == nil || !l.core.hasCommittedInTerm() {
		return
	}
	c, now := l.core, s.localTime(l)
	c.advanceClock(now)
	st := Status{Incarnation: c.self, Members: c.members(), Peers: c.peerStatus(), WaitingReplicas: c.waitingReplicas()}
	if m, ok := testPolicy.LearnerToRemove(st, now); ok {
		_, _ = c.remove(m.Incarnation)
	} else if next, ok := testPolicy.NextReplacement(st, now); ok {
		if _, err := c.replace(next.OldVoter.Incarnation, next.NewReplica.Name); err == nil {
			s.replacements++
		}
	}
	s.processOutputs(l)
}

// restartHost stops a host for the given time.
func (s *sim) restartHost(h *simHost, down time.Duration) {
	s.crashHost(h)
	s.runMaintained(down)
	s.startHost(h)
}

// runMaintained advances the time and calls maintainMembership as often as
// jobctl does.
func (s *sim) runMaintained(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.run(400 * time.Millisecond)
		s.maintainMembership()
	}
}

// committedMembers returns the names of the members according to the leader,
// nil if its membership is not committed.
func (s *sim) committedMembers() []string {
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

// newFiveHosts returns five hosts, of which two may be lost. Host "a" leads.
func newFiveHosts(t *testing.T) *sim {
	s := newSim(t, 7, 5)
	s.write(s.makeLeader("a"), "old")
	s.run(3 * DefaultHeartbeatInterval)
	return s
}

// crashAndCheck crashes hosts and checks that the others elect a leader, which
// needs all committed entries, and that it commits a write.
func (s *sim) crashAndCheck(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		s.crashHost(s.host(name))
	}
	s.runUntil("a leader", 10*time.Second, func() bool { l := s.leader(); return l != nil && l.core.hasCommittedInTerm() })
	l := s.leader()
	s.write(l, "after")
	op := s.ops[len(s.ops)-1]
	s.runUntil("a write", 5*time.Second, func() bool { return op.succeeded })
}

// TestLostVoterIsReplacedInTime guards against a lost voter that is still a
// member after the time for its replacement.
func TestLostVoterIsReplacedInTime(t *testing.T) {
	for _, lost := range []string{"a", "b", "c"} { // a leads
		for _, second := range []string{"a", "b", "c"} {
			if second == lost {
				continue
			}
			s, _, _, _ := newThreeHosts(t)
			s.crashHost(s.host(lost))
			s.runMaintained(time.Second)
			s.addNewHost("d")
			s.runMaintained(replacementTime)
			require.Len(t, s.committedMembers(), 3, "after the loss of %s", lost)
			require.NotContains(t, s.committedMembers(), lost)
			s.crashAndCheck(t, second)
		}
	}
}

// TestTwoReplacementsAtOnce guards against two replacements that block each
// other.
func TestTwoReplacementsAtOnce(t *testing.T) {
	for _, lost := range [][]string{{"a", "b"}, {"b", "c"}} {
		s := newFiveHosts(t)
		for _, name := range lost {
			s.crashHost(s.host(name))
		}
		s.runMaintained(time.Second)
		s.addNewHost("f")
		s.addNewHost("g")
		s.runMaintained(replacementTime)
		require.Subset(t, s.committedMembers(), []string{"d", "e", "f", "g"})
		require.Len(t, s.committedMembers(), 5)
		s.crashAndCheck(t, "d", "e")
	}
}

// TestVoterReturnsDuringItsReplacement guards against a voter that resumes
// while its replacement catches up, is removed, and never becomes a member
// again.
func TestVoterReturnsDuringItsReplacement(t *testing.T) {
	s, a, b, c := newThreeHosts(t)
	c.frozenUntil = s.now + 1500*time.Millisecond
	d := s.addNewHost("d")
	d.writeDelay = 50 * time.Millisecond
	s.runUntil("a replacement", 5*time.Second, func() bool {
		s.runMaintained(100 * time.Millisecond)
		return s.replacements == 1
	})
	d.stallWrites()
	s.runMaintained(2 * time.Second)
	require.True(t, s.isRunning(c))
	s.write(a, "meanwhile")
	d.resumeWrites()
	s.runMaintained(replacementTime)
	require.Equal(t, []string{"a", "b", "d"}, s.committedMembers())
	s.crashHost(b)
	s.runMaintained(replacementTime)
	require.Equal(t, []string{"a", "c", "d"}, s.committedMembers(), "the removed voter replaces the next lost one")
	require.Equal(t, 2, s.replacements)
	s.crashAndCheck(t, "a")
}

// TestReplacementIsLostBeforePromotion guards against a replacement that is
// lost before its promotion and blocks the next one.
func TestReplacementIsLostBeforePromotion(t *testing.T) {
	for _, fault := range []string{"crashed", "wiped"} {
		s, _, _, c := newThreeHosts(t)
		s.crashHost(c)
		s.runMaintained(time.Second)
		d := s.addNewHost("d")
		d.stallWrites()
		s.runUntil("a replacement", 5*time.Second, func() bool {
			s.runMaintained(100 * time.Millisecond)
			return s.replacements == 1
		})
		s.crashHost(d)
		if fault == "wiped" {
			d.resumeWrites()
			s.wipeDisk(d)
		} else {
			s.addNewHost("e")
		}
		s.runMaintained(replacementTime)
		require.Len(t, s.committedMembers(), 3, fault)
		require.NotContains(t, s.committedMembers(), "c", fault)
		s.crashAndCheck(t, "b")
	}
}

// TestLongestSilentVoterIsReplacedFirst guards against replacing a frozen voter
// instead of one that has crashed.
func TestLongestSilentVoterIsReplacedFirst(t *testing.T) {
	s := newFiveHosts(t)
	s.crashHost(s.host("d"))
	s.runMaintained(2 * time.Second)
	s.host("b").frozenUntil = s.now + 4*time.Second
	s.runMaintained(1500 * time.Millisecond)
	s.addNewHost("f")
	s.runMaintained(replacementTime)
	require.Equal(t, []string{"a", "b", "c", "e", "f"}, s.committedMembers())
}

// TestSpareDoesNotReplaceBrieflyFrozenVoter guards against spares that replace
// voters that are frozen for a few seconds.
func TestSpareDoesNotReplaceBrieflyFrozenVoter(t *testing.T) {
	s := newFiveHosts(t)
	s.addNewHost("f")
	s.addNewHost("g")
	s.runMaintained(testPolicy.NewcomerPeriod + time.Second)
	for i, name := range []string{"b", "c", "a", "d", "e"} {
		h := s.host(name)
		h.frozenUntil = s.now + time.Duration(2+i)*time.Second
		s.runMaintained(8 * time.Second)
	}
	require.Zero(t, s.replacements)
	s.crashHost(s.host("b"))
	s.runMaintained(testPolicy.ReplaceBySpareAfter + 2*time.Second)
	require.Equal(t, 1, s.replacements)
	require.Len(t, s.committedMembers(), 5)
}

// TestReturnedVoterSoonCountsAsSpare guards against a chain of replacements in
// which each voter that was frozen and removed replaces the next frozen one.
func TestReturnedVoterSoonCountsAsSpare(t *testing.T) {
	s := newFiveHosts(t)
	s.addNewHost("f")
	s.runMaintained(time.Second)
	for _, name := range []string{"b", "c", "d"} {
		s.host(name).frozenUntil = s.now + 3*time.Second
		s.runMaintained(15 * time.Second)
	}
	require.Equal(t, 1, s.replacements)
	require.Equal(t, []string{"a", "c", "d", "e", "f"}, s.committedMembers())
}

// TestRollingRestartReplacesNoVoter guards against spares and restarted
// replicas that replace one voter after the other during a rolling restart.
func TestRollingRestartReplacesNoVoter(t *testing.T) {
	s := newFiveHosts(t)
	s.restartHost(s.addNewHost("f"), time.Second)
	s.addSpareHost("g")
	for range 2 {
		for _, name := range []string{"b", "f", "c", "g", "a", "d", "e"} {
			s.restartHost(s.host(name), 2*time.Second)
			s.runMaintained(time.Second)
		}
	}
	require.Zero(t, s.replacements)
}

// TestLeavingVoterIsReplacedImmediately guards against a voter that was stopped
// permanently and remains in the membership.
func TestLeavingVoterIsReplacedImmediately(t *testing.T) {
	for _, name := range []string{"a", "b"} { // a leads
		s, _, _, _ := newThreeHosts(t)
		s.addNewHost("d")
		s.runMaintained(replacementTime)
		require.Zero(t, s.replacements, "a voter was replaced although none is silent")
		h := s.host(name)
		h.core.leaving = true
		h.core.resign()
		s.runMaintained(3 * time.Second)
		require.Len(t, s.committedMembers(), 3)
		require.NotContains(t, s.committedMembers(), name)
		st := Status{Incarnation: h.core.self, Members: h.core.members(), Leader: h.core.leaderName()}
		require.True(t, st.WasReplaced(), "the leaving voter doesn't know that it was replaced")
		require.Empty(t, s.leader().core.waitingReplicas(), "the leaving voter announces itself again")
		s.crashHost(h)
		s.crashAndCheck(t, "c")
	}
}

// TestReplacementPassesThroughFourVoters guards against swapping one voter for
// another in a single entry, which allows two disjoint majorities: a and c
// before it, b and d after it.
func TestReplacementPassesThroughFourVoters(t *testing.T) {
	s, a, _, c := newThreeHosts(t)
	s.crashHost(c)
	s.runMaintained(1200 * time.Millisecond)
	s.addNewHost("d")
	seen := map[int]bool{}
	s.onStep = func(h *simHost) {
		if h == a {
			seen[len(a.core.members().voters())] = true
		}
	}
	s.runMaintained(replacementTime)
	require.Equal(t, map[int]bool{3: true, 4: true}, seen)
}

// TestReplacementCatchesUpOverSlowLink guards against catch-up traffic that
// saturates the leader's link and delays its heartbeats.
func TestReplacementCatchesUpOverSlowLink(t *testing.T) {
	for _, source := range []string{"entries", "snapshot"} {
		testCatchUpOverSlowLink(t, source)
	}
}

func testCatchUpOverSlowLink(t *testing.T, source string) {
	t.Helper()
	s, a, _, c := newThreeHosts(t)
	value := strings.Repeat("x", 4000)
	for range 150 {
		s.write(a, value)
		s.run(simTick)
	}
	if source == "snapshot" {
		s.write(a, strings.Repeat(value, 150))
		s.run(DefaultElectionTimeout)
		for _, h := range s.hosts {
			h.core.opt.ChunkBytes = DefaultChunkBytes
			s.takeSnapshot(h)
		}
		require.Greater(t, a.core.log.base, uint64(10))
	}
	for _, h := range s.hosts {
		h.linkBytesPerSecond = 250_000 // 2 Mbit/s
	}
	term := a.core.state.term
	s.crashHost(c)
	s.runMaintained(time.Second)
	s.addNewHost("d").linkBytesPerSecond = 250_000
	s.runMaintained(6 * time.Second)
	require.Equal(t, []string{"a", "b", "d"}, s.committedMembers())
	require.Equal(t, term, s.leader().core.state.term, "the leader lost its leadership")
}

// TestResumedLeaderReplacesNoVoter guards against a leader that replaces a
// voter right after it was suspended: it received no messages in that time, so
// voters that were up look silent.
func TestResumedLeaderReplacesNoVoter(t *testing.T) {
	s, a, b, _ := newThreeHosts(t)
	s.addNewHost("d")
	s.run(2 * DefaultElectionTimeout)
	for _, h := range s.hosts {
		h.frozenUntil = forever
	}
	s.run(2 * testPolicy.ReplaceByNewcomerAfter)
	a.core.advanceClock(s.localTime(a)) // a resumes and has not ticked yet
	_, err := a.core.replace(b.incarnation, "d")
	require.ErrorIs(t, err, ErrChangePending)
}

// TestReplacementOfReplacementInheritsReplacedVoter guards against a lost voter that
// is never removed because the replica that was to replace it was itself replaced.
// Host b is the lost voter. Host c was to replace it and has lost its disk.
func TestReplacementOfReplacementInheritsReplacedVoter(t *testing.T) {
	s := newSim(t, 7, 5)
	a := s.makeLeader("a")
	s.run(DefaultElectionTimeout)
	lost, replacement := s.host("b"), s.host("c")
	wipedIncarnation := replacement.incarnation
	ms := Members{}
	for _, m := range a.core.members() {
		if m.Incarnation == wipedIncarnation {
			m.Replaces = lost.incarnation // already a voter; the lost one isn't removed yet
		}
		ms = append(ms, m)
	}
	s.wipeDisk(replacement)
	s.run(2 * DefaultElectionTimeout)
	ms = ms.WithMember(Member{Name: "c", Incarnation: replacement.incarnation, Role: Voter, Replaces: wipedIncarnation, Promoted: 1})
	a.core.history = append(a.core.history, indexedMembers{a.core.commit, ms})
	_, err := a.core.remove(wipedIncarnation)
	require.NoError(t, err)
	m, ok := a.core.members().get(replacement.incarnation)
	require.True(t, ok)
	require.Equal(t, lost.incarnation, m.Replaces)
}

// TestReplacementOfLeavingVoters checks which waiting replica replaces a voter that
// is leaving.
func TestReplacementOfLeavingVoters(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	members := []Member{{Name: "a", Incarnation: "a1", Role: Voter}, {Name: "b", Incarnation: "b1", Role: Voter}, {Name: "c", Incarnation: "c1", Role: Voter}}
	spare := WaitingReplica{Name: "s", Incarnation: "s1", LastHeard: now}
	newcomer := WaitingReplica{Name: "n", Incarnation: "n1", WaitingSince: now.Add(-time.Second), LastHeard: now}
	wiped := WaitingReplica{Name: "b", Incarnation: "b2", WaitingSince: now, LastHeard: now}
	for _, c := range []struct {
		name           string
		waiting        []WaitingReplica
		replacedBy     string // replica that replaces c, which is leaving
		hasReplacement bool   // c waits for its replacement
	}{
		{"no waiting replica", nil, "", false},
		{"a spare doesn't replace it", []WaitingReplica{spare}, "", false},
		{"a newly started replica replaces it", []WaitingReplica{newcomer}, "n", true},
		{"a newly started replica takes precedence over a spare", []WaitingReplica{spare, newcomer}, "n", true},
		{"a member that lost its folder replaces only itself", []WaitingReplica{wiped}, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			st := Status{Incarnation: "a1", Members: members, WaitingReplicas: c.waiting, Peers: []PeerStatus{
				{Name: "b", Incarnation: "b1", LastHeard: now}, {Name: "c", Incarnation: "c1", LastHeard: now, Leaving: true},
			}}
			next, ok := testPolicy.NextReplacement(st, now)
			require.Equal(t, c.replacedBy != "", ok)
			require.Equal(t, c.replacedBy, next.NewReplica.Name)
			st.Incarnation = "c1"
			require.Equal(t, c.hasReplacement, testPolicy.HasReplacement(st, now))
		})
	}
}

func TestLeavingVoterStaysUntilReplacementIsCommitted(t *testing.T) {
	st := Status{
		Incarnation: "c1", MembersIndex: 9, Commit: 8,
		Members: []Member{
			{Name: "a", Incarnation: "a1", Role: Voter},
			{Name: "b", Incarnation: "b1", Role: Voter},
			{Name: "c", Incarnation: "c1", Role: Voter},
			{Name: "d", Incarnation: "d1", Role: Voter, Replaces: "c1", Promoted: 9},
		},
	}
	require.False(t, st.WasReplaced(), "the promotion is not committed and may be lost with the leader")
	st.Commit = 9
	require.True(t, st.WasReplaced())
}
