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
func segmentName(firstIndex uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, firstIndex) }

func parseSegmentName(name string) (uint64, bool) {
	hex, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok {
		return 0, false
	}
	firstIndex, err := strconv.ParseUint(hex, 16, 64)
	return firstIndex, err == nil
}

// segmentedLog is the log as a sequence of segment files. Only the last
// segment, the active one, is written to.
type segmentedLog struct {
	fs           FS
	segmentBytes int64
	header       *wire.LogSegment
	state        *wire.LogState
	marks        map[string]*wire.LogMark
	segments     []uint64 // index of each segment's first entry, ascending
	activeFile   File     // the last segment
	activeSize   int64    // synced size of activeFile
	lastIndex    uint64   // index of the last entry
	unsyncedTail bool     // a failed write may have left bytes after activeSize
	buf          []byte
}

// startSegment starts a segment for the entries from firstIndex on. Its first
// frame repeats the state and the marks, so that earlier segments can be
// removed.
func (l *segmentedLog) startSegment(firstIndex uint64) error {
	name := segmentName(firstIndex)
	frame := &wire.LogFrame{Segment: l.header, State: l.state, Marks: l.sortedMarks()}
	b, err := appendFrame(nil, frame)
	if err != nil {
		return err
	}
	if err := l.createSegment(name, b); err != nil {
		return err
	}
	f, err := l.fs.Open(name, false)
	if err != nil {
		return errors.Wrapf(err, "open %s", name)
	}
	if l.activeFile != nil {
		if err := l.activeFile.Close(); err != nil {
			return errors.CombineErrors(errors.Wrap(err, "close segment"), f.Close())
		}
	}
	l.activeFile, l.activeSize, l.unsyncedTail = f, int64(len(b)), false
	l.lastIndex = firstIndex - 1
	if n := len(l.segments); n == 0 || l.segments[n-1] != firstIndex {
		l.segments = append(l.segments, firstIndex)
	}
	return nil
}

// createSegment creates a segment file with its first frame. If it can't be
// written, the file is removed, because only the last segment may be incomplete.
func (l *segmentedLog) createSegment(name string, frame []byte) error {
	if err := writeFile(l.fs, name, frame); err != nil {
		return errors.CombineErrors(err, l.fs.Remove(name))
	}
	return errors.Wrap(l.fs.SyncDir(), "sync data folder")
}

func (l *segmentedLog) sortedMarks() []*wire.LogMark {
	list := make([]*wire.LogMark, 0, len(l.marks))
	for _, m := range l.marks {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetIncarnation() < list[j].GetIncarnation() })
	return list
}

// applyFrame updates the state, the marks and the index of the last entry from
// a saved frame.
func (l *segmentedLog) applyFrame(f *wire.LogFrame) {
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
		l.lastIndex = f.GetEntries()[n-1].GetIndex()
	}
}

func (l *segmentedLog) save(f *wire.LogFrame) error {
	if err := l.rotateFor(f); err != nil {
		return err
	}
	if l.unsyncedTail {
		if err := l.truncateTail(); err != nil {
			return err
		}
	}
	b, err := appendFrame(l.buf[:0], f)
	if err != nil {
		return err
	}
	l.buf = b
	l.unsyncedTail = true
	if _, err := l.activeFile.WriteAt(b, l.activeSize); err != nil {
		return errors.Wrap(err, "write log")
	}
	if err := l.activeFile.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	l.unsyncedTail = false
	l.activeSize += int64(len(b))
	l.applyFrame(f)
	if cap(l.buf) > int(l.segmentBytes) {
		l.buf = nil
	}
	return nil
}

// truncateTail truncates the last segment to its synced size, which removes the
// bytes that a failed write left.
func (l *segmentedLog) truncateTail() error {
	if err := l.activeFile.Truncate(l.activeSize); err != nil {
		return errors.Wrap(err, "truncate log")
	}
	l.unsyncedTail = false
	return nil
}

// rotateFor starts a new segment before f is saved if the last one is full, or
// if there is a gap between its last entry and f, as after a snapshot was
// installed. Entries that replace the whole last segment stay in it.
func (l *segmentedLog) rotateFor(f *wire.LogFrame) error {
	if len(f.GetEntries()) == 0 {
		return nil
	}
	firstIndex := f.GetEntries()[0].GetIndex()
	follows := firstIndex <= l.lastIndex+1
	if follows && (l.activeSize < l.segmentBytes || firstIndex <= l.segments[len(l.segments)-1]) {
		return nil
	}
	if l.unsyncedTail {
		if err := l.truncateTail(); err != nil {
			return err
		}
	}
	if f.GetState() != nil {
		l.state = f.GetState()
	}
	return l.startSegment(firstIndex)
}

// reset discards all entries and starts an empty segment at firstIndex.
func (l *segmentedLog) reset(firstIndex uint64) error {
	for len(l.segments) > 0 && l.segments[len(l.segments)-1] >= firstIndex {
		if err := l.removeLastSegment(); err != nil {
			return err
		}
	}
	if err := l.startSegment(firstIndex); err != nil {
		return err
	}
	return l.compact(firstIndex)
}

func (l *segmentedLog) removeLastSegment() error {
	n := len(l.segments)
	if err := l.fs.Remove(segmentName(l.segments[n-1])); err != nil {
		return errors.Wrap(err, "remove segment")
	}
	l.segments = l.segments[:n-1]
	return nil
}

