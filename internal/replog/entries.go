package replog

import (
	"math"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// entryOverhead is the memory that an entry takes in addition to its data, in
// bytes.
const entryOverhead = 128

func entryBytes(e *wire.LogEntry) int { return len(e.GetData()) + entryOverhead }

// entryLog is the part of the log that is kept in memory: all entries after
// base. Entries up to saved are on disk; those up to saving are being written.
type entryLog struct {
	base     uint64           // index before the first entry in memory
	baseTerm uint64           // term of the entry at base
	entries  []*wire.LogEntry // the entry at index i is entries[i-base-1]
	saving   uint64           // last index that is saved or being written
	saved    uint64           // last index on disk
	bytes    int              // estimated memory of the entries, in bytes
}

// newEntryLog returns the log with the contents of a store.
func newEntryLog(entries []*wire.LogEntry, snapshot *wire.LogSnapshot) entryLog {
	l := entryLog{base: snapshot.GetIndex(), baseTerm: snapshot.GetTerm(), entries: entries}
	if len(entries) > 0 && entries[0].GetIndex() <= l.base {
		// The term before the first entry is unknown, so that entry becomes the
		// base.
		l.base, l.baseTerm = entries[0].GetIndex(), entries[0].GetTerm()
		l.entries = entries[1:]
	}
	for _, e := range l.entries {
		l.bytes += entryBytes(e)
	}
	l.saved = l.lastIndex()
	l.saving = l.saved
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of an entry, or false if the log doesn't hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.entryAt(index).GetTerm(), true
}

func (l *entryLog) entryAt(index uint64) *wire.LogEntry { return l.entries[index-l.base-1] }

// matches reports whether the log holds an entry with this index and term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

func (l *entryLog) append(entries ...*wire.LogEntry) {
	for _, e := range entries {
		l.bytes += entryBytes(e)
	}
	l.entries = append(l.entries, entries...)
}

// truncate removes the entry at an index and all later ones.
func (l *entryLog) truncate(from uint64) {
	for _, e := range l.entries[from-l.base-1:] {
		l.bytes -= entryBytes(e)
	}
	// Copy the slice because readers may still use the old one.
	l.entries = append([]*wire.LogEntry(nil), l.entries[:from-l.base-1]...)
	l.saved = min(l.saved, from-1)
	l.saving = min(l.saving, from-1)
}

// entriesFrom returns the entries that start at an index, up to maxBytes but at
// least one.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []*wire.LogEntry {
	if index <= l.base || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.base-1:]
	size := 0
	for i, e := range rest {
		size += entryBytes(e)
		if size > maxBytes && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// takeUnsaved returns the entries to write next. It returns all unsaved entries
// because the messages of the same batch depend on all of them. MaxQueueBytes
// and the send window limit their size.
func (l *entryLog) takeUnsaved() []*wire.LogEntry {
	entries := l.entriesFrom(l.saving+1, math.MaxInt)
	l.saving += uint64(len(entries))
	return entries
}

// markSaved records that entries are on disk, except those that have been
// replaced since.
func (l *entryLog) markSaved(entries []*wire.LogEntry) {
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		if l.matches(e.GetIndex(), e.GetTerm()) {
			l.saved = max(l.saved, e.GetIndex())
			return
		}
	}
}

// compact drops entries up to an index, but keeps the last ones of them, up to
// maxKeptBytes.
func (l *entryLog) compact(index uint64, maxKeptBytes int) {
	if index <= l.base {
		return
	}
	keptBytes := 0
	for index > l.base+1 && keptBytes+entryBytes(l.entryAt(index)) <= maxKeptBytes {
		keptBytes += entryBytes(l.entryAt(index))
		index--
	}
	term, _ := l.term(index)
	for _, e := range l.entries[:index-l.base] {
		l.bytes -= entryBytes(e)
	}
	l.entries = append([]*wire.LogEntry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// reset empties the log. The given index and term are those of the last entry that
// a snapshot covers; the next entry follows it.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, saving: index, saved: index}
}
