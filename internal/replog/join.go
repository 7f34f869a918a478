package replog

import (
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// joinState is the state of a replica that joins the cluster after a start.
//
// A replica without a membership announces itself. The initial voter with the
// lowest name bootstraps the cluster once all the others have announced
// themselves without a membership, so that a host that lost its disk never
// bootstraps a second cluster.
//
// A replica with a membership asks its peers which entries it has
// acknowledged, and doesn't vote until enough of them have confirmed that its
// data folder isn't missing any. If they are unreachable, it votes after
// confirmDeadline anyway.
type joinState struct {
	votingAllowed   bool            // whether this replica may vote and campaign
	confirmedBy     map[string]bool // peers that confirmed the data folder, by incarnation
	confirmDeadline time.Time
	nextHello       time.Time               // when the next hellos are due
	announced       map[string]announcement // latest announcement of each other replica, by name
	// extraPeers are the names of replicas to announce to in addition to the
	// initial voters, which may no longer be members.
	extraPeers []string
	// waitingSince is the time since when this replica has waited to replace
	// another one, zero for a spare. hadLeader is set once it has had a leader,
	// or led, since its last announcement.
	waitingSince time.Time
	hadLeader    bool
}

// announcement is the content of a replica's last hello or hello reply.
type announcement struct {
	incarnation   string
	hasMembership bool
	waitingSince  time.Time // time since when it has waited to become a member, zero for a spare
	receivedAt    time.Time
}

func (j *joinState) init(c *core) {
	*j = joinState{
		extraPeers:      j.extraPeers,
		confirmedBy:     make(map[string]bool),
		confirmDeadline: c.now.Add(2 * c.opt.ElectionTimeout),
		nextHello:       c.now,
		announced:       make(map[string]announcement),
		// A new folder has acknowledged nothing, so it can't have lost entries.
		votingAllowed: c.boot == 1,
	}
	if c.boot == 1 && !c.opt.FirstStart && !c.hasMembership() {
		j.waitingSince = c.now
	}
	if voters := c.members().voters(); len(voters) == 1 && voters[0].Incarnation == c.self {
		j.votingAllowed = true
	}
}

// membershipReceived restarts the deadlines after this replica has received a
// membership.
func (j *joinState) membershipReceived(c *core) {
	j.confirmDeadline = c.now.Add(2 * c.opt.ElectionTimeout)
	c.resetElectionDeadline()
}

func (j *joinState) tick(c *core) {
	if !j.votingAllowed && !c.now.Before(j.confirmDeadline) {
		j.votingAllowed = true
	}
	if !c.now.Before(j.nextHello) {
		j.nextHello = c.now.Add(c.opt.HeartbeatInterval)
		c.sendHellos()
	}
	if !c.hasMembership() {
		c.tryBootstrap()
	}
}

// sendHellos announces this replica if it has no membership or seems to have been
// removed. While it may not vote, it asks the members to confirm its data folder.
func (c *core) sendHellos() {
	if !c.hasMembership() {
		c.announce()
		return
	}
	if !c.join.votingAllowed {
		for _, m := range c.members() {
			c.sendHello(m)
		}
	}
	if c.likelyRemoved() && !c.leaving {
		c.announce()
	}
}

// announce sends a hello to every replica that may belong to the cluster.
func (c *core) announce() {
	if c.join.hadLeader {
		c.join.waitingSince, c.join.hadLeader = c.now, false
	}
	to := make([]string, 0, len(c.opt.Voters)+len(c.join.extraPeers))
	for _, p := range c.opt.Voters {
		to = append(to, p.Name)
	}
	for _, m := range c.members() {
		if !slices.Contains(to, m.Name) {
			to = append(to, m.Name)
		}
	}
	for _, name := range c.join.extraPeers {
		if !slices.Contains(to, name) {
			to = append(to, name)
		}
	}
	for _, name := range to {
		c.sendHello(Member{Name: name})
	}
}

// removedAfterElections is the number of election timeouts without a leader
// after which a voter assumes that it was removed. An election takes two of
// them.
const removedAfterElections = 3

// likelyRemoved reports whether no leader seems to know this replica, because
// it was removed or because the entry that added it was lost with its leader. A
// voter that was unreachable when it was removed doesn't have the entry that
// removed it.
func (c *core) likelyRemoved() bool {
	deadline := c.followerLeaseDeadline
	if c.history.at(c.commit).members.isVoter(c.self) {
		deadline = deadline.Add((removedAfterElections - 1) * c.opt.ElectionTimeout)
	}
	return !c.now.Before(deadline)
}

func (c *core) sendHello(to Member) {
	if to.Name == c.opt.Name && (to.Incarnation == "" || to.Incarnation == c.self) {
		return
	}
	m := c.message(wire.LogKind_LOG_KIND_HELLO, to)
	m.Accepted, m.Index = c.durable.accepted, c.durable.index
	m.Waited = c.encodeWait()
	c.send(m)
}

// encodeWait returns the value of a hello's waited field: 0 for a spare,
// otherwise one plus the milliseconds that this replica has waited to become a
// member.
func (c *core) encodeWait() uint64 {
	if c.join.waitingSince.IsZero() {
		return 0
	}
	return uint64(c.now.Sub(c.join.waitingSince).Milliseconds()) + 1
}

func (c *core) stepHello(m *wire.LogMessage) {
	c.recordAnnouncement(m)
	r := c.reply(wire.LogKind_LOG_KIND_HELLO_REPLY, m)
	r.Round, r.Waited = m.GetBoot(), c.encodeWait()
	mark, hasMark := c.marks.marks[m.GetFromIncarnation()]
	if hasMark {
		r.Marks = []*wire.LogMark{mark}
	}
	c.send(r)
	p := c.peerProgress(m.GetFromIncarnation())
	if p == nil || m.GetBoot() <= p.boot {
		return
	}
	// The peer has restarted, so messages in flight to it are lost.
	p.boot = m.GetBoot()
	p.startProbe(p.match + 1)
	reported := position{m.GetAccepted(), m.GetIndex()}
	if hasMark && mark.GetBoot() < m.GetBoot() && reported.less(markPosition(mark)) {
		p.lostEntries = true
	}
}

func (c *core) recordAnnouncement(m *wire.LogMessage) {
	a := announcement{incarnation: m.GetFromIncarnation(), hasMembership: m.GetFormed(), receivedAt: c.now}
	if n := m.GetWaited(); n > 0 {
		a.waitingSince = c.now.Add(-time.Duration(n-1) * time.Millisecond)
	}
	c.join.announced[m.GetFrom()] = a
}

func (c *core) stepHelloReply(m *wire.LogMessage) {
	if m.GetRound() != c.boot || !c.checkOwnMark(m.GetMarks()) {
		return
	}
	c.recordAnnouncement(m)
	if c.join.votingAllowed {
		return
	}
	c.join.confirmedBy[m.GetFromIncarnation()] = true
	c.join.votingAllowed = c.enoughConfirmations()
}

// enoughConfirmations reports whether every majority that this replica may have
// been part of includes a peer that has confirmed its folder.
func (c *core) enoughConfirmations() bool {
	voters := c.members().voters()
	n := 0
	for _, m := range voters {
		if c.join.confirmedBy[m.Incarnation] {
			n++
		}
	}
	return len(voters) > 0 && n >= len(voters)-c.members().quorum()+1
}

// tryBootstrap creates the first membership if this replica has the lowest name
// of the initial voters and all of them are reachable and without a membership.
func (c *core) tryBootstrap() {
	names := make([]string, len(c.opt.Voters))
	for i, p := range c.opt.Voters {
		names[i] = p.Name
	}
	if slices.Min(names) != c.opt.Name {
		return
	}
	members := Members{}
	for _, name := range names {
		incarnation := c.self
		if name != c.opt.Name {
			a, ok := c.join.announced[name]
			if !ok || a.hasMembership || c.now.Sub(a.receivedAt) > c.opt.ElectionTimeout {
				return
			}
			incarnation = a.incarnation
		}
		members = append(members, Member{Name: name, Incarnation: incarnation, Role: Voter})
	}
	c.bootstrap(members)
}

// bootstrap makes these members the first membership and starts an election with
// the next tick.
func (c *core) bootstrap(members Members) {
	data, err := members.encode()
	if err != nil {
		return
	}
	if c.state.term == 0 {
		c.state = c.state.withTerm(1)
	}
	c.state = c.state.withAccepted(c.state.term)
	index := c.appendEntry(wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS, data)
	c.history = memberHistory{{index, members}}
	c.role = Follower
	c.join.membershipReceived(c)
	c.electionDeadline = c.now
}
