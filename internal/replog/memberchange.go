package replog

import (
	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// checkChange returns an error if the membership can't be changed now. One
// member changes at a time, and only after the last change and an entry of the
// leader's own term are committed: then any majority before the change overlaps
// any majority after it. A leader without a lease may have been suspended, so
// it doesn't know which members were sending messages in the meantime.
func (c *core) checkChange() error {
	if c.role != Leader {
		return &NotLeaderError{Leader: c.leaderName()}
	}
	if !c.hasCommittedInTerm() || !c.hasLease(c.now) || c.history.latest().index > c.commit {
		return ErrChangePending
	}
	if c.diskFull {
		return ErrDiskFull
	}
	return nil
}

// proposeMembers appends a membership, which is in effect at once, and returns its
// index.
func (c *core) proposeMembers(ms Members) (uint64, error) {
	data, err := ms.encode()
	if err != nil {
		return 0, err
	}
	index := c.appendEntry(wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS, data)
	c.history = append(c.history, indexedMembers{index, ms})
	return index, nil
}

// addLearner adds the replica that announced itself under a name. If it
// replaces a member, the leader later promotes it and removes the old member
// automatically.
func (c *core) addLearner(name, replaces string) (uint64, error) {
	return c.addLearnerToMembers(c.members(), name, replaces)
}

// addLearnerToMembers adds a learner to ms, which is the current membership or
// that without some learners. Learners are in no quorum, so dropping one in the
// same change is safe.
func (c *core) addLearnerToMembers(ms Members, name, replaces string) (uint64, error) {
	if err := c.checkChange(); err != nil {
		return 0, err
	}
	a, ok := c.join.announced[name]
	if !ok {
		return 0, errors.Wrapf(ErrNoReplica, "%q has not announced itself", name)
	}
	if _, ok := c.members().get(a.incarnation); ok {
		return 0, errors.Wrapf(ErrAlreadyMember, "%q, incarnation %s", name, a.incarnation)
	}
	m := Member{Name: name, Incarnation: a.incarnation, Role: Learner, Replaces: replaces}
	return c.proposeMembers(ms.WithMember(m))
}

// replace adds the replica that announced itself under a name as a learner that
// replaces the member old, given by its name or incarnation.
func (c *core) replace(old, name string) (uint64, error) {
	if err := c.checkChange(); err != nil {
		return 0, err
	}
	m, err := c.members().lookup(old)
	if err != nil {
		return 0, err
	}
	if m.Role == Learner {
		// The new replica replaces the voter that the learner was to replace.
		return c.addLearnerToMembers(c.members().WithoutMember(m.Incarnation), name, m.Replaces)
	}
	return c.addLearner(name, m.Incarnation)
}

// caughtUp reports whether a member's log on disk is less than an election
// timeout behind the commit index. The leader is included because it may itself
// be a replacement whose repair is not complete.
func (c *core) caughtUp(incarnation string) bool {
	if incarnation == c.self {
		return c.log.saved >= c.commit
	}
	p := c.peerProgress(incarnation)
	return p != nil && !p.lostEntries && !p.diskFull && c.reachable(p) && (p.match >= c.commit || c.now.Before(p.caughtUpDeadline))
}

// promote makes a learner, given by its name or incarnation, a voter.
func (c *core) promote(key string) (uint64, error) {
	if err := c.checkChange(); err != nil {
		return 0, err
	}
	m, err := c.members().lookup(key)
	if err != nil {
		return 0, err
	}
	if m.Role == Voter {
		return 0, errors.Wrapf(ErrAlreadyMember, "%q is already a voter", key)
	}
	if !c.caughtUp(m.Incarnation) {
		return 0, errors.Wrapf(ErrNotCaughtUp, "%q", key)
	}
	_, replacedPresent := c.members().get(m.Replaces)
	return c.proposeMembers(c.members().WithMember(m.WithPromotion(c.log.lastIndex()+1, !replacedPresent)))
}

// remove removes a member, given by its name or incarnation. It also updates the
// members that were to replace the removed one.
func (c *core) remove(key string) (uint64, error) {
	if err := c.checkChange(); err != nil {
		return 0, err
	}
	m, err := c.members().lookup(key)
	if err != nil {
		return 0, err
	}
	remaining := c.members().WithoutMember(m.Incarnation)
	if !c.quorumReachable(remaining) {
		return 0, errors.Wrapf(ErrNoQuorum, "without %q", key)
	}
	_, replacedPresent := remaining.get(m.Replaces)
	for _, r := range remaining {
		switch {
		case r.Replaces != m.Incarnation:
		case replacedPresent:
			// The replacement takes over the voter that the removed one was to
			// replace.
			remaining = remaining.WithMember(r.WithReplaces(m.Replaces))
		case r.Role == Voter:
			remaining = remaining.WithMember(r.WithRepaired(c.log.lastIndex() + 1))
		}
	}
	return c.proposeMembers(remaining)
}

// quorumReachable reports whether a quorum of a membership's voters is reachable
// from this leader, which counts itself if it is one of them.
func (c *core) quorumReachable(ms Members) bool {
	n := 0
	for _, m := range ms.voters() {
		if p := c.peerProgress(m.Incarnation); m.Incarnation == c.self || (p != nil && c.reachable(p)) {
			n++
		}
	}
	return len(ms.voters()) > 0 && n >= ms.quorum()
}

// advanceReplacements continues replacements: a learner that has caught up is
// promoted, then the member that it replaces is removed. The pending steps are
// recorded in the membership, so a new leader continues them.
func (c *core) advanceReplacements() {
	if c.checkChange() != nil {
		return
	}
	for _, m := range c.members() {
		if m.Replaces == "" {
			continue
		}
		var err error
		switch _, replacedPresent := c.members().get(m.Replaces); {
		case m.Role == Learner && c.caughtUp(m.Incarnation):
			_, err = c.promote(m.Incarnation)
		case m.Role == Voter && replacedPresent && c.caughtUp(m.Incarnation):
			_, err = c.remove(m.Replaces)
		default:
			continue
		}
		if err == nil {
			return
		}
	}
}

// RepairState is the stage of a member's replacement.
type RepairState string

// The states of a repair, in order.
const (
	CatchingUp RepairState = "catchingup" // the new member lacks entries
	Promoting  RepairState = "promoting"  // the promotion of the new member isn't committed
	Retiring   RepairState = "retiring"   // the old member isn't removed, or the new one lacks that entry
	Repaired   RepairState = "repaired"   // done; the cluster tolerates the loss of another host
)

// repairState returns the stage of a replacement. It is done once the removal
// of the old member is committed and the new one holds that entry on disk, and
// so everything that was committed before.
func (c *core) repairState(m Member) RepairState {
	if m.Role == Learner {
		return CatchingUp
	}
	if m.Promoted > c.commit {
		return Promoting
	}
	if m.Repaired == 0 || m.Repaired > c.commit {
		return Retiring
	}
	if p := c.peerProgress(m.Incarnation); p != nil && p.match < m.Repaired {
		return Retiring
	}
	return Repaired
}
