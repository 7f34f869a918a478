package replog

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// MemberRole determines whether a member counts in quorums.
type MemberRole string

// The roles of members.
const (
	Learner MemberRole = "learner" // receives the log but doesn't count
	Voter   MemberRole = "voter"   // counts in elections and for commit
)

// Member is one replica in the membership. It is identified by its incarnation:
// two members may have the same name.
type Member struct {
	Name        string     `json:"name"`
	Incarnation string     `json:"incarnation"` // id of its data folder; a new folder gets a new one
	Role        MemberRole `json:"role"`
	// Replaces is the incarnation to remove once this member is a voter.
	Replaces string `json:"replaces,omitempty"`
	// Promoted is the index of the entry that made this member a voter.
	Promoted uint64 `json:"promoted,omitempty"`
	// Repaired is the index of the entry that removed the replaced member.
	Repaired uint64 `json:"repaired,omitempty"`
}

// WithPromotion returns the member as a voter, promoted at an index. If the
// member that it replaces has already been removed, this completes the repair.
func (m Member) WithPromotion(index uint64, replacedRemoved bool) Member {
	m.Role = Voter
	m.Promoted = index
	if m.Replaces != "" && replacedRemoved {
		return m.WithRepaired(index)
	}
	return m
}

// WithReplaces returns the member as a replacement of the given incarnation.
func (m Member) WithReplaces(incarnation string) Member {
	m.Replaces = incarnation
	return m
}

// WithRepaired returns the member with its replacement completed at an index.
func (m Member) WithRepaired(index uint64) Member {
	m.Replaces = ""
	m.Repaired = index
	return m
}

// Members is the membership of a cluster, its voters and learners. It is never
// modified in place.
type Members []Member

// WithMember returns the membership with a member added or updated.
func (ms Members) WithMember(m Member) Members {
	out := slices.Clone(ms)
	if i := ms.indexOf(m.Incarnation); i >= 0 {
		out[i] = m
		return out
	}
	return append(out, m)
}

// WithoutMember returns the membership without an incarnation.
func (ms Members) WithoutMember(incarnation string) Members {
	return slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.Incarnation == incarnation })
}

func (ms Members) indexOf(incarnation string) int {
	return slices.IndexFunc(ms, func(m Member) bool { return m.Incarnation == incarnation })
}

func (ms Members) get(incarnation string) (Member, bool) {
	i := ms.indexOf(incarnation)
	if i < 0 {
		return Member{}, false
	}
	return ms[i], true
}

// lookup finds a member by name or incarnation.
func (ms Members) lookup(key string) (Member, error) {
	if m, ok := ms.get(key); ok {
		return m, nil
	}
	var found []Member
	for _, m := range ms {
		if m.Name == key {
			found = append(found, m)
		}
	}
	switch len(found) {
	case 0:
		return Member{}, errors.Wrapf(ErrNoReplica, "%q", key)
	case 1:
		return found[0], nil
	}
	return Member{}, errors.Wrapf(ErrAmbiguous, "%q: %s and %s", key, found[0].Incarnation, found[1].Incarnation)
}

func (ms Members) isVoter(incarnation string) bool {
	m, ok := ms.get(incarnation)
	return ok && m.Role == Voter
}

func (ms Members) voters() []Member {
	return slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.Role != Voter })
}

func (ms Members) quorum() int {
	n := 0
	for i := range ms {
		if ms[i].Role == Voter {
			n++
		}
	}
	return n/2 + 1
}

// quorumValue returns the highest value that a majority of voters has reached.
func (ms Members) quorumValue(valueOf func(incarnation string) uint64) uint64 {
	values := make([]uint64, 0, len(ms))
	for i := range ms {
		if ms[i].Role == Voter {
			values = append(values, valueOf(ms[i].Incarnation))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-ms.quorum()]
}

// labels returns a description of each member for log messages.
func (ms Members) labels() []string {
	list := make([]string, 0, len(ms))
	for _, m := range ms {
		label := m.Name + "/" + m.Incarnation + "/" + string(m.Role)
		if m.Replaces != "" {
			label += "/replaces " + m.Replaces
		}
		list = append(list, label)
	}
	return list
}

func (ms Members) encode() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(ms.wire())
}

func (ms Members) wire() *wire.LogMembers {
	out := &wire.LogMembers{}
	for _, m := range ms {
		role := wire.LogRole_LOG_ROLE_LEARNER
		if m.Role == Voter {
			role = wire.LogRole_LOG_ROLE_VOTER
		}
		out.Members = append(out.Members, &wire.LogMember{
			Name: m.Name, Incarnation: m.Incarnation, Role: role, Replaces: m.Replaces, Promoted: m.Promoted,
			Repaired: m.Repaired,
		})
	}
	return out
}

func membersFromWire(w *wire.LogMembers) Members {
	var out Members
	for _, m := range w.GetMembers() {
		role := Learner
		if m.GetRole() == wire.LogRole_LOG_ROLE_VOTER {
			role = Voter
		}
		out = append(out, Member{
			Name: m.GetName(), Incarnation: m.GetIncarnation(), Role: role,
			Replaces: m.GetReplaces(), Promoted: m.GetPromoted(),
			Repaired: m.GetRepaired(),
		})
	}
	return out
}

func decodeMembers(b []byte) (Members, error) {
	w := &wire.LogMembers{}
	if err := proto.Unmarshal(b, w); err != nil {
		return nil, errors.Wrap(err, "decode membership")
	}
	return membersFromWire(w), nil
}

// indexedMembers is a membership and the index of the entry that set it.
type indexedMembers struct {
	index   uint64
	members Members
}

// memberHistory holds the memberships of the log, the latest one last. The
// latest one is in effect as soon as it is appended, committed or not.
type memberHistory []indexedMembers

func (h memberHistory) latest() indexedMembers {
	if len(h) == 0 {
		return indexedMembers{}
	}
	return h[len(h)-1]
}

// at returns the membership as of an index.
func (h memberHistory) at(index uint64) indexedMembers {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].index <= index {
			return h[i]
		}
	}
	return indexedMembers{}
}

// truncated returns the history without the memberships at or after an index.
func (h memberHistory) truncated(from uint64) memberHistory {
	return slices.DeleteFunc(slices.Clone(h), func(m indexedMembers) bool { return m.index >= from })
}

// compacted returns the history without the memberships that were superseded
// before or at an index.
func (h memberHistory) compacted(index uint64) memberHistory {
	current := h.at(index)
	return slices.DeleteFunc(slices.Clone(h), func(m indexedMembers) bool { return m.index < current.index })
}
