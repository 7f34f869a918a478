package replog

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// newThreeHosts returns three hosts. Host "a" leads and has committed the write
// "old".
func newThreeHosts(t *testing.T) (s *sim, a, b, c *simHost) {
	s = newSim(t, 7, 3)
	a = s.makeLeader("a")
	s.write(a, "old")
	s.runUntil("the first write", time.Second, func() bool { return s.ops[0].succeeded })
	s.run(3 * DefaultHeartbeatInterval)
	return s, a, s.host("b"), s.host("c")
}

func TestAcknowledgesOnlyWhatIsSynced(t *testing.T) {
	s, a, b, _ := newThreeHosts(t)
	s.isolate("c")
	b.stallWrites()
	s.write(a, "new")
	s.run(time.Second)
	require.False(t, s.ops[1].succeeded, "committed with one copy on disk")
	s.crashHost(b)
	s.isolate("a")
	delete(s.blockedLinks, [2]string{"b", "c"})
	delete(s.blockedLinks, [2]string{"c", "b"})
	b.resumeWrites()
	s.startHost(b)
	s.runUntil("b or c leads", time.Minute, func() bool { l := s.leader(); return l != nil && l != a })
	s.healAndCheck()
}

func TestLeaderCountsItselfOnlyOnceSynced(t *testing.T) {
	s, a, _, _ := newThreeHosts(t)
	s.isolate("c")
	a.stallWrites()
	s.write(a, "new")
	s.run(time.Second)
	require.False(t, s.ops[1].succeeded, "committed with one copy on disk")
}

func TestVoteIsSyncedBeforeItIsSent(t *testing.T) {
	s, a, b, c := newThreeHosts(t)
	s.isolate("c")
	s.crashHost(a)
	s.startHost(a)
	b.stallWrites()
	a.core.electionDeadline = s.localTime(a).Add(2 * DefaultElectionTimeout)
	s.run(4 * DefaultElectionTimeout)
	require.NotEqual(t, Leader, a.core.role, "elected with a vote that is not on disk")
	s.crashHost(b)
	s.isolate("a")
	delete(s.blockedLinks, [2]string{"b", "c"})
	delete(s.blockedLinks, [2]string{"c", "b"})
	b.resumeWrites()
	s.startHost(b)
	s.runUntil("b or c leads", time.Minute, func() bool { return b.core.role == Leader || c.core.role == Leader })
}

func TestVotesOncePerTerm(t *testing.T) {
	s, a, b, c := newThreeHosts(t)
	s.crashHost(a)
	s.run(4 * DefaultElectionTimeout)
	term := max(b.core.state.term, c.core.state.term) + 5
	for i, from := range []string{"x", "y"} {
		b.core.followerLeaseDeadline = b.core.now
		b.core.step(s.localTime(b), &wire.LogMessage{
			Kind: wire.LogKind_LOG_KIND_VOTE, Cluster: "sim", From: from, FromIncarnation: from,
			To: "b", ToIncarnation: b.core.self, Term: term, Index: 1000, LogTerm: term,
		})
		require.Equal(t, "x", b.core.state.vote)
		require.Len(t, b.core.out.afterSync, 1, "replies after vote request %d", i)
	}
}

func TestFollowerGrantsNoVoteDuringLeaderLease(t *testing.T) {
	s, a, _, _ := newThreeHosts(t)
	term := a.core.state.term
	s.blockLink("a", "c")
	s.run(10 * DefaultElectionTimeout)
	require.Equal(t, Leader, a.core.role)
	require.Equal(t, term, a.core.state.term)
}

func TestVoteRestrictionSurvivesRestart(t *testing.T) {
	s, a, b, c := newThreeHosts(t)
	s.blockLink("a", "c")
	s.run(5 * DefaultElectionTimeout) // c's election timeout has expired
	s.isolate("a")
	delete(s.blockedLinks, [2]string{"b", "c"})
	s.crashHost(b)
	s.startHost(b)
	b.core.join.votingAllowed = true
	lease := a.core.leaderState.leaseDeadline
	c.core.electionDeadline = c.core.now
	for s.localTime(a).Before(lease) {
		require.NotEqual(t, Leader, c.core.role, "elected during a's lease")
		s.run(simTick)
	}
}

