package replog

import (
	"slices"
	"time"
)

// Replacement is a voter and the waiting replica that should replace it.
type Replacement struct {
	OldVoter   PeerStatus
	NewReplica WaitingReplica
	SilentFor  time.Duration // time since the leader last heard from the old voter
}

// ReplacementPolicy determines when an unreachable voter is replaced by a waiting
// replica. A replica that was started on a new host a short time ago was probably
// started to replace a lost one. A replica that was a member a short time ago has
// been replaced itself. A replica that has waited for long or was restarted is a
// spare. A spare replaces a voter only after a longer time, because the voter may
// be frozen and return.
type ReplacementPolicy struct {
	ReplaceByNewcomerAfter time.Duration // silence of a voter after which a newly started replica replaces it
	NewcomerPeriod         time.Duration // how long a replica counts as newly started
	ReturnedPeriod         time.Duration // how long a replica that was a member counts as newly started
	ReplaceBySpareAfter    time.Duration // silence of a voter after which any other waiting replica replaces it
}

// isNewcomer reports whether a replica counts as newly started.
func (r ReplacementPolicy) isNewcomer(w WaitingReplica, now time.Time) bool {
	limit := r.NewcomerPeriod
	if w.WasMember {
		limit = r.ReturnedPeriod
	}
	return now.Sub(w.WaitingSince) < limit
}

// NextReplacement returns the next replacement to make according to a leader's
// status. The voter that has been silent for longest is replaced first. A voter
// that is leaving takes precedence and is replaced without waiting.
func (r ReplacementPolicy) NextReplacement(st Status, now time.Time) (Replacement, bool) {
	var best Replacement
	found := false
	for _, w := range st.WaitingReplicas {
		if st.isMemberName(w) {
			continue
		}
		newcomer, silenceLimit := r.isNewcomer(w, now), r.ReplaceBySpareAfter
		if newcomer {
			silenceLimit = r.ReplaceByNewcomerAfter
		}
		for _, p := range st.Peers {
			silentFor := now.Sub(p.LastHeard)
			p.Leaving = p.Leaving && newcomer // without a newly started replica it may be a restart
			if !Members(st.Members).isVoter(p.Incarnation) || isBeingReplaced(st.Members, p.Incarnation) || !p.Leaving && silentFor <= silenceLimit {
				continue
			}
			if !found || p.Leaving && !best.OldVoter.Leaving || p.Leaving == best.OldVoter.Leaving && silentFor > best.SilentFor {
				best, found = Replacement{p, w, silentFor}, true
			}
		}
	}
	return best, found
}

// isMemberName reports whether a waiting replica has the name of a member,
// which means that the member has lost its data folder.
func (s Status) isMemberName(w WaitingReplica) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Name == w.Name })
}

// HasReplacement reports whether a newly started replica is waiting to replace
// this voter, which has to stop.
func (r ReplacementPolicy) HasReplacement(st Status, now time.Time) bool {
	return Members(st.Members).isVoter(st.Incarnation) && slices.ContainsFunc(st.WaitingReplicas, func(w WaitingReplica) bool {
		return r.isNewcomer(w, now) && !st.isMemberName(w)
	})
}

// LearnerToRemove returns a learner to remove because it blocks another
// replacement: it is silent, or it lost its data folder and a replica with the
// same name and another incarnation is waiting.
func (r ReplacementPolicy) LearnerToRemove(st Status, now time.Time) (Member, bool) {
	silenceLimit := r.ReplaceBySpareAfter
	if slices.ContainsFunc(st.WaitingReplicas, func(w WaitingReplica) bool { return r.isNewcomer(w, now) }) {
		silenceLimit = r.ReplaceByNewcomerAfter
	}
	for _, m := range st.Members {
		if m.Role != Learner || len(st.WaitingReplicas) == 0 {
			continue
		}
		nameReused := slices.ContainsFunc(st.WaitingReplicas, func(w WaitingReplica) bool { return w.Name == m.Name })
		unreachable := slices.ContainsFunc(st.Peers, func(p PeerStatus) bool {
			return p.Incarnation == m.Incarnation && now.Sub(p.LastHeard) > silenceLimit
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

// MarkLeaving tells the leader, with this replica's next messages, that this
// process is about to stop, so that a waiting replica can replace this one.
func (n *Node) MarkLeaving() {
	n.updateCore(func(c *core, now time.Time) {
		c.advanceClock(now)
		c.leaving = true
	})
}

// WasReplaced reports whether another replica votes instead of this one. The
// leader sends the entry that removes a member only to the remaining members,
// so a member that knows that its replacement's promotion is committed, and
// that has no leader, is considered removed.
func (s Status) WasReplaced() bool {
	m, member := Members(s.Members).get(s.Incarnation)
	if !member || m.Role != Voter {
		return true
	}
	return s.Leader == "" && s.MembersIndex <= s.Commit && slices.ContainsFunc(s.Members, func(o Member) bool { return o.Replaces == s.Incarnation && o.Role == Voter })
}
