package replog

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

func TestSecondChangeWaitsForTheFirst(t *testing.T) {
	s, a, b, c := newTrio(t)
	s.wipe(c)
	s.run(DefaultElection)
	b.stall()
	_, err := a.core.replace("c", "c")
	require.NoError(t, err)
	_, err = a.core.remove("b")
	require.ErrorIs(t, err, ErrChangePending)
	s.run(DefaultHeartbeat)
	_, err = a.core.remove("b")
	require.ErrorIs(t, err, ErrChangePending)
}

func TestNewLeaderChangesNothingBeforeItsFirstCommit(t *testing.T) {
	s, a, b, c := newTrio(t)
	s.crash(a)
	s.watch = func(*simHost) {
		for _, h := range []*simHost{b, c} {
			if h.core.role == Leader {
				b.stall()
				c.stall()
			}
		}
	}
	s.runUntil("another leader", time.Minute, func() bool { return s.leader() != nil })
	_, err := s.leader().core.remove("a")
	require.ErrorIs(t, err, ErrChangePending)
}

func TestPromotesOnlyWhatHasCaughtUp(t *testing.T) {
	s, a, _, c := newTrio(t)
	s.wipe(c)
	s.run(DefaultElection)
	c.stall()
	_, err := a.core.replace("c", "c")
	require.NoError(t, err)
	s.run(DefaultElection)
	_, err = a.core.promote(c.incarnation)
	require.ErrorIs(t, err, ErrNotCaughtUp)
	s.run(5 * DefaultElection)
	require.Equal(t, CatchingUp, a.core.repairStatus()[0].State)
	c.resume()
	s.runUntil("repaired", time.Minute, s.repaired)
}

// TestWipedReplicaNeverVotesAsItsOldSelf wipes the only host besides the leader
// that holds a write. The new incarnation must not elect a leader without it.
func TestWipedReplicaNeverVotesAsItsOldSelf(t *testing.T) {
	s, a, b, c := newTrio(t)
	s.isolate("c")
	s.write(a, "new")
	s.runUntil("the second write", time.Second, func() bool { return s.clients[1].ok })
	s.isolate("a")
	s.cut[[2]string{"b", "c"}], s.cut[[2]string{"c", "b"}] = false, false
	s.wipe(b)
	s.run(20 * DefaultElection)
	require.NotEqual(t, Leader, c.core.role)
	require.Equal(t, Waiting, b.core.role)
	s.heal()
	s.runUntil("repaired", time.Minute, func() bool {
		s.repair()
		return s.repaired()
	})
	s.settleDown()
}

// TestSecondHostLostRightAfterRepair wipes a second host as soon as the repair
// of the first one is shown as done.
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	for _, second := range []string{"a", "c"} {
		s, a, b, _ := newTrio(t)
		for i := range 50 {
			s.write(a, string(rune('A'+i)))
			s.run(simTick)
		}
		s.wipe(b)
		b.slow = 20 * time.Millisecond
		s.runUntil("repaired", time.Minute, func() bool {
			s.write(s.leader(), "meanwhile")
			s.repair()
			return s.repaired()
		})
		s.wipe(s.host(second))
		s.runUntil("repaired again", time.Minute, func() bool {
			s.repair()
			return s.repaired()
		})
		s.settleDown()
	}
}