func TestReconnectedReplicaDoesNotDisruptLeader(t *testing.T) {
	s, a, _, _ := newThreeHosts(t)
	term := a.core.state.term
	s.isolate("c")
	s.run(20 * DefaultElectionTimeout)
	s.blockedLinks = make(map[[2]string]bool)
	s.run(5 * DefaultElectionTimeout)
	require.Equal(t, Leader, a.core.role)
	require.Equal(t, term, a.core.state.term)
}

func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	s, a, _, _ := newThreeHosts(t)
	s.isolate("a")
	s.run(DefaultElectionTimeout + DefaultHeartbeatInterval)
	require.NotEqual(t, Leader, a.core.role)
}

// TestFrozenLeaderAnswersNoRead checks that a former leader that was frozen
// doesn't answer a read that it gets before it receives any message.
func TestFrozenLeaderAnswersNoRead(t *testing.T) {
	s, a, _, _ := newThreeHosts(t)
	a.frozenUntil = forever
	s.runUntil("another leader", time.Minute, func() bool { l := s.leader(); return l != nil && l.core.hasCommittedInTerm() })
	s.write(s.leader(), "new")
	s.runUntil("the second write", time.Second, func() bool { return s.ops[1].succeeded })
	a.frozenUntil = 0
	s.read(a)
	require.False(t, s.ops[2].succeeded, "a read was answered after the lease had expired")
	s.healAndCheck()
}

func TestLeaseStartsWhenHeartbeatIsSent(t *testing.T) {
	s, a, _, _ := newThreeHosts(t)
	s.maxExtraDelay = 300 * time.Millisecond
	for range 50 {
		s.run(simTick)
		sent := a.core.leaderState.quorumRoundSentAt
		require.Equal(t, sent.Add(a.core.opt.leaseTime()), a.core.leaderState.leaseDeadline)
		if len(a.core.leaderState.pendingRounds) > 0 {
			require.False(t, sent.After(a.core.leaderState.pendingRounds[0].sentAt))
		}
	}
	require.Less(t, a.core.opt.leaseTime(), DefaultElectionTimeout)
}

// TestNewLeaderAnswersNoReadBeforeFirstCommit checks that a new leader that
// doesn't know yet that its predecessor committed a write answers no read.
func TestNewLeaderAnswersNoReadBeforeFirstCommit(t *testing.T) {
	s, a, b, c := newThreeHosts(t)
	s.blockLink("a", "c")
	s.write(a, "new")
	for !s.ops[1].succeeded {
		require.True(t, s.deliverNext(forever))
	}
	s.isolate("a") // before b learns the new commit index
	s.blockLink("a", "b")
	delete(s.blockedLinks, [2]string{"c", "b"})
	s.onStep = func(*simHost) {
		if b.core.role == Leader {
			b.stallWrites()
			c.stallWrites()
		}
	}
	s.runUntil("b leads", time.Minute, func() bool { return b.core.role == Leader })
	s.read(b)
	s.run(100 * time.Millisecond)
	require.False(t, s.ops[2].succeeded, "a read was answered with %q", s.ops[2].value)
	s.onStep = nil
	b.resumeWrites()
	c.resumeWrites()
	s.healAndCheck()
}

