// Package store keeps the state of one replica of the replicated log in one
// data folder: its identity, the log in checksummed segment files, and the
// latest snapshot. When a method that writes returns without an error, the
// data and the directory entry of its file are synced and survive a crash.
package store

import (
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 8 << 20

// Options are the settings of a Store.
type Options struct {
	Cluster string
	Name    string // of the replica
	// Incarnation identifies a data folder that Open creates, see
	// NewIncarnation. A folder that exists keeps its own.
	Incarnation string
	// SegmentBytes is the size at which a segment file counts as full and the
	// log continues in a new one; 0 means DefaultSegmentBytes.
	SegmentBytes int64
}

// Contents is the data that Open read from a folder.
type Contents struct {
	State    *wire.LogState
	Entries  []*wire.LogEntry
	Marks    []*wire.LogMark   // how far each incarnation acknowledged the log
	Snapshot *wire.LogSnapshot // nil if there is none
}

// Store is an open data folder. Save and Compact must be called from one
// goroutine; others may write, read and receive snapshots at the same time.
type Store struct {
	fs       FS
	lock     io.Closer
	options  Options
	contents Contents

	log segmentedLog

	mu       sync.Mutex
	identity Identity
	snapshot *wire.LogSnapshot
	incoming *incomingSnapshot
}

// Open opens a data folder, or initializes it if it holds no identity yet.
func Open(fs FS, options Options) (*Store, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	lock, err := fs.Lock()
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fs, lock: lock, options: options}
	if err := s.open(); err != nil {
		return nil, errors.CombineErrors(wrapDiskFull(err), lock.Close())
	}
	return s, nil
}

func (s *Store) open() error {
	names, err := s.fs.List()
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	s.log = segmentedLog{fs: s.fs, segmentBytes: s.options.SegmentBytes}
	if !slices.Contains(names, identityName) {
		return s.createFolder(names)
	}
	id, err := readIdentity(s.fs)
	if err != nil {
		return err
	}
	if err := id.check(s.options); err != nil {
		return err
	}
	s.log.header = &wire.LogSegment{Format: Format, Cluster: id.Cluster, Incarnation: id.Incarnation}
	if s.snapshot, err = loadSnapshot(s.fs, names, id.Cluster); err != nil {
		return err
	}
	if err := s.loadLog(names); err != nil {
		return err
	}
	s.identity = id.WithNextBoot()
	return writeIdentity(s.fs, s.identity)
}

// createFolder initializes a new folder. The identity is written last, so a
// folder without one holds no data that a caller was told is saved.
func (s *Store) createFolder(names []string) error {
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) && name != segmentName(1) || strings.HasPrefix(name, snapshotPrefix) {
			return &CorruptError{File: identityName, Reason: "missing beside " + name}
		}
	}
	if s.options.Incarnation == "" {
		return errors.New("store: options hold no incarnation for a new folder")
	}
	s.log.header = &wire.LogSegment{Format: Format, Cluster: s.options.Cluster, Incarnation: s.options.Incarnation}
	s.log.state = &wire.LogState{}
	if err := s.log.startSegment(1); err != nil {
		return err
	}
	s.contents = Contents{State: &wire.LogState{}}
	s.identity = Identity{
		Format: Format, Cluster: s.options.Cluster, Name: s.options.Name,
		Incarnation: s.options.Incarnation, Boot: 1,
	}
	return writeIdentity(s.fs, s.identity)
}

func (s *Store) loadLog(names []string) error {
	entries, err := s.log.load(names)
	if err != nil {
		return err
	}
	if err := checkNoGap(entries, s.snapshot); err != nil {
		return err
	}
	if !logMatchesSnapshot(entries, s.snapshot) {
		// The process crashed after it had received a snapshot and before it
		// reset the log.
		entries = nil
		if err := s.log.reset(s.snapshot.GetIndex() + 1); err != nil {
			return err
		}
	}
	s.contents = Contents{
		State: s.log.state, Entries: entries, Marks: s.log.sortedMarks(), Snapshot: s.snapshot,
	}
	return nil
}

// checkNoGap returns an error if entries are missing between the snapshot and
// the first entry of the log.
func checkNoGap(entries []*wire.LogEntry, snapshot *wire.LogSnapshot) error {
	if len(entries) > 0 && entries[0].GetIndex() > snapshot.GetIndex()+1 {
		return &CorruptError{
			File:   segmentName(entries[0].GetIndex()),
			Reason: "entries between the snapshot and this segment are missing",
		}
	}
	return nil
}

// logMatchesSnapshot reports whether the log is consistent with the snapshot:
// it has the snapshot's last entry with the same term, or begins after it.
func logMatchesSnapshot(entries []*wire.LogEntry, snapshot *wire.LogSnapshot) bool {
	if snapshot == nil {
		return true
	}
	for _, e := range entries {
		if e.GetIndex() == snapshot.GetIndex() {
			return e.GetTerm() == snapshot.GetTerm()
		}
	}
	return len(entries) > 0 && entries[0].GetIndex() > snapshot.GetIndex()
}

// Contents returns the data that Open read from the folder.
func (s *Store) Contents() Contents { return s.contents }

// Identity returns the identity of the replica that owns the folder.
func (s *Store) Identity() Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity
}

// MarkRefused records in the folder, permanently, that its replica must not vote
// any more.
func (s *Store) MarkRefused(reason string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.identity.WithRefused(reason)
	if err := writeIdentity(s.fs, id); err != nil {
		return wrapDiskFull(err)
	}
	s.identity = id
	return nil
}

// Save appends a frame to the log and syncs it. An entry replaces the one
// with the same index and all that follow it. After ErrDiskFull the saved log
// is unchanged and Save may be called again; after any other error the store
// must not be used any more.
func (s *Store) Save(frame *wire.LogFrame) error {
	return wrapDiskFull(s.log.save(frame))
}

// Compact removes the segment files that hold only entries before index. The
// latest snapshot must reach at least to index.
func (s *Store) Compact(index uint64) error {
	return s.log.compact(index)
}

// Close closes the open files and releases the lock of the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.log.close()
	if s.incoming != nil {
		err = errors.CombineErrors(err, s.incoming.file.Close())
		s.incoming = nil
	}
	return errors.CombineErrors(err, s.lock.Close())
}
