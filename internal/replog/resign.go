package replog

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// Resign lets a leader lay its office down before a planned stop, so that the
// others elect a new one at once instead of waiting for its silence. Proposals
// that aren't committed get an ErrUnknown. It does nothing on other replicas.
func (n *Node) Resign() {
	n.update(func(c *core, now time.Time) {
		c.advance(now)
		c.resign()
	})
}

// resign gives the lease up first and only then releases the others from their
// promise to elect nobody else.
func (c *core) resign() {
	if c.role != Leader {
		return
	}
	members := c.members()
	c.becomeFollower(c.state.term, "")
	c.electionDeadline = c.now.Add(resignPause * c.opt.Election)
	for _, m := range members.voters() {
		if m.Incarnation != c.self {
			c.send(c.message(wire.LogKind_LOG_KIND_RELEASE, m))
		}
	}
}

// resignPause is for how many election times a replica that has resigned leaves
// the office to the others.
const resignPause = 3

// stepRelease lets this replica elect another leader as soon as it has waited a
// moment, so that not all stand at once.
func (c *core) stepRelease(m *wire.LogMessage) {
	if m.GetTerm() != c.state.term || m.GetFromIncarnation() != c.leader {
		return
	}
	c.leader = ""
	c.promiseDeadline = c.now
	c.electionDeadline = c.now.Add(time.Duration(c.rand.Int64N(int64(c.opt.Heartbeat))))
}
