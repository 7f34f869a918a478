package store

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// incoming is a snapshot that arrives in chunks.
type incoming struct {
	meta *wire.LogSnapshot
	file File
	size uint64
}

// ReadChunk returns up to max bytes of the latest snapshot file from an
// offset on. It returns ErrNoSnapshot if the latest one has another id.
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

// ReceiveChunk takes a chunk of a snapshot from a peer and returns the offset that
// it wants next. Once the whole file is there, has been checked and synced,
// it is the latest snapshot and done is true.
func (s *Store) ReceiveChunk(c *wire.LogChunk) (next uint64, done bool, err error) {
	meta := c.GetSnapshot()
	if have := s.Snapshot(); have.GetIndex() >= meta.GetIndex() {
		return meta.GetSize(), true, nil
	}
	in, err := s.incomingFor(meta)
	if err != nil {
		return 0, false, fullOr(err)
	}
	if c.GetOffset() != in.size {
		return in.size, false, nil
	}
	if _, err := in.file.WriteAt(c.GetData(), int64(in.size)); err != nil {
		return in.size, false, fullOr(errors.Wrap(err, "write incoming snapshot"))
	}
	in.size += uint64(len(c.GetData()))
	if in.size < meta.GetSize() {
		return in.size, false, nil
	}
	return s.finish(in)
}

func (s *Store) incomingFor(meta *wire.LogSnapshot) (*incoming, error) {
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
	f, err := s.fs.Open(incomingName, true)
	if err != nil {
		return nil, errors.Wrap(err, "create incoming snapshot")
	}
	if err := f.Truncate(0); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "truncate incoming snapshot"), f.Close())
	}
	s.incoming = &incoming{meta: meta, file: f}
	return s.incoming, nil
}

func (s *Store) finish(in *incoming) (uint64, bool, error) {
	if err := in.file.Sync(); err != nil {
		return in.size, false, fullOr(errors.Wrap(err, "sync incoming snapshot"))
	}
	s.mu.Lock()
	s.incoming = nil
	s.mu.Unlock()
	if err := in.file.Close(); err != nil {
		return 0, false, errors.Wrap(err, "close incoming snapshot")
	}
	meta, err := checkSnapshot(s.fs, incomingName, s.opt.Cluster)
	if errors.Is(err, ErrCorrupt) {
		// Damaged on its way; the sender begins again.
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	return in.size, true, s.adopt(incomingName, meta)
}

// ResetLog begins the log anew after the latest snapshot, which has replaced it.
func (s *Store) ResetLog() error {
	return fullOr(s.log.reset(s.Snapshot().GetIndex() + 1))
}
