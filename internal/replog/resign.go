package replog

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// Resign makes a leader step down before a planned stop, so that the others
// elect a new one immediately instead of after an election timeout. Proposals
// that aren't committed fail with an unknown outcome. It does nothing on other
// replicas.
func (n *Node) Resign() {
	n.updateCore(func(c *core, now time.Time) {
		c.advanceClock(now)
		c.resign()
	})
}

// resign gives up the lease before it tells the others, with release messages,
// that they may elect another leader.
func (c *core) resign() {
	if c.role != Leader {
		return
	}
	members := c.members()
	c.becomeFollower(c.state.term, "")
	c.electionDeadline = c.now.Add(resignElectionTimeouts * c.opt.ElectionTimeout)
	for _, m := range members.voters() {
		if m.Incarnation != c.self {
			c.send(c.message(wire.LogKind_LOG_KIND_RELEASE, m))
		}
	}
}

// resignElectionTimeouts is the number of election timeouts for which a replica
// that has resigned starts no election.
const resignElectionTimeouts = 3

// stepRelease lets this replica start an election after a random delay of up to
// a heartbeat interval, so that not all voters become candidates at once.
func (c *core) stepRelease(m *wire.LogMessage) {
	if m.GetTerm() != c.state.term || m.GetFromIncarnation() != c.leader {
		return
	}
	c.leader = ""
	c.followerLeaseDeadline = c.now
	c.electionDeadline = c.now.Add(time.Duration(c.rand.Int64N(int64(c.opt.HeartbeatInterval))))
}
