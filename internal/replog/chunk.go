package replog

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// transfer is the state of sending a snapshot to a peer, one chunk at a time.
type transfer struct {
	snapshot *wire.LogSnapshot // nil until the first chunk has been read
	offset   uint64
	retry    time.Time // when to send the chunk again
	asked    time.Time // when the chunk was requested from the disk
}

// chunkRequest requests a chunk to be read from disk and passed to chunkRead.
// The chunk is from the snapshot with the given id, or from the latest one if
// id is empty.
type chunkRequest struct {
	to     Member
	id     string
	offset uint64
	bytes  int
}

func (c *core) startTransfer(to Member, p *progress) {
	p.state = Transfer
	p.inflight, p.bytes, p.paused = nil, 0, false
	p.transfer = transfer{}
	c.requestChunk(to, p)
}

func (c *core) requestChunk(to Member, p *progress) {
	p.transfer.retry, p.transfer.asked = c.now.Add(c.opt.Election), c.now
	c.out.chunks = append(c.out.chunks, chunkRequest{to, p.transfer.snapshot.GetId(), p.transfer.offset, min(c.opt.ChunkBytes, p.window)})
}

// retryTransfer sends a chunk again if its reply is overdue.
func (c *core) retryTransfer(to Member, p *progress) {
	if p.state == Transfer && !c.now.Before(p.transfer.retry) {
		c.requestChunk(to, p)
	}
}

// transferring reports whether a snapshot is being sent to any peer.
func (c *core) transferring() bool {
	for _, p := range c.leading.peers {
		if p.state == Transfer {
			return true
		}
	}
	return false
}

// chunkRead sends a chunk that has been read from disk.
func (c *core) chunkRead(to Member, chunk *wire.LogChunk) {
	p := c.peer(to.Incarnation)
	if p == nil || p.state != Transfer {
		return
	}
	p.transfer.snapshot, p.transfer.offset = chunk.GetSnapshot(), chunk.GetOffset()
	m := c.message(wire.LogKind_LOG_KIND_CHUNK, to)
	m.Chunk = chunk
	c.send(m)
}

func (c *core) stepChunk(m *wire.LogMessage) {
	if !c.heardLeader(m) || c.installing {
		return
	}
	c.state = c.state.withAccepted(c.state.term)
	c.out.received = append(c.out.received, m)
}

// beginInstall reports whether a received snapshot must replace the log. If so,
// no entries are accepted until installed is called.
func (c *core) beginInstall(s *wire.LogSnapshot) bool {
	if s.GetIndex() <= c.commit {
		return false
	}
	if c.log.matches(s.GetIndex(), s.GetTerm()) {
		c.commit = s.GetIndex()
		return false
	}
	c.installing = true
	return true
}

// installed records that a snapshot has replaced the log on disk.
func (c *core) installed(now time.Time, s *wire.LogSnapshot) {
	c.advance(now)
	c.installing = false
	c.log.reset(s.GetIndex(), s.GetTerm())
	c.durable = c.durable.max(position{c.savedState.accepted, c.log.saved})
	c.history = memberHistory{{s.GetMembersIndex(), membersFromWire(s.GetMembers())}}
	c.commit = s.GetIndex()
	c.restore = s
	if c.role == Waiting {
		c.role = Follower
		c.hello.joined(c)
	}
}

// restored records that the state machine was restored from a snapshot.
func (c *core) restored(s *wire.LogSnapshot) {
	c.applied = s.GetIndex()
	if c.restore.GetIndex() <= s.GetIndex() {
		c.restore = nil
	}
}

// chunkWritten replies to a chunk with the offset of the next one.
func (c *core) chunkWritten(m *wire.LogMessage, next uint64) {
	r := c.reply(wire.LogKind_LOG_KIND_CHUNK_REPLY, m)
	r.Hint = next
	r.Chunk = &wire.LogChunk{Snapshot: &wire.LogSnapshot{Id: m.GetChunk().GetSnapshot().GetId()}}
	c.send(r)
}

func (c *core) stepChunkReply(m *wire.LogMessage) {
	p := c.peer(m.GetFromIncarnation())
	if p == nil || m.GetTerm() != c.state.term || p.state != Transfer || p.refused {
		return
	}
	t := &p.transfer
	if t.snapshot == nil || m.GetChunk().GetSnapshot().GetId() != t.snapshot.GetId() || m.GetHint() == t.offset {
		return
	}
	p.heard = c.now
	p.adapt(c.now.Sub(t.asked), c.opt.Heartbeat, c.opt.InflightBytes)
	if m.GetHint() >= t.snapshot.GetSize() {
		p.acknowledge(t.snapshot.GetIndex())
		p.probe(p.match + 1)
		return
	}
	t.offset = m.GetHint()
	to, _ := c.members().get(m.GetFromIncarnation())
	c.requestChunk(to, p)
}
