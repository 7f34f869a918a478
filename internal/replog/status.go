package replog

import (
	"cmp"
	"slices"
	"time"
)

// Status is the state of a node, for state dumps and operators.
type Status struct {
	Name            string           `json:"name"`
	Cluster         string           `json:"cluster"`
	Incarnation     string           `json:"incarnation"`
	Boot            uint64           `json:"boot"` // number of times that the data folder has been opened
	Role            Role             `json:"role"`
	Term            uint64           `json:"term"`
	Leader          string           `json:"leader"`            // name, empty if unknown
	Commit          uint64           `json:"commit"`            // index of the last entry known to be committed
	Applied         uint64           `json:"applied"`           // index of the last entry that the state machine has applied
	SavedIndex      uint64           `json:"saved"`             // index of the last entry on this replica's disk
	LastIndex       uint64           `json:"last"`              // index of the last entry of the log
	FirstIndex      uint64           `json:"first"`             // index of the first entry in memory
	LogBytes        int              `json:"logBytes"`          // estimated memory of the entries, in bytes
	SnapshotIndex   uint64           `json:"snapshot"`          // index of the latest snapshot
	LeaseDeadline   time.Time        `json:"lease"`             // time until which a leader answers reads without confirming its leadership
	VotingAllowed   bool             `json:"vouched"`           // the replica may vote
	DiskFull        bool             `json:"diskFull"`          // nothing is acknowledged until there is space
	Refused         string           `json:"refused,omitempty"` // reason why the data folder may never vote again
	Members         []Member         `json:"members"`
	MembersIndex    uint64           `json:"membersAt"` // index of the entry that set Members
	Voters          []VoterContact   `json:"voters"`
	Peers           []PeerStatus     `json:"peers,omitempty"`   // set on the leader
	Repairs         []Repair         `json:"repairs,omitempty"` // set on the leader
	WaitingReplicas []WaitingReplica `json:"waiting,omitempty"` // replicas that could be added
}

// VoterContact is when this replica last received a message from a voter. It is
// kept on every replica, not only on the leader.
type VoterContact struct {
	Name        string    `json:"name"`
	Incarnation string    `json:"incarnation"`
	LastHeard   time.Time `json:"heard"` // zero if no message since the start
}

// Quorum returns the number of voters that form a majority.
func (s Status) Quorum() int { return len(s.Voters)/2 + 1 }

// PeerStatus is the replication status of a peer, reported by the leader.
type PeerStatus struct {
	Name          string    `json:"name"`
	Incarnation   string    `json:"incarnation"`
	State         PeerState `json:"state"`
	Match         uint64    `json:"match"`    // index of the last entry that the peer holds on disk
	Next          uint64    `json:"next"`     // index of the first entry to send
	InflightBytes int       `json:"inflight"` // bytes of entries sent and not acknowledged
	LastHeard     time.Time `json:"heard"`    // time of its last append or chunk reply
	DiskFull      bool      `json:"diskFull"`
	LostEntries   bool      `json:"refused"`        // has lost acknowledged entries; its acknowledgements don't count
	Leaving       bool      `json:"leaving"`        // its process is about to stop
	SnapshotSent  uint64    `json:"sent,omitempty"` // bytes of the snapshot sent
	SnapshotSize  uint64    `json:"size,omitempty"` // size of the snapshot being sent
}

// Repair is the status of a member's replacement. While Done is false, the loss
// of another host may make the cluster unavailable.
type Repair struct {
	Name        string      `json:"name"`
	Incarnation string      `json:"incarnation"`
	Replaces    string      `json:"replaces,omitempty"` // incarnation of the old member, until it is removed
	State       RepairState `json:"state"`
	Done        bool        `json:"done"`
	Match       uint64      `json:"match"`        // index of the last entry that the new member holds on disk
	Commit      uint64      `json:"commit"`       // the leader's commit index
	DoneIndex   uint64      `json:"at,omitempty"` // index of the entry that completed the repair
}