// TestLeaderCommitsOnlyWithEntryOfCurrentTerm guards against committing an
// entry of an earlier term that a majority holds but that may still be
// replaced.
func TestLeaderCommitsOnlyWithEntryOfCurrentTerm(t *testing.T) {
	members := Members{{Name: "a", Incarnation: "a-1", Role: Voter}, {Name: "b", Incarnation: "b-1", Role: Voter}, {Name: "c", Incarnation: "c-1", Role: Voter}}
	data, err := members.encode()
	require.NoError(t, err)
	contents := store.Contents{
		State: &wire.LogState{Term: 3},
		Entries: []*wire.LogEntry{
			{Term: 1, Index: 1, Kind: wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS, Data: data},
			{Term: 2, Index: 2, Kind: wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND},
		},
	}
	opt := Options{Name: "a", Cluster: "sim", Voters: []Peer{{"a"}}}.WithDefaults()
	c, err := newCore(opt, store.Identity{Name: "a", Incarnation: "a-1", Boot: 1}, contents, time.Now())
	require.NoError(t, err)
	c.state = c.state.withTerm(4)
	c.becomeLeader()
	reply := &wire.LogMessage{
		Kind: wire.LogKind_LOG_KIND_APPEND_REPLY, Cluster: "sim", From: "b", FromIncarnation: "b-1",
		To: "a", ToIncarnation: "a-1", Boot: 1, Term: 4, Index: 2,
	}
	c.step(c.now, reply)
	require.Zero(t, c.commit, "committed an entry of an earlier term by counting copies")
	c.diskWorkSaved(c.now, c.takeDiskWork())
	reply.Index = 3
	c.step(c.now, reply)
	require.EqualValues(t, 3, c.commit)
}

func TestFlowControlBoundsBytesInFlight(t *testing.T) {
	s, a, _, _ := newThreeHosts(t)
	a.core.opt.MaxInflightBytes, a.core.opt.MaxAppendBytes, a.core.opt.TrailingLogBytes = 2000, 500, 1<<20
	s.blockLink("b", "a") // b's replies are lost
	for range 100 {
		s.write(a, "0123456789")
		s.run(simTick)
		require.LessOrEqual(t, a.core.peerProgress("b-1").inflightBytes, 2000+500)
	}
	s.healAndCheck()
}

func TestProposalsAreBoundedWhileNothingCommits(t *testing.T) {
	s, a, _, _ := newThreeHosts(t)
	a.core.opt.MaxQueueBytes = 1000
	for _, h := range s.hosts {
		h.stallWrites()
	}
	var err error
	for range 20 {
		_, err = a.core.propose([]byte("x"))
	}
	require.ErrorIs(t, err, ErrBusy)
	_, err = a.core.propose(make([]byte, DefaultMaxCommandBytes+1))
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = s.host("b").core.propose(nil)
	require.ErrorIs(t, err, ErrNotLeader)
	require.ErrorContains(t, err, "the leader is a")
}

// TestLeaderKeepsLeaseWhileDisksAreBlocked checks that the leader keeps its
// lease while all disks are blocked and entries are waiting to be saved.
func TestLeaderKeepsLeaseWhileDisksAreBlocked(t *testing.T) {
	s, a, _, _ := newThreeHosts(t)
	term := a.core.state.term
	for _, h := range s.hosts {
		h.stallWrites()
	}
	for range 100 {
		s.write(a, "new")
		s.run(5 * simTick)
	}
	require.Equal(t, Leader, a.core.role)
	require.Equal(t, term, a.core.state.term)
	require.True(t, a.core.hasLease(s.localTime(a)))
}

// TestIdleTraffic checks the required limit on the idle traffic of a daemon.
func TestIdleTraffic(t *testing.T) {
	const maxBytesPerSecond = 29_000
	s, _, _, _ := newThreeHosts(t)
	before := maps.Clone(s.sentBytes)
	s.run(10 * time.Second)
	for name, sent := range s.sentBytes {
		rate := (sent - before[name]) / 10
		t.Logf("%s sends %d bytes per second while idle", name, rate)
		require.Less(t, rate, maxBytesPerSecond)
	}
}

// TestNewerSnapshotCompletesPendingRestore checks that restoring from a
// snapshot also completes the restore requested for an older one.
func TestNewerSnapshotCompletesPendingRestore(t *testing.T) {
	_, a, _, _ := newThreeHosts(t)
	a.core.pendingRestore = &wire.LogSnapshot{Index: 10, Id: "first"}
	a.core.snapshotRestored(&wire.LogSnapshot{Index: 20, Id: "second"})
	require.Nil(t, a.core.pendingRestore)
	require.EqualValues(t, 20, a.core.applied)
}
