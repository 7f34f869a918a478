package replog

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

func TestSecondMembershipChangeIsRejectedUntilFirstCommits(t *testing.T) {
	s, a, b, c := newThreeHosts(t)
	s.wipeDisk(c)
	s.run(DefaultElectionTimeout)
	b.stallWrites()
	_, err := a.core.replace("c", "c")
	require.NoError(t, err)
	_, err = a.core.remove("b")
	require.ErrorIs(t, err, ErrChangePending)
	s.run(DefaultHeartbeatInterval)
	_, err = a.core.remove("b")
	require.ErrorIs(t, err, ErrChangePending)
}

func TestNewLeaderRejectsMembershipChangeBeforeFirstCommit(t *testing.T) {
	s, a, b, c := newThreeHosts(t)
	s.crashHost(a)
	s.onStep = func(*simHost) {
		for _, h := range []*simHost{b, c} {
			if h.core.role == Leader {
				b.stallWrites()
				c.stallWrites()
			}
		}
	}
	s.runUntil("another leader", time.Minute, func() bool { return s.leader() != nil })
	_, err := s.leader().core.remove("a")
	require.ErrorIs(t, err, ErrChangePending)
}

func TestPromotesOnlyCaughtUpLearner(t *testing.T) {
	s, a, _, c := newThreeHosts(t)
	s.wipeDisk(c)
	s.run(DefaultElectionTimeout)
	c.stallWrites()
	_, err := a.core.replace("c", "c")
	require.NoError(t, err)
	s.run(DefaultElectionTimeout)
	_, err = a.core.promote(c.incarnation)
	require.ErrorIs(t, err, ErrNotCaughtUp)
	s.run(5 * DefaultElectionTimeout)
	require.Equal(t, CatchingUp, a.core.repairStatus()[0].State)
	c.resumeWrites()
	s.runUntil("repaired", time.Minute, s.allRepaired)
}

// TestWipedReplicaNeverVotesAsFormerIncarnation wipes the only host besides the
// leader that holds a write. The new incarnation must not elect a leader
// without it.
func TestWipedReplicaNeverVotesAsFormerIncarnation(t *testing.T) {
	s, a, b, c := newThreeHosts(t)
	s.isolate("c")
	s.write(a, "new")
	s.runUntil("the second write", time.Second, func() bool { return s.ops[1].succeeded })
	s.isolate("a")
	s.blockedLinks[[2]string{"b", "c"}], s.blockedLinks[[2]string{"c", "b"}] = false, false
	s.wipeDisk(b)
	s.run(20 * DefaultElectionTimeout)
	require.NotEqual(t, Leader, c.core.role)
	require.Equal(t, Waiting, b.core.role)
	s.healFaults()
	s.runUntil("repaired", time.Minute, func() bool {
		s.replaceWipedHosts()
		return s.allRepaired()
	})
	s.healAndCheck()
}

// TestSecondHostLostRightAfterRepair wipes a second host as soon as the repair
// of the first one is shown as done.
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	for _, second := range []string{"a", "c"} {
		s, a, b, _ := newThreeHosts(t)
		for i := range 50 {
			s.write(a, string(rune('A'+i)))
			s.run(simTick)
		}
		s.wipeDisk(b)
		b.writeDelay = 20 * time.Millisecond
		s.runUntil("repaired", time.Minute, func() bool {
			s.write(s.leader(), "meanwhile")
			s.replaceWipedHosts()
			return s.allRepaired()
		})
		s.wipeDisk(s.host(second))
		s.runUntil("repaired again", time.Minute, func() bool {
			s.replaceWipedHosts()
			return s.allRepaired()
		})
		s.healAndCheck()
	}
}

// TestRepairIsNotDoneBeforeThePromotionIsCommitted checks the states of a
// repair in order.
func TestRepairIsNotDoneBeforeThePromotionIsCommitted(t *testing.T) {
	s, a, _, c := newThreeHosts(t)
	s.wipeDisk(c)
	s.run(DefaultElectionTimeout)
	_, err := a.core.replace("c", "c")
	require.NoError(t, err)
	var states []RepairState
	stalledSteps := 0
	s.runUntil("repaired", time.Minute, func() bool {
		r := a.core.repairStatus()[0]
		m, _ := a.core.members().get(c.incarnation)
		if m.Role == Voter && m.Promoted <= a.core.commit {
			if stalledSteps++; stalledSteps == 1 {
				c.stallWrites()
			}
			if stalledSteps == 30 {
				require.LessOrEqual(t, m.Repaired, a.core.commit, "the removal is not committed while the new member is stalled")
				c.resumeWrites()
			}
		}
		if n := len(states); n == 0 || states[n-1] != r.State {
			states = append(states, r.State)
		}
		require.Equal(t, r.State == Repaired, r.Done)
		if r.Done {
			require.Equal(t, Voter, m.Role)
			require.LessOrEqual(t, m.Promoted, a.core.commit)
			require.LessOrEqual(t, m.Repaired, a.core.commit)
			require.GreaterOrEqual(t, c.core.log.saved, m.Repaired)
			require.Len(t, a.core.members(), 3)
		}
		return r.Done
	})
	require.Equal(t, CatchingUp, states[0])
	require.Equal(t, Repaired, states[len(states)-1])
}