// WaitingReplica is a replica that has announced itself and is not a member.
type WaitingReplica struct {
	Name         string    `json:"name"`
	Incarnation  string    `json:"incarnation"`
	WasMember    bool      `json:"formed"` // it has been a member
	WaitingSince time.Time `json:"since"`  // time since when it has waited, zero for a spare
	LastHeard    time.Time `json:"heard"`  // time of its last announcement
}

// Status returns the node's state.
func (n *Node) Status() Status {
	id := n.st.Identity()
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.core
	s := Status{
		Name: id.Name, Cluster: id.Cluster, Incarnation: id.Incarnation, Boot: id.Boot,
		Role: c.role, Term: c.state.term, Leader: c.leaderName(),
		Commit: c.commit, Applied: c.applied, SavedIndex: c.log.saved,
		LastIndex: c.log.lastIndex(), FirstIndex: c.log.base + 1, LogBytes: c.log.bytes,
		SnapshotIndex: n.st.Snapshot().GetIndex(),
		LeaseDeadline: c.leaderState.leaseDeadline, VotingAllowed: c.join.votingAllowed, DiskFull: c.diskFull,
		Refused: id.Refused, Members: c.members(), MembersIndex: c.history.latest().index,
		WaitingReplicas: c.waitingReplicas(), Voters: c.voterContacts(),
	}
	if c.role == Leader {
		s.Peers = c.peerStatus()
		s.Repairs = c.repairStatus()
	}
	return s
}

// SmallestMemory returns how many bytes the process of each member may use at
// least, as far as they have told since this replica started; 0 if none has.
func (n *Node) SmallestMemory() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	smallest := n.core.opt.Memory
	for _, m := range n.core.members() {
		if told := int64(n.core.memory[m.Incarnation]); told > 0 && (smallest == 0 || told < smallest) {
			smallest = told
		}
	}
	return smallest
}

func (c *core) voterContacts() []VoterContact {
	var list []VoterContact
	for _, m := range c.members().voters() {
		v := VoterContact{Name: m.Name, Incarnation: m.Incarnation, LastHeard: c.lastHeard[m.Incarnation]}
		if m.Incarnation == c.self {
			v.LastHeard = c.now
		}
		list = append(list, v)
	}
	return list
}

func (c *core) peerStatus() []PeerStatus {
	var list []PeerStatus
	for _, m := range c.members() {
		p := c.peerProgress(m.Incarnation)
		if p == nil {
			continue
		}
		s := PeerStatus{
			Name: m.Name, Incarnation: m.Incarnation, State: p.state, Match: p.match, Next: p.next,
			InflightBytes: p.inflightBytes, LastHeard: p.lastHeard, DiskFull: p.diskFull, LostEntries: p.lostEntries, Leaving: p.leaving,
		}
		if p.state == Transfer {
			s.SnapshotSent, s.SnapshotSize = p.transfer.offset, p.transfer.snapshot.GetSize()
		}
		list = append(list, s)
	}
	return list
}

func (c *core) repairStatus() []Repair {
	var list []Repair
	for _, m := range c.members() {
		if m.Replaces == "" && m.Repaired == 0 {
			continue
		}
		state := c.repairState(m)
		r := Repair{
			Name: m.Name, Incarnation: m.Incarnation, Replaces: m.Replaces,
			State: state, Done: state == Repaired, Match: c.log.saved, Commit: c.commit, DoneIndex: m.Repaired,
		}
		if p := c.peerProgress(m.Incarnation); p != nil {
			r.Match = p.match
		}
		list = append(list, r)
	}
	return list
}

// waitingReplicas returns the replicas that announced themselves within the
// last election timeout and are not members.
func (c *core) waitingReplicas() []WaitingReplica {
	var list []WaitingReplica
	for name, a := range c.join.announced {
		_, member := c.members().get(a.incarnation)
		if !member && c.now.Sub(a.receivedAt) < c.opt.ElectionTimeout {
			list = append(list, WaitingReplica{Name: name, Incarnation: a.incarnation, WasMember: a.hasMembership, WaitingSince: a.waitingSince, LastHeard: a.receivedAt})
		}
	}
	slices.SortFunc(list, func(a, b WaitingReplica) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
