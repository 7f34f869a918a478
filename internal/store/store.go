// Package store keeps the state of one replica of the replicated log in one
// data folder: its identity, the log in checksummed segment files, and the
// latest snapshot. Whatever a method has confirmed is on disk, with its
// folder entry, and survives a crash.
package store

import (
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// DefaultSegmentBytes is the size at which a new segment file is begun.
const DefaultSegmentBytes = 8 << 20

// Options are the settings of a Store.
type Options struct {
	Cluster string
	Name    string
	// Incarnation is used if the folder is empty, see NewIncarnation.
	Incarnation  string
	SegmentBytes int64
}

// Contents is what a folder held when it was opened.
type Contents struct {
	State    *wire.LogState
	Entries  []*wire.LogEntry
	Marks    []*wire.LogMark
	Snapshot *wire.LogSnapshot // nil if there is none
}

// Store is an open data folder. Save and Compact are for one goroutine;
// snapshots may be written, read and received by others meanwhile.
type Store struct {
	fs       FS
	lock     io.Closer
	opt      Options
	contents Contents

	log logFiles

	mu       sync.Mutex
	identity Identity
	snapshot *wire.LogSnapshot
	incoming *incoming
}

// Open opens a data folder, or makes one if the folder is empty.
func Open(fs FS, opt Options) (*Store, error) {
	if opt.SegmentBytes == 0 {
		opt.SegmentBytes = DefaultSegmentBytes
	}
	lock, err := fs.Lock()
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fs, lock: lock, opt: opt}
	if err := s.open(); err != nil {
		return nil, errors.CombineErrors(fullOr(err), lock.Close())
	}
	return s, nil
}

func (s *Store) open() error {
	names, err := s.fs.List()
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	s.log = logFiles{fs: s.fs, limit: s.opt.SegmentBytes}
	if !slices.Contains(names, identityName) {
		return s.create(names)
	}
	id, err := readIdentity(s.fs)
	if err != nil {
		return err
	}
	if err := id.check(s.opt); err != nil {
		return err
	}
	s.log.head = &wire.LogSegment{Format: Format, Cluster: id.Cluster, Incarnation: id.Incarnation}
	if s.snapshot, err = loadSnapshot(s.fs, names, id.Cluster); err != nil {
		return err
	}
	if err := s.load(names); err != nil {
		return err
	}
	s.identity = id.WithNextBoot()
	return writeIdentity(s.fs, s.identity)
}

// create makes a new folder. The identity is written last, so that a folder
// without one holds nothing that was ever confirmed.
func (s *Store) create(names []string) error {
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) && name != segmentName(1) || strings.HasPrefix(name, snapshotPrefix) {
			return &CorruptError{File: identityName, Reason: "missing beside " + name}
		}
	}
	if s.opt.Incarnation == "" {
		return errors.New("store: options hold no incarnation for a new folder")
	}
	s.log.head = &wire.LogSegment{Format: Format, Cluster: s.opt.Cluster, Incarnation: s.opt.Incarnation}
	s.log.state = &wire.LogState{}
	if err := s.log.begin(1); err != nil {
		return err
	}
	s.contents = Contents{State: &wire.LogState{}}
	s.identity = Identity{
		Format: Format, Cluster: s.opt.Cluster, Name: s.opt.Name,
		Incarnation: s.opt.Incarnation, Boot: 1,
	}
	return writeIdentity(s.fs, s.identity)
}

func (s *Store) load(names []string) error {
	entries, err := s.log.load(names)
	if err != nil {
		return err
	}
	if err := checkGap(entries, s.snapshot); err != nil {
		return err
	}
	if !holds(entries, s.snapshot) {
		// The crash came between a snapshot's arrival and the log's reset.
		entries = nil
		if err := s.log.reset(s.snapshot.GetIndex() + 1); err != nil {
			return err
		}
	}
	s.contents = Contents{
		State: s.log.state, Entries: entries, Marks: s.log.markList(), Snapshot: s.snapshot,
	}
	return nil
}

// checkGap refuses a log that doesn't reach back to the snapshot.
func checkGap(entries []*wire.LogEntry, snap *wire.LogSnapshot) error {
	if len(entries) > 0 && entries[0].GetIndex() > snap.GetIndex()+1 {
		return &CorruptError{
			File:   segmentName(entries[0].GetIndex()),
			Reason: "entries between the snapshot and this segment are missing",
		}
	}
	return nil
}

// holds tells whether the log agrees with the snapshot where both reach.
func holds(entries []*wire.LogEntry, snap *wire.LogSnapshot) bool {
	if snap == nil {
		return true
	}
	for _, e := range entries {
		if e.GetIndex() == snap.GetIndex() {
			return e.GetTerm() == snap.GetTerm()
		}
	}
	return len(entries) > 0 && entries[0].GetIndex() > snap.GetIndex()
}

// Contents returns what the folder held when it was opened.
func (s *Store) Contents() Contents { return s.contents }

// Identity returns whose folder this is.
func (s *Store) Identity() Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity
}

// MarkRefused marks the folder as unfit to vote, for good.
func (s *Store) MarkRefused(reason string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.identity.WithRefused(reason)
	if err := writeIdentity(s.fs, id); err != nil {
		return fullOr(err)
	}
	s.identity = id
	return nil
}

// Save writes a frame to the log and syncs it. An entry replaces the one
// with its index and all after it. After ErrFull nothing has changed and Save
// may be called again; after any other error the store can't be used.
func (s *Store) Save(f *wire.LogFrame) error {
	return fullOr(s.log.save(f))
}

// Compact removes what lies before the given index, as far as whole segment
// files allow. The snapshot must reach to that index at least.
func (s *Store) Compact(index uint64) error {
	return s.log.compact(index)
}

// Close releases the folder.
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