// TestOutdatedFolderIsRefused restores a copy of a data folder that was taken
// while its replica was running, so that the boot count doesn't reveal its age.
func TestOutdatedFolderIsRefused(t *testing.T) {
	s, a, b, _ := newThreeHosts(t)
	backup := b.disk.Clone()
	s.isolate("c")
	s.write(a, "new")
	s.runUntil("the second write", time.Second, func() bool { return s.ops[1].succeeded })
	s.blockedLinks = make(map[[2]string]bool)
	s.crashHost(b)
	b.disk = backup
	s.startHost(b)
	s.run(DefaultHeartbeatInterval)
	require.Equal(t, Refused, b.core.role)
	require.NotEmpty(t, b.st.Identity().Refused)
	require.True(t, a.core.peerProgress("b-1").lostEntries, "the leader still counts the peer")
	s.crashHost(b)
	s.startHost(b)
	require.Equal(t, Refused, b.core.role, "the refusal was not persisted")
	s.run(DefaultElectionTimeout)
	s.wipeDisk(b)
	s.runUntil("repaired", time.Minute, func() bool {
		s.replaceWipedHosts()
		return s.allRepaired()
	})
	s.healAndCheck()
}

// TestUnconfirmedReplicaGrantsNoVote restores an old data folder while the
// leader, which would refuse it, is disconnected for less than confirmDeadline.
func TestUnconfirmedReplicaGrantsNoVote(t *testing.T) {
	s, a, b, c := newThreeHosts(t)
	s.blockLink("a", "c")
	backup := b.disk.Clone()
	s.write(a, "new")
	s.runUntil("the second write", time.Second, func() bool { return s.ops[1].succeeded })
	s.run(3 * DefaultElectionTimeout) // c has heard no leader since, and may campaign
	s.blockLink("a", "b")
	s.crashHost(b)
	b.disk = backup
	s.startHost(b)
	b.core.followerLeaseDeadline = b.core.now
	c.core.electionDeadline = c.core.now
	s.run(DefaultElectionTimeout)
	require.NotEqual(t, Leader, c.core.role)
	s.blockedLinks = make(map[[2]string]bool)
	s.run(DefaultElectionTimeout)
	require.Equal(t, Refused, b.core.role)
}

// TestMarksSurviveRestart restarts all hosts, one of them with an old data
// folder.
func TestMarksSurviveRestart(t *testing.T) {
	s, a, b, _ := newThreeHosts(t)
	backup := b.disk.Clone()
	for range 5 {
		s.write(a, "new")
		s.run(3 * DefaultHeartbeatInterval)
	}
	for _, h := range s.hosts {
		s.crashHost(h)
	}
	b.disk = backup
	for _, h := range s.hosts {
		s.startHost(h)
	}
	s.run(DefaultElectionTimeout)
	require.Equal(t, Refused, b.core.role)
}

// TestWipedHostBootstrapsNoSecondCluster wipes the host that bootstrapped the
// cluster while the others are down.
func TestWipedHostBootstrapsNoSecondCluster(t *testing.T) {
	s, a, b, c := newThreeHosts(t)
	s.crashHost(b)
	s.crashHost(c)
	s.wipeDisk(a)
	s.run(20 * DefaultElectionTimeout)
	require.Equal(t, Waiting, a.core.role)
	s.startHost(b)
	s.startHost(c)
	s.run(20 * DefaultElectionTimeout)
	require.Equal(t, Waiting, a.core.role)
	s.runUntil("repaired", time.Minute, func() bool {
		s.replaceWipedHosts()
		return s.allRepaired()
	})
	s.healAndCheck()
}

func TestRemovedLeaderStepsDown(t *testing.T) {
	s, a, _, _ := newThreeHosts(t)
	_, err := a.core.remove("a")
	require.NoError(t, err)
	s.runUntil("another leader", time.Minute, func() bool { l := s.leader(); return l != nil && l != a })
	s.run(20 * DefaultElectionTimeout)
	require.Equal(t, Follower, a.core.role)
}

func TestRemoveRequiresReachableQuorum(t *testing.T) {
	s, a, b, _ := newThreeHosts(t)
	s.crashHost(b)
	s.run(DefaultElectionTimeout)
	_, err := a.core.remove("c")
	require.ErrorIs(t, err, ErrNoQuorum)
	_, err = a.core.remove("x")
	require.ErrorIs(t, err, ErrNoReplica)
	_, err = a.core.addLearner("x", "")
	require.ErrorIs(t, err, ErrNoReplica)
	_, err = a.core.remove("b")
	require.NoError(t, err)
}

