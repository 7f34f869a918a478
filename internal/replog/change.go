package replog

import (
	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// checkChange tells whether the membership may be changed now. One member
// changes at a time, and only after the last change and an entry of the
// leader's own term are committed: then any majority before the change meets
// any majority after it. Without its lease a leader may have been suspended, and
// doesn't know whom it would have heard.
func (c *core) checkChange() error {
	if c.role != Leader {
		return &NotLeaderError{Leader: c.leaderName()}
	}
	if !c.ready() || !c.hasLease(c.now) || c.history.latest().index > c.commit {
		return ErrChangePending
	}
	if c.full {
		return ErrDiskFull
	}
	return nil
}

func (c *core) proposeMembers(ms Members) (uint64, error) {
	data, err := ms.encode()
	if err != nil {
		return 0, err
	}
	index := c.appendOwn(wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS, data)
	c.history = append(c.history, membersAt{index, ms})
	return index, nil
}

// addLearner adds the replica that announced itself under a name. If it
// replaces a member, it is promoted and the old one removed without further
// request.
func (c *core) addLearner(name, replaces string) (uint64, error) {
	return c.addLearnerTo(c.members(), name, replaces)
}

// addLearnerTo does the same with a membership that may lack learners of the
// present one: they are in no quorum.
func (c *core) addLearnerTo(ms Members, name, replaces string) (uint64, error) {
	if err := c.checkChange(); err != nil {
		return 0, err
	}
	a, ok := c.hello.announced[name]
	if !ok {
		return 0, errors.Wrapf(ErrNoReplica, "%q has not announced itself", name)
	}
	if _, ok := c.members().get(a.incarnation); ok {
		return 0, errors.Wrapf(ErrMember, "%q, incarnation %s", name, a.incarnation)
	}
	m := Member{Name: name, Incarnation: a.incarnation, Role: Learner, Replaces: replaces}
	return c.proposeMembers(ms.WithMember(m))
}

func (c *core) replace(old, name string) (uint64, error) {
	if err := c.checkChange(); err != nil {
		return 0, err
	}
	m, err := c.members().lookup(old)
	if err != nil {
		return 0, err
	}
	if m.Role == Learner {
		// The voter that it was to replace gives way to the new one.
		return c.addLearnerTo(c.members().Without(m.Incarnation), name, m.Replaces)
	}
	return c.addLearner(name, m.Incarnation)
}

// caughtUp tells whether a member holds on disk what was committed less than
// an election time ago. The leader may itself be the replacement whose repair
// is still to be completed.
func (c *core) caughtUp(inc string) bool {
	if inc == c.self {
		return c.log.saved >= c.commit
	}
	p := c.peer(inc)
	return p != nil && !p.refused && !p.full && c.reachable(p) && (p.match >= c.commit || c.now.Before(p.caughtUpDeadline))
}

func (c *core) promote(key string) (uint64, error) {
	if err := c.checkChange(); err != nil {
		return 0, err
	}
	m, err := c.members().lookup(key)
	if err != nil {
		return 0, err
	}
	if m.Role == Voter {
		return 0, errors.Wrapf(ErrMember, "%q votes already", key)
	}
	if !c.caughtUp(m.Incarnation) {
		return 0, errors.Wrapf(ErrNotCaughtUp, "%q", key)
	}
	_, old := c.members().get(m.Replaces)
	return c.proposeMembers(c.members().WithMember(m.WithPromotion(c.log.lastIndex()+1, !old)))
}

func (c *core) remove(key string) (uint64, error) {
	if err := c.checkChange(); err != nil {
		return 0, err
	}
	m, err := c.members().lookup(key)
	if err != nil {
		return 0, err
	}
	rest := c.members().Without(m.Incarnation)
	if !c.quorumReachable(rest) {
		return 0, errors.Wrapf(ErrQuorum, "without %q", key)
	}
	_, inherited := rest.get(m.Replaces)
	for _, r := range rest {
		switch {
		case r.Replaces != m.Incarnation:
		case inherited:
			// The voter that it was to replace gives way to its successor.
			rest = rest.WithMember(r.WithReplaced(m.Replaces))
		case r.Role == Voter:
			rest = rest.WithMember(r.WithRepair(c.log.lastIndex() + 1))
		}
	}
	return c.proposeMembers(rest)
}

func (c *core) quorumReachable(ms Members) bool {
	n := 0
	for _, m := range ms.voters() {
		if p := c.peer(m.Incarnation); m.Incarnation == c.self || (p != nil && c.reachable(p)) {
			n++
		}
	}
	return len(ms.voters()) > 0 && n >= ms.quorum()
}

// maintainMembers carries replacements forward: a learner that has caught up
// is promoted, then the member that it replaces is removed. What is left to
// do stands in the membership, so a new leader goes on with it.
func (c *core) maintainMembers() {
	if c.checkChange() != nil {
		return
	}
	for _, m := range c.members() {
		if m.Replaces == "" {
			continue
		}
		var err error
		switch _, old := c.members().get(m.Replaces); {
		case m.Role == Learner && c.caughtUp(m.Incarnation):
			_, err = c.promote(m.Incarnation)
		case m.Role == Voter && old && c.caughtUp(m.Incarnation):
			_, err = c.remove(m.Replaces)
		default:
			continue
		}
		if err == nil {
			return
		}
	}
}

// RepairState is how far the replacement of a member has come.
type RepairState string

// The states of a repair, in their order.
const (
	CatchingUp RepairState = "catchingup" // the new member lacks entries
	Promoting  RepairState = "promoting"  // its promotion isn't committed
	Retiring   RepairState = "retiring"   // the old member isn't removed
	Repaired   RepairState = "repaired"   // another host may be lost now
)

// repairState tells how far a replacement is. It is done once the removal of
// the old member is committed and the new one holds that entry on disk, and
// with it all that was committed before.
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
	if p := c.peer(m.Incarnation); p != nil && p.match < m.Repaired {
		return Retiring
	}
	return Repaired
}
