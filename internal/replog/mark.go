package replog

import (
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// position is how far a replica's log reaches on disk: the term of the leader
// that it last accepted entries from, and its last index. It only grows. A
// new leader may cut the log shorter, but raises accepted by that, and within
// one leader's term what was acknowledged is never cut.
type position struct {
	accepted uint64
	index    uint64
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

// markTable remembers the furthest position that each incarnation has
// acknowledged. An incarnation that comes back with less has lost data: its
// folder is damaged or was restored from an old copy.
type markTable struct {
	marks map[string]*wire.LogMark
	dirty map[string]bool
}

func newMarkTable(marks []*wire.LogMark) markTable {
	t := markTable{marks: make(map[string]*wire.LogMark), dirty: make(map[string]bool)}
	for _, m := range marks {
		t.marks[m.GetIncarnation()] = m
	}
	return t
}

func (t markTable) note(inc string, boot, accepted, index uint64) {
	t.merge([]*wire.LogMark{{Incarnation: inc, Boot: boot, Accepted: accepted, Index: index}})
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
	for inc := range t.dirty {
		list = append(list, t.marks[inc])
		delete(t.dirty, inc)
	}
	return list
}

// ownMarks returns what a leader tells its followers: every member's mark,
// its own included.
func (c *core) ownMarks() []*wire.LogMark {
	c.marks.note(c.self, c.boot, c.durable.accepted, c.durable.index)
	var list []*wire.LogMark
	for _, m := range c.members() {
		if mark, ok := c.marks.marks[m.Incarnation]; ok {
			list = append(list, mark)
		}
	}
	return list
}

// checkOwnMark refuses the own folder if it holds less than this incarnation
// once acknowledged.
func (c *core) checkOwnMark(marks []*wire.LogMark) bool {
	for _, m := range marks {
		if m.GetIncarnation() == c.self && c.durable.less(markPosition(m)) {
			c.role = Refused
			c.leader = ""
			c.out = outputs{refuse: "peers remember acknowledged entries that this data folder doesn't hold"}
			return false
		}
	}
	return true
}