// TestSnapshotTransferResumesAfterDisconnect sends a snapshot of many chunks
// over a network that fails repeatedly. The transfer must resume and not
// restart.
func TestSnapshotTransferResumesAfterDisconnect(t *testing.T) {
	s, a, _, c := newThreeHosts(t)
	s.crashHost(c)
	for range 100 {
		s.write(a, "0123456789")
		s.run(simTick)
	}
	s.write(a, strings.Repeat("0123456789", 400))
	s.run(DefaultElectionTimeout)
	s.takeSnapshot(a)
	require.Greater(t, a.core.log.base, uint64(10))
	s.startHost(c)
	size, sent := a.st.Snapshot().GetSize(), uint64(0)
	for i := 0; c.core.applied < a.core.commit; i++ {
		require.Less(t, i, 5000)
		s.run(simTick)
		s.blockedLinks = make(map[[2]string]bool)
		if p := a.core.peerProgress("c-1"); p.state == Transfer {
			require.GreaterOrEqual(t, p.transfer.offset, sent, "the transfer restarted")
			sent = p.transfer.offset
			if i%20 == 0 {
				s.isolate("c")
			}
		}
	}
	require.Greater(t, size, uint64(20*64))
	require.Equal(t, a.state, c.state)
}

// TestLeaderIsCaughtUp checks that a leader counts itself as caught up.
// Otherwise a replacement that leads never completes its own repair.
func TestLeaderIsCaughtUp(t *testing.T) {
	_, a, _, _ := newThreeHosts(t)
	require.True(t, a.core.caughtUp(a.incarnation))
}

// TestMessagesForFormerIncarnationAreDropped sends a wiped host a vote request
// that is addressed to its former incarnation.
func TestMessagesForFormerIncarnationAreDropped(t *testing.T) {
	s, _, b, _ := newThreeHosts(t)
	s.wipeDisk(b)
	s.run(2 * DefaultElectionTimeout)
	m := &wire.LogMessage{
		Kind: wire.LogKind_LOG_KIND_VOTE, Cluster: "sim", From: "c", FromIncarnation: "c-1",
		To: "b", ToIncarnation: "b-1", Term: 100, Index: 1000, LogTerm: 100,
	}
	b.core.step(s.localTime(b), m)
	require.Zero(t, b.core.state.term)
	m.ToIncarnation, m.Cluster = b.incarnation, "other"
	b.core.step(s.localTime(b), m)
	require.Zero(t, b.core.state.term)
}

// TestLeadingReplacementCompletesItsOwnRepair makes the new member the leader
// between its promotion and the removal of the old member.
func TestLeadingReplacementCompletesItsOwnRepair(t *testing.T) {
	s, a, _, c := newThreeHosts(t)
	s.wipeDisk(c)
	s.run(DefaultElectionTimeout)
	_, err := a.core.replace("c", "c")
	require.NoError(t, err)
	s.onStep = func(*simHost) {
		m, _ := a.core.members().get(c.incarnation)
		if a.core.role == Leader && m.Role == Voter && m.Promoted <= a.core.commit {
			a.core.becomeFollower(a.core.state.term, "")
		}
	}
	s.runUntil("the promotion", time.Minute, func() bool { return c.core.members().isVoter(c.incarnation) })
	s.onStep = nil
	require.Len(t, c.core.members(), 4)
	s.makeLeader("c")
	s.runUntil("repaired", time.Minute, s.allRepaired)
}

// TestLearnerWhoseAdditionWasLostAnnouncesItself delivers the entry that adds a
// new replica to that replica only. The leader then loses the entry in a crash.
func TestLearnerWhoseAdditionWasLostAnnouncesItself(t *testing.T) {
	s, a, _, c := newThreeHosts(t)
	s.wipeDisk(c)
	s.run(DefaultElectionTimeout)
	a.stallWrites()
	s.blockLink("a", "b")
	_, err := a.core.replace("c", "c")
	require.NoError(t, err)
	s.runUntil("the addition", time.Second, func() bool { return c.core.hasMembership() })
	s.crashHost(a)
	s.blockedLinks = make(map[[2]string]bool)
	a.resumeWrites()
	s.startHost(a)
	require.Less(t, a.core.log.lastIndex(), c.core.log.lastIndex())
	s.runUntil("another leader", time.Minute, func() bool { l := s.leader(); return l != nil && l.core.hasCommittedInTerm() })
	s.runUntil("repaired", time.Minute, func() bool {
		s.replaceWipedHosts()
		return s.allRepaired()
	})
	s.healAndCheck()
}
