package client

// MemberRole is the role of a replica in the replicated log.
type MemberRole string

// The roles of a replica.
const (
	MemberLeader   MemberRole = "leader"
	MemberFollower MemberRole = "follower"
	MemberLearner  MemberRole = "learner" // receives the log and doesn't count towards the quorum
	MemberWaiting  MemberRole = "waiting" // has announced itself and isn't a member yet
)

// RepairState is the progress of bringing a replica up to date.
type RepairState string

// The states of a repair.
const (
	RepairNone     RepairState = "none"
	RepairSnapshot RepairState = "snapshot" // receives a snapshot
	RepairTail     RepairState = "tail"     // receives the entries after the snapshot
	RepairDone     RepairState = "done"     // has caught up and can be promoted
)

// Member is one replica of the log.
type Member struct {
	Name       string      `json:"name"`
	Addr       string      `json:"addr"`
	Domain     string      `json:"domain,omitempty"`
	Role       MemberRole  `json:"role"`
	MatchIndex uint64      `json:"match"` // index of the last entry known to be stored there
	Lag        uint64      `json:"lag"`   // number of entries that it is behind the leader
	Repair     RepairState `json:"repair"`
	Live       bool        `json:"live"` // the leader receives messages from it
}

// MemberList is the answer of GET /v1/members.
type MemberList struct {
	Term        uint64   `json:"term"`
	CommitIndex uint64   `json:"commit"`
	Members     []Member `json:"members"`
}

// MemberVerb is the kind of a change of the membership.
type MemberVerb string

// The kinds of changes of the membership.
const (
	MemberAdd     MemberVerb = "add"     // adds a learner
	MemberPromote MemberVerb = "promote" // makes a learner that has caught up a voter
	MemberRemove  MemberVerb = "remove"
	MemberReplace MemberVerb = "replace" // removes Name once Replacement has caught up
)

// MemberChange is the body of POST /v1/members.
type MemberChange struct {
	ID          string     `json:"id"` // unique per operator, as the id of an intent
	Operator    string     `json:"operator"`
	Verb        MemberVerb `json:"verb"`
	Name        string     `json:"name"`
	Addr        string     `json:"addr,omitempty"`   // of the member to add
	Domain      string     `json:"domain,omitempty"` // of the member to add
	Replacement string     `json:"with,omitempty"`   // name of the member that replaces Name
}
