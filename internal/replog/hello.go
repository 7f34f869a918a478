package replog

import (
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// helloState is the state of a replica that joins the cluster after a start.
//
// A replica without a membership announces itself. The initial voter with the
// lowest name bootstraps the cluster once all the others have announced
// themselves without a membership, so that a host that lost its disk never
// bootstraps a second cluster.
//
// A replica with a membership asks its peers which entries it has
// acknowledged, and doesn't vote until enough of them have confirmed that its
// data folder isn't missing any. If they are unreachable, it votes after
// vouchDeadline anyway.
type helloState struct {
	vouched       bool
	vouchers      map[string]bool
	vouchDeadline time.Time
	next          time.Time
	announced     map[string]announcement // by name
	// extra are the names of replicas to announce to in addition to the initial
	// voters, which may no longer be members.
	extra []string
	// waits is the time since when this replica has waited to replace another
	// one, zero for a spare. followed is set once it has had a leader, or led,
	// since its start.
	waits    time.Time
	followed bool
}

// announcement is the content of a replica's last hello.
type announcement struct {
	incarnation string
	formed      bool
	since       time.Time // time since when it has waited to become a member, zero for a spare
	heard       time.Time
}

func (h *helloState) begin(c *core) {
	*h = helloState{
		extra:         h.extra,
		vouchers:      make(map[string]bool),
		vouchDeadline: c.now.Add(2 * c.opt.Election),
		next:          c.now,
		announced:     make(map[string]announcement),
		// A new folder has acknowledged nothing, so it can't have lost entries.
		vouched: c.boot == 1,
	}
	if c.boot == 1 && !c.opt.First && !c.formed() {
		h.waits = c.now
	}
	if voters := c.members().voters(); len(voters) == 1 && voters[0].Incarnation == c.self {
		h.vouched = true
	}
}

// joined restarts the deadlines after this replica has received a membership.
func (h *helloState) joined(c *core) {
	h.vouchDeadline = c.now.Add(2 * c.opt.Election)
	c.resetElection()
}

func (h *helloState) tick(c *core) {
	if !h.vouched && !c.now.Before(h.vouchDeadline) {
		h.vouched = true
	}
	if !c.now.Before(h.next) {
		h.next = c.now.Add(c.opt.Heartbeat)
		c.sendHellos()
	}
	if !c.formed() {
		c.tryFound()
	}
}

func (c *core) sendHellos() {
	if !c.formed() {
		c.announce()
		return
	}
	if !c.hello.vouched {
		for _, m := range c.members() {
			c.sendHello(m)
		}
	}
	if c.adrift() && !c.leaving {
		c.announce()
	}
}

// announce sends a hello to every replica that may belong to the cluster.
func (c *core) announce() {
	if c.hello.followed {
		c.hello.waits, c.hello.followed = c.now, false
	}
	to := make([]string, 0, len(c.opt.Voters)+len(c.hello.extra))
	for _, p := range c.opt.Voters {
		to = append(to, p.Name)
	}
	for _, m := range c.members() {
		if !slices.Contains(to, m.Name) {
			to = append(to, m.Name)
		}
	}
	for _, name := range c.hello.extra {
		if !slices.Contains(to, name) {
			to = append(to, name)
		}
	}
	for _, name := range to {
		c.sendHello(Member{Name: name})
	}
}

// adriftAfter is the number of election timeouts without a leader after which a
// voter assumes that it was removed. An election takes two of them.
const adriftAfter = 3

// adrift reports whether no leader seems to know this replica, because it was
// removed or because the entry that added it was lost with its leader. A voter
// that was unreachable when it was removed doesn't have the entry that removed
// it.
func (c *core) adrift() bool {
	deadline := c.promiseDeadline
	if c.history.at(c.commit).members.isVoter(c.self) {
		deadline = deadline.Add((adriftAfter - 1) * c.opt.Election)
	}
	return !c.now.Before(deadline)
}

func (c *core) sendHello(to Member) {
	if to.Name == c.opt.Name && (to.Incarnation == "" || to.Incarnation == c.self) {
		return
	}
	m := c.message(wire.LogKind_LOG_KIND_HELLO, to)
	m.Accepted, m.Index = c.durable.accepted, c.durable.index
	m.Waited = c.waited()
	c.send(m)
}

// waited returns the value of a hello's waited field: 0 for a spare, otherwise
// one plus the milliseconds that this replica has waited to become a member.
func (c *core) waited() uint64 {
	if c.hello.waits.IsZero() {
		return 0
	}
	return uint64(c.now.Sub(c.hello.waits).Milliseconds()) + 1
}

func (c *core) stepHello(m *wire.LogMessage) {
	c.noteAnnouncement(m)
	r := c.reply(wire.LogKind_LOG_KIND_HELLO_REPLY, m)
	r.Round, r.Waited = m.GetBoot(), c.waited()
	mark, known := c.marks.marks[m.GetFromIncarnation()]
	if known {
		r.Marks = []*wire.LogMark{mark}
	}
	c.send(r)
	p := c.peer(m.GetFromIncarnation())
	if p == nil || m.GetBoot() <= p.boot {
		return
	}
	// The peer has restarted, so messages in flight to it are lost.
	p.boot = m.GetBoot()
	p.probe(p.match + 1)
	held := position{m.GetAccepted(), m.GetIndex()}
	if known && mark.GetBoot() < m.GetBoot() && held.less(markPosition(mark)) {
		p.refused = true
	}
}

func (c *core) noteAnnouncement(m *wire.LogMessage) {
	a := announcement{incarnation: m.GetFromIncarnation(), formed: m.GetFormed(), heard: c.now}
	if n := m.GetWaited(); n > 0 {
		a.since = c.now.Add(-time.Duration(n-1) * time.Millisecond)
	}
	c.hello.announced[m.GetFrom()] = a
}

func (c *core) stepHelloReply(m *wire.LogMessage) {
	if m.GetRound() != c.boot || !c.checkOwnMark(m.GetMarks()) {
		return
	}
	c.noteAnnouncement(m)
	if c.hello.vouched {
		return
	}
	c.hello.vouchers[m.GetFromIncarnation()] = true
	c.hello.vouched = c.enoughVouchers()
}

// enoughVouchers reports whether every majority that this replica may have been
// part of includes a peer that has confirmed its folder.
func (c *core) enoughVouchers() bool {
	voters := c.members().voters()
	n := 0
	for _, m := range voters {
		if c.hello.vouchers[m.Incarnation] {
			n++
		}
	}
	return len(voters) > 0 && n >= len(voters)-c.members().quorum()+1
}

// tryFound creates the first membership if this replica has the lowest name of
// the initial voters and all of them are reachable and without a membership.
func (c *core) tryFound() {
	names := make([]string, len(c.opt.Voters))
	for i, p := range c.opt.Voters {
		names[i] = p.Name
	}
	if slices.Min(names) != c.opt.Name {
		return
	}
	members := Members{}
	for _, name := range names {
		inc := c.self
		if name != c.opt.Name {
			a, ok := c.hello.announced[name]
			if !ok || a.formed || c.now.Sub(a.heard) > c.opt.Election {
				return
			}
			inc = a.incarnation
		}
		members = append(members, Member{Name: name, Incarnation: inc, Role: Voter})
	}
	c.found(members)
}

func (c *core) found(members Members) {
	data, err := members.encode()
	if err != nil {
		return
	}
	if c.state.term == 0 {
		c.state = c.state.withTerm(1)
	}
	c.state = c.state.withAccepted(c.state.term)
	index := c.appendOwn(wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS, data)
	c.history = memberHistory{{index, members}}
	c.role = Follower
	c.hello.joined(c)
	c.electionDeadline = c.now
}