func (l *segmentedLog) compact(index uint64) error {
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

func (l *segmentedLog) close() error {
	if l.activeFile == nil {
		return nil
	}
	return l.activeFile.Close()
}

// load reads all segments and opens the last one for writing.
func (l *segmentedLog) load(names []string) ([]*wire.LogEntry, error) {
	for _, name := range names {
		if firstIndex, ok := parseSegmentName(name); ok {
			l.segments = append(l.segments, firstIndex)
		}
	}
	if len(l.segments) == 0 {
		return nil, &CorruptError{File: segmentPrefix, Reason: "no segment file exists"}
	}
	var entries []*wire.LogEntry
	for i, firstIndex := range l.segments {
		var err error
		isLast := i == len(l.segments)-1
		if entries, err = l.loadSegment(entries, firstIndex, isLast); err != nil {
			return nil, err
		}
	}
	if l.activeFile != nil {
		return entries, nil
	}
	return entries, l.openLastSegment()
}

// openLastSegment opens the segment before an incomplete one that was removed.
func (l *segmentedLog) openLastSegment() error {
	firstIndex := l.segments[len(l.segments)-1]
	b, err := readFile(l.fs, segmentName(firstIndex))
	if err != nil {
		return err
	}
	l.activeFile, err = l.fs.Open(segmentName(firstIndex), false)
	l.activeSize = int64(len(b))
	return errors.Wrap(err, "open segment")
}

func (l *segmentedLog) loadSegment(entries []*wire.LogEntry, firstIndex uint64, isLast bool) ([]*wire.LogEntry, error) {
	name := segmentName(firstIndex)
	b, err := readFile(l.fs, name)
	if err != nil {
		return nil, err
	}
	offset := 0
	for offset < len(b) {
		frameSize, ok := validFrameSize(b[offset:])
		if !ok {
			break
		}
		f, err := decodeFrame(b[offset : offset+frameSize])
		if err != nil {
			return nil, &CorruptError{File: name, Offset: int64(offset), Reason: err.Error()}
		}
		if offset == 0 {
			if err := l.checkHeader(name, f.GetSegment()); err != nil {
				return nil, err
			}
			entries = entriesBefore(entries, firstIndex)
			l.lastIndex = firstIndex - 1
		}
		entries = mergeEntries(entries, f.GetEntries())
		l.applyFrame(f)
		offset += frameSize
	}
	if offset < len(b) && (!isLast || containsFrame(b[offset+1:])) {
		return nil, &CorruptError{File: name, Offset: int64(offset), Reason: "damaged frame before synced ones"}
	}
	if !isLast {
		if offset == 0 {
			return nil, &CorruptError{File: name, Reason: "segment without a valid frame before others"}
		}
		return entries, nil
	}
	return entries, l.recoverLastSegment(name, offset, len(b))
}

// recoverLastSegment opens the last segment and truncates it to validSize, the
// end of its last valid frame; an interrupted write left the rest. If validSize
// is 0, the creation of the segment was interrupted, and the file is removed.
func (l *segmentedLog) recoverLastSegment(name string, validSize, fileSize int) error {
	if validSize == 0 {
		if len(l.segments) == 1 {
			return &CorruptError{File: name, Reason: "the only segment has no valid first frame"}
		}
		return l.removeLastSegment()
	}
	f, err := l.fs.Open(name, false)
	if err != nil {
		return errors.Wrapf(err, "open %s", name)
	}
	l.activeFile, l.activeSize = f, int64(validSize)
	if validSize == fileSize {
		return nil
	}
	if err := f.Truncate(int64(validSize)); err != nil {
		return errors.Wrapf(err, "truncate %s", name)
	}
	return errors.Wrapf(f.Sync(), "sync %s", name)
}

func (l *segmentedLog) checkHeader(name string, header *wire.LogSegment) error {
	switch {
	case header.GetFormat() > Format:
		return errors.Wrapf(ErrNewerFormat, "%s: format %d", name, header.GetFormat())
	case !proto.Equal(header, l.header):
		return errors.Wrapf(ErrOtherReplica, "%s: segment of cluster %q, incarnation %q",
			name, header.GetCluster(), header.GetIncarnation())
	}
	return nil
}

// entriesBefore returns the entries with a lower index than firstIndex.
func entriesBefore(entries []*wire.LogEntry, firstIndex uint64) []*wire.LogEntry {
	i, _ := slices.BinarySearchFunc(entries, firstIndex, func(e *wire.LogEntry, index uint64) int {
		return cmp.Compare(e.GetIndex(), index)
	})
	return entries[:i]
}

// mergeEntries appends the added entries to the existing ones; they replace all
// that exist from their first index on. If there is a gap before them, only the
// added ones are returned: a snapshot must cover all before them, which
// checkNoGap verifies.
func mergeEntries(existing, added []*wire.LogEntry) []*wire.LogEntry {
	if len(added) == 0 {
		return existing
	}
	firstIndex := added[0].GetIndex()
	existing = entriesBefore(existing, firstIndex)
	if n := len(existing); n > 0 && existing[n-1].GetIndex()+1 != firstIndex {
		return added
	}
	return append(existing, added...)
}
