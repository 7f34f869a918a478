package store

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const segmentPrefix = "log-"

// segmentName returns the file name of the segment whose first entry has the
// given index.
func segmentName(first uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, first) }

func segmentFirst(name string) (uint64, bool) {
	hex, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok {
		return 0, false
	}
	first, err := strconv.ParseUint(hex, 16, 64)
	return first, err == nil
}

// logFiles is the log as a sequence of segment files. Only the last segment is
// written to.
type logFiles struct {
	fs       FS
	limit    int64
	head     *wire.LogSegment
	state    *wire.LogState
	marks    map[string]*wire.LogMark
	segments []uint64 // index of each segment's first entry, ascending
	file     File     // the last segment
	size     int64    // synced size of the last segment
	last     uint64   // index of the last entry
	dirty    bool     // a failed write may have left bytes after size
	buf      []byte
}

// begin starts a segment for the entries from the given index on. Its first
// frame repeats the state and the marks, so that earlier segments can be
// removed.
func (l *logFiles) begin(first uint64) error {
	name := segmentName(first)
	head := &wire.LogFrame{Segment: l.head, State: l.state, Marks: l.markList()}
	b, err := appendFrame(nil, head)
	if err != nil {
		return err
	}
	if err := l.create(name, b); err != nil {
		return err
	}
	f, err := l.fs.Open(name, false)
	if err != nil {
		return errors.Wrapf(err, "open %s", name)
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errors.CombineErrors(errors.Wrap(err, "close segment"), f.Close())
		}
	}
	l.file, l.size, l.dirty = f, int64(len(b)), false
	l.last = first - 1
	if n := len(l.segments); n == 0 || l.segments[n-1] != first {
		l.segments = append(l.segments, first)
	}
	return nil
}

// create creates a segment file with its first frame. If that fails, the file
// is removed, because only the last segment may be incomplete.
func (l *logFiles) create(name string, head []byte) error {
	if err := writeFile(l.fs, name, head); err != nil {
		return errors.CombineErrors(err, l.fs.Remove(name))
	}
	return errors.Wrap(l.fs.SyncDir(), "sync data folder")
}

func (l *logFiles) markList() []*wire.LogMark {
	list := make([]*wire.LogMark, 0, len(l.marks))
	for _, m := range l.marks {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetIncarnation() < list[j].GetIncarnation() })
	return list
}

// note updates the state, the marks and the index of the last entry from a
// saved frame.
func (l *logFiles) note(f *wire.LogFrame) {
	if f.GetState() != nil {
		l.state = f.GetState()
	}
	if l.marks == nil {
		l.marks = make(map[string]*wire.LogMark)
	}
	for _, m := range f.GetMarks() {
		l.marks[m.GetIncarnation()] = m
	}
	if n := len(f.GetEntries()); n > 0 {
		l.last = f.GetEntries()[n-1].GetIndex()
	}
}

