package client

// MemberRole is the part that a replica plays in the replicated log.
type MemberRole string

// The roles of a replica.
const (
	MemberLeader   MemberRole = "leader"
	MemberFollower MemberRole = "follower"
	MemberLearner  MemberRole = "learner" // receives the log and doesn't count for a quorum
	MemberWaiting  MemberRole = "waiting" // has announced itself and belongs to no membership
)

// RepairState says how far a replica's repair has come.
type RepairState string

// The states of a repair.
const (
	RepairNone     RepairState = "none"
	RepairSnapshot RepairState = "snapshot" // receives a snapshot
	RepairTail     RepairState = "tail"     // receives the entries after it
	RepairDone     RepairState = "done"     // has caught up and can be promoted
)

// Member is one replica of the log.
type Member struct {
	Name   string      `json:"name"`
	Addr   string      `json:"addr"`
	Domain string      `json:"domain,omitempty"`
	Role   MemberRole  `json:"role"`
	MatchIndex  uint64      `json:"match"` // last entry known to be synced there
	Lag    uint64      `json:"lag"`   // entries that it is behind the leader
	Repair RepairState `json:"repair"`
	Live   bool        `json:"live"` // the leader hears from it
}

// MemberList is the answer of GET /v1/members.
type MemberList struct {
	Term    uint64   `json:"term"`
	CommitIndex  uint64   `json:"commit"`
	Members []Member `json:"members"`
}

// MemberVerb says how the membership is to change.
type MemberVerb string

// The changes of membership.
const (
	MemberAdd     MemberVerb = "add"     // as a learner
	MemberPromote MemberVerb = "promote" // a learner that has caught up
	MemberRemove  MemberVerb = "remove"
	MemberReplace MemberVerb = "replace" // Name goes once With has caught up
)

// MemberChange is the body of POST /v1/members.
type MemberChange struct {
	ID       string     `json:"id"` // scoped to the operator, as an intent's
	Operator string     `json:"operator"`
	Verb     MemberVerb `json:"verb"`
	Name     string     `json:"name"`
	Addr     string     `json:"addr,omitempty"`   // of the member to add
	Domain   string     `json:"domain,omitempty"` // of the member to add
	Replacement     string     `json:"with,omitempty"`   // name of the replacement
}
