package replog

import (
	"slices"
	"time"
)

// Succession is a voter and the waiting replica that should replace it.
type Succession struct {
	Old    PeerStatus
	By     Announced
	Silent time.Duration
}

// SuccessionRule determines when an unreachable voter is replaced by a waiting
// replica. A replica that has just been started on a new host indicates that it
// was started to replace another one. A replica that was a member until now has
// been replaced itself. A replica that has waited for long or was restarted is
// a spare. A spare replaces a voter only after a longer time, because the voter
// may be frozen and return.
type SuccessionRule struct {
	Silence  time.Duration // silence of a voter after which a newly started replica replaces it
	Fresh    time.Duration // how long a replica counts as newly started
	Returned time.Duration // how long a replica that was a member counts as newly started
	Patience time.Duration // silence of a voter after which any other waiting replica replaces it
}

// isNewcomer reports whether a replica counts as newly started.
func (r SuccessionRule) isNewcomer(a Announced, now time.Time) bool {
	limit := r.Fresh
	if a.Formed {
		limit = r.Returned
	}
	return now.Sub(a.Since) < limit
}

// Successor returns the next replacement to make according to a leader's
// status. The voter that has been silent for longest is replaced first. A voter
// that is leaving takes precedence and is replaced without waiting.
func (r SuccessionRule) Successor(st Status, now time.Time) (Succession, bool) {
	var best Succession
	found := false
	for _, a := range st.Waiting {
		if st.isMemberName(a) {
			continue
		}
		newcomer, silenceLimit := r.isNewcomer(a, now), r.Patience
		if newcomer {
			silenceLimit = r.Silence
		}
		for _, p := range st.Peers {
			silentFor := now.Sub(p.Heard)
			p.Leaving = p.Leaving && newcomer // without a newly started replica it may be a restart
			if !Members(st.Members).isVoter(p.Incarnation) || isBeingReplaced(st.Members, p.Incarnation) || !p.Leaving && silentFor <= silenceLimit {
				continue
			}
			if !found || p.Leaving && !best.Old.Leaving || p.Leaving == best.Old.Leaving && silentFor > best.Silent {
				best, found = Succession{p, a, silentFor}, true
			}
		}
	}
	return best, found
}

// isMemberName reports whether a waiting replica has the name of a member,
// which means that the member has lost its data folder.
func (s Status) isMemberName(a Announced) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Name == a.Name })
}

// Awaited reports whether a newly started replica is waiting to replace this
// voter, which has to stop.
func (r SuccessionRule) Awaited(st Status, now time.Time) bool {
	return Members(st.Members).isVoter(st.Incarnation) && slices.ContainsFunc(st.Waiting, func(a Announced) bool {
		return r.isNewcomer(a, now) && !st.isMemberName(a)
	})
}

// Dropped returns a learner to remove because it blocks another replacement: it
// is silent, or it lost its data folder and a replica with the same name and
// another incarnation is waiting.
func (r SuccessionRule) Dropped(st Status, now time.Time) (Member, bool) {
	silenceLimit := r.Patience
	if slices.ContainsFunc(st.Waiting, func(a Announced) bool { return r.isNewcomer(a, now) }) {
		silenceLimit = r.Silence
	}
	for _, m := range st.Members {
		if m.Role != Learner || len(st.Waiting) == 0 {
			continue
		}
		nameReused := slices.ContainsFunc(st.Waiting, func(a Announced) bool { return a.Name == m.Name })
		unreachable := slices.ContainsFunc(st.Peers, func(p PeerStatus) bool {
			return p.Incarnation == m.Incarnation && now.Sub(p.Heard) > silenceLimit
		})
		if nameReused || unreachable {
			return m, true
		}
	}
	return Member{}, false
}

// isBeingReplaced reports whether a member is being replaced by another one.
func isBeingReplaced(ms []Member, incarnation string) bool {
	return slices.ContainsFunc(ms, func(m Member) bool { return m.Replaces == incarnation })
}

// Leave tells the leader that this process is about to stop, so that a waiting
// replica can replace this one.
func (n *Node) Leave() {
	n.updateCore(func(c *core, now time.Time) {
		c.advanceClock(now)
		c.leaving = true
	})
}

// Succeeded reports whether another replica votes instead of this one. The
// leader sends the entry that removes a member only to the remaining members,
// so a member that knows that its replacement's promotion is committed, and
// that has no leader, is considered removed.
func (s Status) Succeeded() bool {
	m, member := Members(s.Members).get(s.Incarnation)
	if !member || m.Role != Voter {
		return true
	}
	return s.Leader == "" && s.MembersAt <= s.Commit && slices.ContainsFunc(s.Members, func(o Member) bool { return o.Replaces == s.Incarnation && o.Role == Voter })
}
