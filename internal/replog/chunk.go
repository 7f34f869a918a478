package replog

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// snapshotTransfer is the state of sending a snapshot to a peer, one chunk at a
// time.
type snapshotTransfer struct {
	snapshot    *wire.LogSnapshot // nil until the first chunk has been read
	offset      uint64
	retryAt     time.Time // when to send the chunk again
	requestedAt time.Time // when the chunk was requested from the disk
}

// chunkRequest requests a chunk to be read from disk and passed to sendChunk.
// The chunk is from the snapshot with the given id, or from the latest one if
// id is empty.
type chunkRequest struct {
	to     Member
	id     string
	offset uint64
	bytes  int
}

// startTransfer begins to send the latest snapshot to a peer.
func (c *core) startTransfer(to Member, p *progress) {
	p.state = Transfer
	p.inflight, p.inflightBytes, p.paused = nil, 0, false
	p.transfer = snapshotTransfer{}
	c.requestChunk(to, p)
}

func (c *core) requestChunk(to Member, p *progress) {
	p.transfer.retryAt, p.transfer.requestedAt = c.now.Add(c.opt.ElectionTimeout), c.now
	c.out.chunksToRead = append(c.out.chunksToRead, chunkRequest{to, p.transfer.snapshot.GetId(), p.transfer.offset, min(c.opt.ChunkBytes, p.window)})
}

// retryTransfer sends a chunk again if its reply is overdue.
func (c *core) retryTransfer(to Member, p *progress) {
	if p.state == Transfer && !c.now.Before(p.transfer.retryAt) {
		c.requestChunk(to, p)
	}
}

// transferring reports whether a snapshot is being sent to any peer.
func (c *core) transferring() bool {
	for _, p := range c.leaderState.peers {
		if p.state == Transfer {
			return true
		}
	}
	return false
}

// sendChunk sends a chunk that has been read from disk.
func (c *core) sendChunk(to Member, chunk *wire.LogChunk) {
	p := c.peerProgress(to.Incarnation)
	if p == nil || p.state != Transfer {
		return
	}
	p.transfer.snapshot, p.transfer.offset = chunk.GetSnapshot(), chunk.GetOffset()
	m := c.message(wire.LogKind_LOG_KIND_CHUNK, to)
	m.Chunk = chunk
	c.send(m)
}

func (c *core) stepChunk(m *wire.LogMessage) {
	if !c.observeLeader(m) || c.installing {
		return
	}
	c.state = c.state.withAccepted(c.state.term)
	c.out.chunksToWrite = append(c.out.chunksToWrite, m)
}

// beginInstall reports whether a received snapshot must replace the log. If so,
// no entries are accepted until snapshotInstalled is called.
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

// snapshotInstalled records that a snapshot has replaced the log on disk.
func (c *core) snapshotInstalled(now time.Time, s *wire.LogSnapshot) {
	c.advanceClock(now)
	c.installing = false
	c.log.reset(s.GetIndex(), s.GetTerm())
	c.durable = c.durable.max(position{c.savedState.accepted, c.log.saved})
	c.history = memberHistory{{s.GetMembersIndex(), membersFromWire(s.GetMembers())}}
	c.commit = s.GetIndex()
	c.pendingRestore = s
	if c.role == Waiting {
		c.role = Follower
		c.join.membershipReceived(c)
	}
}

// snapshotRestored records that the state machine was restored from a snapshot.
func (c *core) snapshotRestored(s *wire.LogSnapshot) {
	c.applied = s.GetIndex()
	if c.pendingRestore.GetIndex() <= s.GetIndex() {
		c.pendingRestore = nil
	}
}

// acknowledgeChunk replies to a chunk with the offset of the next one.
func (c *core) acknowledgeChunk(m *wire.LogMessage, next uint64) {
	r := c.reply(wire.LogKind_LOG_KIND_CHUNK_REPLY, m)
	r.Hint = next
	r.Chunk = &wire.LogChunk{Snapshot: &wire.LogSnapshot{Id: m.GetChunk().GetSnapshot().GetId()}}
	c.send(r)
}

func (c *core) stepChunkReply(m *wire.LogMessage) {
	p := c.peerProgress(m.GetFromIncarnation())
	if p == nil || m.GetTerm() != c.state.term || p.state != Transfer || p.lostEntries {
		return
	}
	t := &p.transfer
	if t.snapshot == nil || m.GetChunk().GetSnapshot().GetId() != t.snapshot.GetId() || m.GetHint() == t.offset {
		return
	}
	p.lastHeard = c.now
	p.adaptWindow(c.now.Sub(t.requestedAt), c.opt.HeartbeatInterval, c.opt.MaxInflightBytes)
	if m.GetHint() >= t.snapshot.GetSize() {
		p.acknowledge(t.snapshot.GetIndex())
		p.startProbe(p.match + 1)
		return
	}
	t.offset = m.GetHint()
	to, _ := c.members().get(m.GetFromIncarnation())
	c.requestChunk(to, p)
}