// TestRepairIsNotDoneBeforeThePromotionIsCommitted checks the states of a
// repair in order.
func TestRepairIsNotDoneBeforeThePromotionIsCommitted(t *testing.T) {
	s, a, _, c := newTrio(t)
	s.wipe(c)
	s.run(DefaultElection)
	_, err := a.core.replace("c", "c")
	require.NoError(t, err)
	var stages []RepairState
	stalled := 0
	s.runUntil("repaired", time.Minute, func() bool {
		r := a.core.repairStatus()[0]
		m, _ := a.core.members().get(c.incarnation)
		if m.Role == Voter && m.Promoted <= a.core.commit {
			if stalled++; stalled == 1 {
				c.stall()
			}
			if stalled == 30 {
				require.LessOrEqual(t, m.Repaired, a.core.commit, "the removal is not committed while the new member is stalled")
				c.resume()
			}
		}
		if n := len(stages); n == 0 || stages[n-1] != r.State {
			stages = append(stages, r.State)
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
	require.Equal(t, CatchingUp, stages[0])
	require.Equal(t, Repaired, stages[len(stages)-1])
}

// TestOlderFolderIsRefused restores a copy of a data folder that was taken
// while its replica was running, so that the boot count doesn't reveal its age.
func TestOlderFolderIsRefused(t *testing.T) {
	s, a, b, _ := newTrio(t)
	backup := b.disk.Clone()
	s.isolate("c")
	s.write(a, "new")
	s.runUntil("the second write", time.Second, func() bool { return s.clients[1].ok })
	s.cut = make(map[[2]string]bool)
	s.crash(b)
	b.disk = backup
	s.boot(b)
	s.run(DefaultHeartbeat)
	require.Equal(t, Refused, b.core.role)
	require.NotEmpty(t, b.st.Identity().Refused)
	require.True(t, a.core.peerProgress("b-1").lostEntries, "the leader still counts the peer")
	s.crash(b)
	s.boot(b)
	require.Equal(t, Refused, b.core.role, "the refusal was not persisted")
	s.run(DefaultElection)
	s.wipe(b)
	s.runUntil("repaired", time.Minute, func() bool {
		s.repair()
		return s.repaired()
	})
	s.settleDown()
}

// TestUnvouchedReplicaElectsNobody restores an old data folder while the
// leader, which would refuse it, is disconnected for less than confirmDeadline.
func TestUnvouchedReplicaElectsNobody(t *testing.T) {
	s, a, b, c := newTrio(t)
	s.cutOff("a", "c")
	backup := b.disk.Clone()
	s.write(a, "new")
	s.runUntil("the second write", time.Second, func() bool { return s.clients[1].ok })
	s.run(3 * DefaultElection) // c has heard no leader since, and may campaign
	s.cutOff("a", "b")
	s.crash(b)
	b.disk = backup
	s.boot(b)
	b.core.followerLeaseDeadline = b.core.now
	c.core.electionDeadline = c.core.now
	s.run(DefaultElection)
	require.NotEqual(t, Leader, c.core.role)
	s.cut = make(map[[2]string]bool)
	s.run(DefaultElection)
	require.Equal(t, Refused, b.core.role)
}

// TestMarksOutliveARestart restarts all hosts, one of them with an old data
// folder.
func TestMarksOutliveARestart(t *testing.T) {
	s, a, b, _ := newTrio(t)
	backup := b.disk.Clone()
	for range 5 {
		s.write(a, "new")
		s.run(3 * DefaultHeartbeat)
	}
	for _, h := range s.hosts {
		s.crash(h)
	}
	b.disk = backup
	for _, h := range s.hosts {
		s.boot(h)
	}
	s.run(DefaultElection)
	require.Equal(t, Refused, b.core.role)
}

// TestLostFounderFoundsNoSecondCluster wipes the host that bootstrapped the
// cluster while the others are down.
func TestLostFounderFoundsNoSecondCluster(t *testing.T) {
	s, a, b, c := newTrio(t)
	s.crash(b)
	s.crash(c)
	s.wipe(a)
	s.run(20 * DefaultElection)
	require.Equal(t, Waiting, a.core.role)
	s.boot(b)
	s.boot(c)
	s.run(20 * DefaultElection)
	require.Equal(t, Waiting, a.core.role)
	s.runUntil("repaired", time.Minute, func() bool {
		s.repair()
		return s.repaired()
	})
	s.settleDown()
}

func TestRemovedLeaderStepsDown(t *testing.T) {
	s, a, _, _ := newTrio(t)
	_, err := a.core.remove("a")
	require.NoError(t, err)
	s.runUntil("another leader", time.Minute, func() bool { l := s.leader(); return l != nil && l != a })
	s.run(20 * DefaultElection)
	require.Equal(t, Follower, a.core.role)
}

func TestRemovalKeepsAQuorumInReach(t *testing.T) {
	s, a, b, _ := newTrio(t)
	s.crash(b)
	s.run(DefaultElection)
	_, err := a.core.remove("c")
	require.ErrorIs(t, err, ErrQuorum)
	_, err = a.core.remove("x")
	require.ErrorIs(t, err, ErrNoReplica)
	_, err = a.core.addLearner("x", "")
	require.ErrorIs(t, err, ErrNoReplica)
	_, err = a.core.remove("b")
	require.NoError(t, err)
}

// TestSnapshotResumesAfterACut sends a snapshot of many chunks over a network
// that fails repeatedly. The transfer must resume and not restart.
func TestSnapshotResumesAfterACut(t *testing.T) {
	s, a, _, c := newTrio(t)
	s.crash(c)
	for range 100 {
		s.write(a, "0123456789")
		s.run(simTick)
	}
	s.write(a, strings.Repeat("0123456789", 400))
	s.run(DefaultElection)
	s.snapshot(a)
	require.Greater(t, a.core.log.base, uint64(10))
	s.boot(c)
	size, sent := a.st.Snapshot().GetSize(), uint64(0)
	for i := 0; c.core.applied < a.core.commit; i++ {
		require.Less(t, i, 5000)
		s.run(simTick)
		s.cut = make(map[[2]string]bool)
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
	_, a, _, _ := newTrio(t)
	require.True(t, a.core.caughtUp(a.incarnation))
}

// TestMessagesForAnEarlierSelfAreDropped sends a wiped host a vote request that
// is addressed to its former incarnation.
func TestMessagesForAnEarlierSelfAreDropped(t *testing.T) {
	s, _, b, _ := newTrio(t)
	s.wipe(b)
	s.run(2 * DefaultElection)
	m := &wire.LogMessage{
		Kind: wire.LogKind_LOG_KIND_VOTE, Cluster: "sim", From: "c", FromIncarnation: "c-1",
		To: "b", ToIncarnation: "b-1", Term: 100, Index: 1000, LogTerm: 100,
	}
	b.core.step(s.local(b), m)
	require.Zero(t, b.core.state.term)
	m.ToIncarnation, m.Cluster = b.incarnation, "other"
	b.core.step(s.local(b), m)
	require.Zero(t, b.core.state.term)
}

// TestNewMemberThatLeadsEndsItsOwnRepair makes the new member the leader
// between its promotion and the removal of the old member.
func TestNewMemberThatLeadsEndsItsOwnRepair(t *testing.T) {
	s, a, _, c := newTrio(t)
	s.wipe(c)
	s.run(DefaultElection)
	_, err := a.core.replace("c", "c")
	require.NoError(t, err)
	s.watch = func(*simHost) {
		m, _ := a.core.members().get(c.incarnation)
		if a.core.role == Leader && m.Role == Voter && m.Promoted <= a.core.commit {
			a.core.becomeFollower(a.core.state.term, "")
		}
	}
	s.runUntil("the promotion", time.Minute, func() bool { return c.core.members().isVoter(c.incarnation) })
	s.watch = nil
	require.Len(t, c.core.members(), 4)
	s.lead("c")
	s.runUntil("repaired", time.Minute, s.repaired)
}

// TestLearnerWhoseAdditionWasLostAnnouncesItself delivers the entry that adds a
// new replica to that replica only. The leader then loses the entry in a crash.
func TestLearnerWhoseAdditionWasLostAnnouncesItself(t *testing.T) {
	s, a, _, c := newTrio(t)
	s.wipe(c)
	s.run(DefaultElection)
	a.stall()
	s.cutOff("a", "b")
	_, err := a.core.replace("c", "c")
	require.NoError(t, err)
	s.runUntil("the addition", time.Second, func() bool { return c.core.hasMembership() })
	s.crash(a)
	s.cut = make(map[[2]string]bool)
	a.resume()
	s.boot(a)
	require.Less(t, a.core.log.lastIndex(), c.core.log.lastIndex())
	s.runUntil("another leader", time.Minute, func() bool { l := s.leader(); return l != nil && l.core.hasCommittedInTerm() })
	s.runUntil("repaired", time.Minute, func() bool {
		s.repair()
		return s.repaired()
	})
	s.settleDown()
}
