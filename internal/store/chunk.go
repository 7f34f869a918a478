package store

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	meta     *wire.LogSnapshot
	file     File
	received uint64
}

// ReadChunk returns up to maxBytes bytes of the latest snapshot file from
// offset on. It returns ErrNoSnapshot if the latest snapshot has another id.
func (s *Store) ReadChunk(id string, offset uint64, maxBytes int) (*wire.LogChunk, error) {
	meta := s.Snapshot()
	if meta == nil || meta.GetId() != id || offset > meta.GetSize() {
		return nil, ErrNoSnapshot
	}
	f, err := s.fs.Open(snapshotName(meta.GetIndex()), false)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoSnapshot, err)
	}
	b := make([]byte, min(uint64(maxBytes), meta.GetSize()-offset))
	if len(b) > 0 {
		_, err = f.ReadAt(b, int64(offset))
	}
	if err := errors.CombineErrors(err, f.Close()); err != nil {
		return nil, errors.Wrap(err, "read snapshot")
	}
	return &wire.LogChunk{Snapshot: meta, Offset: offset, Data: b}, nil
}

// ReceiveChunk writes a chunk of a snapshot that a peer sent and returns the
// offset of the chunk that it expects next. When the file is complete, verified
// and synced, it becomes the latest snapshot and done is true.
func (s *Store) ReceiveChunk(chunk *wire.LogChunk) (nextOffset uint64, done bool, err error) {
	meta := chunk.GetSnapshot()
	if latest := s.Snapshot(); latest.GetIndex() >= meta.GetIndex() {
		return meta.GetSize(), true, nil
	}
	incoming, err := s.openIncoming(meta)
	if err != nil {
		return 0, false, wrapDiskFull(err)
	}
	if chunk.GetOffset() != incoming.received {
		return incoming.received, false, nil
	}
	if _, err := incoming.file.WriteAt(chunk.GetData(), int64(incoming.received)); err != nil {
		return incoming.received, false, wrapDiskFull(errors.Wrap(err, "write incoming snapshot"))
	}
	incoming.received += uint64(len(chunk.GetData()))
	if incoming.received < meta.GetSize() {
		return incoming.received, false, nil
	}
	return s.finishReceiving(incoming)
}

func (s *Store) openIncoming(meta *wire.LogSnapshot) (*incomingSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incoming != nil && s.incoming.meta.GetId() == meta.GetId() {
		return s.incoming, nil
	}
	if s.incoming != nil {
		if err := s.incoming.file.Close(); err != nil {
			return nil, errors.Wrap(err, "close incoming snapshot")
		}
		s.incoming = nil
	}
	f, err := s.fs.Open(incomingTempName, true)
	if err != nil {
		return nil, errors.Wrap(err, "create incoming snapshot")
	}
	if err := f.Truncate(0); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "truncate incoming snapshot"), f.Close())
	}
	s.incoming = &incomingSnapshot{meta: meta, file: f}
	return s.incoming, nil
}

func (s *Store) finishReceiving(incoming *incomingSnapshot) (uint64, bool, error) {
	if err := incoming.file.Sync(); err != nil {
		return incoming.received, false, wrapDiskFull(errors.Wrap(err, "sync incoming snapshot"))
	}
	s.mu.Lock()
	s.incoming = nil
	s.mu.Unlock()
	if err := incoming.file.Close(); err != nil {
		return 0, false, errors.Wrap(err, "close incoming snapshot")
	}
	meta, err := checkSnapshot(s.fs, incomingTempName, s.options.Cluster)
	if errors.Is(err, ErrCorrupt) {
		// The file was damaged in transfer; the sender starts again at offset 0.
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	return incoming.received, true, s.installSnapshot(incomingTempName, meta)
}

// ResetLog discards the log and starts an empty one after the latest snapshot.
// It is called when a received snapshot has replaced the log.
func (s *Store) ResetLog() error {
	return wrapDiskFull(s.log.reset(s.Snapshot().GetIndex() + 1))
}