func (l *logFiles) save(f *wire.LogFrame) error {
	if err := l.rotate(f); err != nil {
		return err
	}
	if l.dirty {
		if err := l.undo(); err != nil {
			return err
		}
	}
	b, err := appendFrame(l.buf[:0], f)
	if err != nil {
		return err
	}
	l.buf = b
	l.dirty = true
	if _, err := l.file.WriteAt(b, l.size); err != nil {
		return errors.Wrap(err, "write log")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	l.dirty = false
	l.size += int64(len(b))
	l.note(f)
	if cap(l.buf) > int(l.limit) {
		l.buf = nil
	}
	return nil
}

// undo truncates the last segment to its synced size, which removes the bytes
// that a failed write left.
func (l *logFiles) undo() error {
	if err := l.file.Truncate(l.size); err != nil {
		return errors.Wrap(err, "truncate log")
	}
	l.dirty = false
	return nil
}

// rotate starts a new segment before f is saved if the last one is full, or if
// there is a gap between its last entry and f, as after a snapshot was
// installed. Entries that replace the whole last segment stay in it.
func (l *logFiles) rotate(f *wire.LogFrame) error {
	if len(f.GetEntries()) == 0 {
		return nil
	}
	first := f.GetEntries()[0].GetIndex()
	follows := first <= l.last+1
	if follows && (l.size < l.limit || first <= l.segments[len(l.segments)-1]) {
		return nil
	}
	if l.dirty {
		if err := l.undo(); err != nil {
			return err
		}
	}
	if f.GetState() != nil {
		l.state = f.GetState()
	}
	return l.begin(first)
}

// reset discards all entries and starts an empty segment at the given index.
func (l *logFiles) reset(first uint64) error {
	for len(l.segments) > 0 && l.segments[len(l.segments)-1] >= first {
		if err := l.dropLast(); err != nil {
			return err
		}
	}
	if err := l.begin(first); err != nil {
		return err
	}
	return l.compact(first)
}

func (l *logFiles) dropLast() error {
	n := len(l.segments)
	if err := l.fs.Remove(segmentName(l.segments[n-1])); err != nil {
		return errors.Wrap(err, "remove segment")
	}
	l.segments = l.segments[:n-1]
	return nil
}

func (l *logFiles) compact(index uint64) error {
	removed := 0
	for removed+1 < len(l.segments) && l.segments[removed+1] <= index {
		if err := l.fs.Remove(segmentName(l.segments[removed])); err != nil {
			return errors.Wrap(err, "remove segment")
		}
		removed++
	}
	if removed == 0 {
		return nil
	}
	l.segments = slices.Clone(l.segments[removed:])
	return errors.Wrap(l.fs.SyncDir(), "sync data folder")
}

func (l *logFiles) close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// load reads all segments and opens the last one for writing.
func (l *logFiles) load(names []string) ([]*wire.LogEntry, error) {
	for _, name := range names {
		if first, ok := segmentFirst(name); ok {
			l.segments = append(l.segments, first)
		}
	}
	if len(l.segments) == 0 {
		return nil, &CorruptError{File: segmentPrefix, Reason: "no segment file exists"}
	}
	var entries []*wire.LogEntry
	for i, first := range l.segments {
		var err error
		last := i == len(l.segments)-1
		if entries, err = l.loadSegment(entries, first, last); err != nil {
			return nil, err
		}
	}
	if l.file != nil {
		return entries, nil
	}
	return entries, l.reopenLast()
}

// reopenLast opens the segment before an incomplete one that was removed.
func (l *logFiles) reopenLast() error {
	first := l.segments[len(l.segments)-1]
	b, err := readFile(l.fs, segmentName(first))
	if err != nil {
		return err
	}
	l.file, err = l.fs.Open(segmentName(first), false)
	l.size = int64(len(b))
	return errors.Wrap(err, "open segment")
}

func (l *logFiles) loadSegment(entries []*wire.LogEntry, first uint64, last bool) ([]*wire.LogEntry, error) {
	name := segmentName(first)
	b, err := readFile(l.fs, name)
	if err != nil {
		return nil, err
	}
	off := 0
	for off < len(b) {
		size, ok := frameAt(b[off:])
		if !ok {
			break
		}
		f, err := decodeFrame(b[off : off+size])
		if err != nil {
			return nil, &CorruptError{File: name, Offset: int64(off), Reason: err.Error()}
		}
		if off == 0 {
			if err := l.checkHead(name, f.GetSegment()); err != nil {
				return nil, err
			}
			entries = before(entries, first)
			l.last = first - 1
		}
		entries = join(entries, f.GetEntries())
		l.note(f)
		off += size
	}
	if off < len(b) && (!last || frameAfter(b[off+1:])) {
		return nil, &CorruptError{File: name, Offset: int64(off), Reason: "damaged frame before synced ones"}
	}
	if !last {
		if off == 0 {
			return nil, &CorruptError{File: name, Reason: "segment without a valid frame before others"}
		}
		return entries, nil
	}
	return entries, l.openLast(name, off, len(b))
}

// openLast opens the last segment and truncates it to off, the end of its last
// valid frame; an interrupted write left the rest. If off is 0, the creation of
// the segment was interrupted, and the file is removed.
func (l *logFiles) openLast(name string, off, size int) error {
	if off == 0 {
		if len(l.segments) == 1 {
			return &CorruptError{File: name, Reason: "the only segment has no valid first frame"}
		}
		return l.dropLast()
	}
	f, err := l.fs.Open(name, false)
	if err != nil {
		return errors.Wrapf(err, "open %s", name)
	}
	l.file, l.size = f, int64(off)
	if off == size {
		return nil
	}
	if err := f.Truncate(int64(off)); err != nil {
		return errors.Wrapf(err, "truncate %s", name)
	}
	return errors.Wrapf(f.Sync(), "sync %s", name)
}

func (l *logFiles) checkHead(name string, head *wire.LogSegment) error {
	switch {
	case head.GetFormat() > Format:
		return errors.Wrapf(ErrNewerFormat, "%s: format %d", name, head.GetFormat())
	case !proto.Equal(head, l.head):
		return errors.Wrapf(ErrOtherReplica, "%s: segment of cluster %q, incarnation %q",
			name, head.GetCluster(), head.GetIncarnation())
	}
	return nil
}

// before returns the entries with a lower index than the given one.
func before(entries []*wire.LogEntry, first uint64) []*wire.LogEntry {
	i, _ := slices.BinarySearchFunc(entries, first, func(e *wire.LogEntry, index uint64) int {
		return cmp.Compare(e.GetIndex(), index)
	})
	return entries[:i]
}

// join appends entries to a log; they replace all that the log has from their
// first index on. If there is a gap before them, only they are returned: a
// snapshot must cover all before them, which checkGap verifies.
func join(log, entries []*wire.LogEntry) []*wire.LogEntry {
	if len(entries) == 0 {
		return log
	}
	first := entries[0].GetIndex()
	log = before(log, first)
	if n := len(log); n > 0 && log[n-1].GetIndex()+1 != first {
		return entries
	}
	return append(log, entries...)
}
