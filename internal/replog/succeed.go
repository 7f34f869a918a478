package replog

import (
	"slices"
	"time"
)

// Succession is a voter and the waiting replica that is to take its place.
type Succession struct {
	Old    PeerStatus
	By     Announced
	Silent time.Duration
}

// SuccessionRule tells when a voter that is out of reach gives way. A replica that has
// just come in a new place is a sign that another one was replaced by it, and one
// that was a member until now has been replaced itself. One that has waited for long
// or was restarted is a spare, and a frozen voter is better waited for.
type SuccessionRule struct {
	Silence  time.Duration // after which a replica that has just come takes its place
	Fresh    time.Duration // for which a replica counts as one that has just come
	Returned time.Duration // for which one that was a member does
	Patience time.Duration // after which any other waiting replica takes its place
}

// fresh tells whether a replica has just come.
func (r SuccessionRule) fresh(a Announced, now time.Time) bool {
	limit := r.Fresh
	if a.Formed {
		limit = r.Returned
	}
	return now.Sub(a.Since) < limit
}

// Successor returns what is to be done next, by a leader's status. Of several
// voters the one that has been silent for longest goes first. One that is leaving
// goes at once.
func (r SuccessionRule) Successor(st Status, now time.Time) (Succession, bool) {
	var best Succession
	found := false
	for _, a := range st.Waiting {
		if st.lostFolder(a) {
			continue
		}
		fresh, limit := r.fresh(a, now), r.Patience
		if fresh {
			limit = r.Silence
		}
		for _, p := range st.Peers {
			silent := now.Sub(p.Heard)
			p.Leaving = p.Leaving && fresh // or it may be a restart
			if !Members(st.Members).isVoter(p.Incarnation) || replaced(st.Members, p.Incarnation) || !p.Leaving && silent <= limit {
				continue
			}
			if !found || p.Leaving && !best.Old.Leaving || p.Leaving == best.Old.Leaving && silent > best.Silent {
				best, found = Succession{p, a, silent}, true
			}
		}
	}
	return best, found
}

// lostFolder tells whether a waiting replica is a member that has lost its folder.
func (s Status) lostFolder(a Announced) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Name == a.Name })
}

// Awaited tells a voter that has to stop whether a replica is there that is to take
// its place.
func (r SuccessionRule) Awaited(st Status, now time.Time) bool {
	return Members(st.Members).isVoter(st.Incarnation) && slices.ContainsFunc(st.Waiting, func(a Announced) bool {
		return r.fresh(a, now) && !st.lostFolder(a)
	})
}

// Dropped returns a learner that stands in the way of another successor, because it
// is silent or its folder was lost: the replica that waits under its name is a
// new one.
func (r SuccessionRule) Dropped(st Status, now time.Time) (Member, bool) {
	limit := r.Patience
	if slices.ContainsFunc(st.Waiting, func(a Announced) bool { return r.fresh(a, now) }) {
		limit = r.Silence
	}
	for _, m := range st.Members {
		if m.Role != Learner || len(st.Waiting) == 0 {
			continue
		}
		reborn := slices.ContainsFunc(st.Waiting, func(a Announced) bool { return a.Name == m.Name })
		lost := slices.ContainsFunc(st.Peers, func(p PeerStatus) bool {
			return p.Incarnation == m.Incarnation && now.Sub(p.Heard) > limit
		})
		if reborn || lost {
			return m, true
		}
	}
	return Member{}, false
}

// replaced tells whether another member is to take the place of one.
func replaced(ms []Member, inc string) bool {
	return slices.ContainsFunc(ms, func(m Member) bool { return m.Replaces == inc })
}

// Leave tells the leader that this process is about to end, so that a replica that
// waits for a place can have this one's.
func (n *Node) Leave() {
	n.update(func(c *core, now time.Time) {
		c.advance(now)
		c.leaving = true
	})
}

// Succeeded tells whether another replica votes in this one's place. The leader sends
// the entry that removes a member only to the others, so a member that knows its
// successor's promotion to be committed and hears no leader is taken for removed.
func (s Status) Succeeded() bool {
	m, member := Members(s.Members).get(s.Incarnation)
	if !member || m.Role != Voter {
		return true
	}
	return s.Leader == "" && s.MembersAt <= s.Commit && slices.ContainsFunc(s.Members, func(o Member) bool { return o.Replaces == s.Incarnation && o.Role == Voter })
}
