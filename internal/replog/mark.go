package replog

import (
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// position is the end of a replica's log on disk: the term of the leader that
// it last accepted entries from, and its last index. It never decreases. A new
// leader may truncate the log but raises accepted by that, and within one
// leader's term acknowledged entries are never truncated.
type position struct {
	accepted uint64 // term of the leader
	index    uint64 // last index on disk
}

func (p position) less(q position) bool {
	if p.accepted != q.accepted {
		return p.accepted < q.accepted
	}
	return p.index < q.index
}

func (p position) max(q position) position {
	if p.less(q) {
		return q
	}
	return p
}

func markPosition(m *wire.LogMark) position { return position{m.GetAccepted(), m.GetIndex()} }

// markTable holds a high-water mark for each incarnation: the highest position
// that it has acknowledged. An incarnation that restarts with a lower position
// has lost data: its folder is damaged or was restored from an old copy.
type markTable struct {
	marks map[string]*wire.LogMark // by incarnation
	dirty map[string]bool          // incarnations whose marks have changed since takeDirty
}

func newMarkTable(marks []*wire.LogMark) markTable {
	t := markTable{marks: make(map[string]*wire.LogMark), dirty: make(map[string]bool)}
	for _, m := range marks {
		t.marks[m.GetIncarnation()] = m
	}
	return t
}

func (t markTable) record(incarnation string, boot, accepted, index uint64) {
	t.merge([]*wire.LogMark{{Incarnation: incarnation, Boot: boot, Accepted: accepted, Index: index}})
}

func (t markTable) merge(marks []*wire.LogMark) {
	for _, m := range marks {
		if old, ok := t.marks[m.GetIncarnation()]; !ok || markPosition(old).less(markPosition(m)) {
			t.marks[m.GetIncarnation()] = proto.CloneOf(m)
			t.dirty[m.GetIncarnation()] = true
		}
	}
}

// takeDirty returns the marks that changed since the last call.
func (t markTable) takeDirty() []*wire.LogMark {
	var list []*wire.LogMark
	for incarnation := range t.dirty {
		list = append(list, t.marks[incarnation])
		delete(t.dirty, incarnation)
	}
	return list
}

// memberMarks returns the marks that a leader sends to its followers: those of
// all members, including its own.
func (c *core) memberMarks() []*wire.LogMark {
	c.marks.record(c.self, c.boot, c.durable.accepted, c.durable.index)
	var list []*wire.LogMark
	for _, m := range c.members() {
		if mark, ok := c.marks.marks[m.Incarnation]; ok {
			list = append(list, mark)
		}
	}
	return list
}

// checkOwnMark refuses the data folder of this replica, and returns false, if
// it lacks entries that this incarnation has acknowledged.
func (c *core) checkOwnMark(marks []*wire.LogMark) bool {
	for _, m := range marks {
		if m.GetIncarnation() == c.self && c.durable.less(markPosition(m)) {
			c.role = Refused
			c.leader = ""
			c.out = outputs{refuseReason: "peers remember acknowledged entries that this data folder doesn't hold"}
			return false
		}
	}
	return true
}
