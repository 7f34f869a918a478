package store_test

import (
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/store/memdisk"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const firstSegment = "log-0000000000000001"

func testOptions() store.Options {
	return store.Options{Cluster: "x", Name: "a", Incarnation: "i1", SegmentBytes: 1000}
}

func openStore(t require.TestingT, d store.FS) *store.Store {
	st, err := store.Open(d, testOptions())
	require.NoError(t, err)
	return st
}

func entriesFrame(term, firstIndex uint64, n int) *wire.LogFrame {
	f := &wire.LogFrame{State: &wire.LogState{Term: term}}
	for i := range n {
		index := firstIndex + uint64(i)
		f.Entries = append(f.Entries, &wire.LogEntry{Term: term, Index: index, Data: fmt.Appendf(nil, "%d/%d", term, index)})
	}
	return f
}

func saveEntries(t *testing.T, d *memdisk.Disk, n int) {
	st := openStore(t, d)
	for i := range n {
		require.NoError(t, st.Save(entriesFrame(1, uint64(i+1), 1)))
	}
	require.NoError(t, st.Close())
}

// TestPropertySavedFramesSurviveCrash crashes the disk during random saves. All
// saved entries must be read back, and from the interrupted save either the
// whole frame or nothing.
func TestPropertySavedFramesSurviveCrash(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := memdisk.New()
		st := openStore(rt, d)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		var want []*wire.LogEntry
		term := uint64(1)
		for range rapid.IntRange(1, 60).Draw(rt, "frames") {
			kept := want
			if rapid.IntRange(0, 5).Draw(rt, "new term") == 0 {
				term++
				kept = want[:rapid.IntRange(0, len(want)).Draw(rt, "kept")]
			}
			f := entriesFrame(term, uint64(len(kept)+1), rapid.IntRange(1, 4).Draw(rt, "entries"))
			wantIfSaved := append(kept[:len(kept):len(kept)], f.GetEntries()...)
			if rapid.IntRange(0, 5).Draw(rt, "crash") != 0 {
				require.NoError(rt, st.Save(f))
				want = wantIfSaved
				continue
			}
			d.FailNthSync(rapid.IntRange(1, 2).Draw(rt, "sync"))
			err := st.Save(f)
			d.Crash(r)
			st = openStore(rt, d)
			got := st.Contents().Entries
			switch {
			case err == nil || len(got) == len(wantIfSaved) && proto.Equal(got[len(got)-1], wantIfSaved[len(wantIfSaved)-1]):
				want = wantIfSaved
			case len(got) == len(kept):
				// A new segment had been started, which removes the replaced entries.
				want = kept
			}
			requireEntries(rt, want, got)
		}
	})
}

func requireEntries(t require.TestingT, want, got []*wire.LogEntry) {
	require.Len(t, got, len(want))
	for i := range want {
		require.True(t, proto.Equal(want[i], got[i]), "entry %d: want %v, got %v", i, want[i], got[i])
	}
}

func TestOpenTruncatesTornTail(t *testing.T) {
	for missing := 1; missing < 20; missing++ {
		d := memdisk.New()
		saveEntries(t, d, 5)
		f, err := d.Open(firstSegment, false)
		require.NoError(t, err)
		size, err := f.Size()
		require.NoError(t, err)
		require.NoError(t, f.Truncate(size-int64(missing)))
		st := openStore(t, d)
		require.Len(t, st.Contents().Entries, 4)
		require.NoError(t, st.Save(entriesFrame(1, 5, 1)))
		require.NoError(t, st.Close())
		require.Len(t, openStore(t, d).Contents().Entries, 5)
	}
}

// TestOpenRejectsDamageBeforeLastFrame inverts a bit at every offset before the
// last frame. Open must report the damage instead of truncating synced entries.
func TestOpenRejectsDamageBeforeLastFrame(t *testing.T) {
	clean := memdisk.New()
	saveEntries(t, clean, 5)
	lastFrameStart := len(clean.Content(firstSegment)) - 12 - 20
	for offset := range lastFrameStart {
		d := clean.Clone()
		d.FlipBit(firstSegment, offset)
		_, err := store.Open(d, testOptions())
		require.ErrorIs(t, err, store.ErrCorrupt, "offset %d", offset)
		var corrupt *store.CorruptError
		require.ErrorAs(t, err, &corrupt)
		require.Equal(t, firstSegment, corrupt.File)
		require.LessOrEqual(t, corrupt.Offset, int64(offset))
		require.ErrorContains(t, err, firstSegment)
	}
}

func TestOpenRejectsMissingFiles(t *testing.T) {
	clean := memdisk.New()
	saveEntries(t, clean, 300)
	names, err := clean.List()
	require.NoError(t, err)
	require.Greater(t, len(names), 4)
	for _, name := range names[:len(names)-1] {
		d := clean.Clone()
		require.NoError(t, d.Remove(name))
		_, err := store.Open(d, testOptions())
		require.ErrorIs(t, err, store.ErrCorrupt, "without %s", name)
	}
}

func TestOpenRejectsForeignFolders(t *testing.T) {
	d := memdisk.New()
	saveEntries(t, d, 1)
	opts := testOptions()
	opts.Cluster = "y"
	_, err := store.Open(d, opts)
	require.ErrorIs(t, err, store.ErrOtherCluster)
	opts = testOptions()
	opts.Name = "b"
	_, err = store.Open(d, opts)
	require.ErrorIs(t, err, store.ErrOtherReplica)
	st := openStore(t, d)
	_, err = store.Open(d, testOptions())
	require.ErrorIs(t, err, store.ErrLocked)
	require.NoError(t, st.Close())

	other := memdisk.New()
	opts = testOptions()
	opts.Incarnation = "i2"
	st, err = store.Open(other, opts)
	require.NoError(t, err)
	require.NoError(t, st.Close())
	segment, err := d.Open(firstSegment, false)
	require.NoError(t, err)
	require.NoError(t, segment.Truncate(0))
	_, err = segment.WriteAt(other.Content(firstSegment), 0)
	require.NoError(t, err)
	_, err = store.Open(d, testOptions())
	require.ErrorIs(t, err, store.ErrOtherReplica)
}

func TestOpenRejectsNewerFormat(t *testing.T) {
	raw := fmt.Appendf(nil, `{"format":%d,"cluster":"x","name":"a","incarnation":"i1","boot":1}`, store.Format+1)
	sum := crc32.Checksum(raw, crc32.MakeTable(crc32.Castagnoli))
	d := memdisk.New()
	f, err := d.Open("identity", true)
	require.NoError(t, err)
	_, err = f.WriteAt(fmt.Appendf(nil, `{"sum":%d,"identity":%s}`, sum, raw), 0)
	require.NoError(t, err)
	_, err = store.Open(d, testOptions())
	require.ErrorIs(t, err, store.ErrNewerFormat)
	require.ErrorContains(t, err, "format 2")
}

func TestSaveOnFullDiskKeepsSavedEntries(t *testing.T) {
	for freeBytes := range 400 {
		d := memdisk.New()
		saveEntries(t, d, 20)
		st := openStore(t, d)
		d.SetFreeBytes(int64(freeBytes))
		lastSaved := uint64(20)
		for st.Save(entriesFrame(1, lastSaved+1, 1)) == nil {
			lastSaved++
		}
		require.ErrorIs(t, st.Save(entriesFrame(1, lastSaved+1, 1)), store.ErrDiskFull)
		d.SetFreeBytes(-1)
		require.NoError(t, st.Save(entriesFrame(1, lastSaved+1, 1)))
		d.Crash(nil)
		require.Len(t, openStore(t, d).Contents().Entries, int(lastSaved)+1)
	}
}

func writeString(content string) func(w io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, content)
		return err
	}
}

func TestSnapshotAndCompaction(t *testing.T) {
	d := memdisk.New()
	saveEntries(t, d, 100)
	st := openStore(t, d)
	require.NoError(t, st.WriteSnapshot(&wire.LogSnapshot{Index: 90, Term: 1, Id: "s"}, writeString("state")))
	require.NoError(t, st.Compact(80))
	d.Crash(nil)
	st = openStore(t, d)
	got := st.Contents()
	require.EqualValues(t, 90, got.Snapshot.GetIndex())
	require.EqualValues(t, 1, got.State.GetTerm())
	require.LessOrEqual(t, got.Entries[0].GetIndex(), uint64(80))
	require.Greater(t, got.Entries[0].GetIndex(), uint64(1))
	require.NoError(t, st.ReadSnapshot(func(_ *wire.LogSnapshot, r io.Reader) error {
		b, err := io.ReadAll(r)
		require.Equal(t, "state", string(b))
		return err
	}))
	require.NoError(t, st.Close())
	name := fmt.Sprintf("snap-%016x", 90)
	for offset := range len(d.Content(name)) {
		damaged := d.Clone()
		damaged.FlipBit(name, offset)
		_, err := store.Open(damaged, testOptions())
		require.ErrorIs(t, err, store.ErrCorrupt, "offset %d", offset)
	}
}

// TestReceivedSnapshotReplacesLog receives a snapshot that conflicts with the
// log and crashes the disk after the log was reset, or before. In both cases,
// the conflicting entries must be gone.
func TestReceivedSnapshotReplacesLog(t *testing.T) {
	senderDisk := memdisk.New()
	saveEntries(t, senderDisk, 1)
	sender := openStore(t, senderDisk)
	require.NoError(t, sender.WriteSnapshot(&wire.LogSnapshot{Index: 50, Term: 3, Id: "s"}, writeString("0123456789")))
	for _, reset := range []bool{true, false} {
		d := memdisk.New()
		saveEntries(t, d, 60)
		st := openStore(t, d)
		for nextOffset, done := uint64(0), false; !done; {
			chunk, err := sender.ReadChunk("s", nextOffset, 7)
			require.NoError(t, err)
			nextOffset, done, err = st.ReceiveChunk(chunk)
			require.NoError(t, err)
		}
		if reset {
			require.NoError(t, st.ResetLog())
			require.NoError(t, st.Save(entriesFrame(3, 51, 2)))
		}
		d.Crash(nil)
		got := openStore(t, d).Contents()
		require.EqualValues(t, 50, got.Snapshot.GetIndex())
		if reset {
			requireEntries(t, entriesFrame(3, 51, 2).GetEntries(), got.Entries)
			continue
		}
		require.Empty(t, got.Entries, "entries that conflict with the snapshot were kept")
	}
	_, err := sender.ReadChunk("other", 0, 7)
	require.ErrorIs(t, err, store.ErrNoSnapshot)
}

func TestRefusalAndBootCountSurviveCrash(t *testing.T) {
	d := memdisk.New()
	st := openStore(t, d)
	require.EqualValues(t, 1, st.Identity().Boot)
	require.NoError(t, st.MarkRefused("old"))
	d.Crash(nil)
	st = openStore(t, d)
	require.EqualValues(t, 2, st.Identity().Boot)
	require.Equal(t, "old", st.Identity().Refused)
	require.Equal(t, "i1", st.Identity().Incarnation)
}

// TestStoreOnOSFileSystem runs a store on the operating system's file system.
func TestStoreOnOSFileSystem(t *testing.T) {
	fs, err := store.Dir(t.TempDir() + "/data")
	require.NoError(t, err)
	st := openStore(t, fs)
	for i := range uint64(100) {
		require.NoError(t, st.Save(entriesFrame(1, i+1, 1)))
	}
	_, err = store.Open(fs, testOptions())
	require.ErrorIs(t, err, store.ErrLocked)
	require.NoError(t, st.WriteSnapshot(&wire.LogSnapshot{Index: 90, Term: 1}, writeString("state")))
	require.NoError(t, st.Compact(80))
	require.NoError(t, st.Close())
	got := openStore(t, fs).Contents()
	require.EqualValues(t, 100, got.Entries[len(got.Entries)-1].GetIndex())
	require.EqualValues(t, 90, got.Snapshot.GetIndex())
}

// TestSaveOnFullDiskLeavesNoPartialFrame saves shorter frames, which start other
// segments, after a save that failed on a full disk. If bytes of the failed
// write were left after a shorter frame, Open would reject the segment as
// corrupt once another one follows it.
func TestSaveOnFullDiskLeavesNoPartialFrame(t *testing.T) {
	for freeBytes := 0; freeBytes < 1500; freeBytes += 5 {
		d := memdisk.New()
		saveEntries(t, d, 20)
		st := openStore(t, d)
		d.SetFreeBytes(int64(freeBytes))
		lastSaved := uint64(20)
		for st.Save(entriesFrame(1, lastSaved+1, 1)) == nil {
			lastSaved++
		}
		require.ErrorIs(t, st.Save(entriesFrame(1, lastSaved+1, 3)), store.ErrDiskFull)
		d.SetFreeBytes(-1)
		require.NoError(t, st.Save(&wire.LogFrame{State: &wire.LogState{Term: 2}}))
		names, err := d.List()
		require.NoError(t, err)
		lastSegment := names[len(names)-1]
		size := len(d.Content(lastSegment))
		require.NoError(t, st.Save(&wire.LogFrame{State: &wire.LogState{Term: 2}}))
		require.Equal(t, size+14+2, len(d.Content(lastSegment)), "bytes of the failed write were left in the segment")
		for i := range uint64(60) {
			require.NoError(t, st.Save(entriesFrame(3, lastSaved+i, 1)))
		}
		d.Crash(nil)
		require.Len(t, openStore(t, d).Contents().Entries, int(lastSaved)+59)
	}
}

// hookFS calls beforeSnapshotOpen once, just before a snapshot is opened.
type hookFS struct {
	*memdisk.Disk
	beforeSnapshotOpen func()
}

func (h *hookFS) Open(name string, create bool) (store.File, error) {
	if hook := h.beforeSnapshotOpen; hook != nil && strings.HasPrefix(name, "snap-") {
		h.beforeSnapshotOpen = nil
		hook()
	}
	return h.Disk.Open(name, create)
}

// TestReadSnapshotReplacedDuringOpen writes a newer snapshot, which removes the
// older one, just before ReadSnapshot opens the older one.
func TestReadSnapshotReplacedDuringOpen(t *testing.T) {
	fs := &hookFS{Disk: memdisk.New()}
	st := openStore(t, fs)
	require.NoError(t, st.WriteSnapshot(&wire.LogSnapshot{Index: 1}, writeString("old")))
	fs.beforeSnapshotOpen = func() { require.NoError(t, st.WriteSnapshot(&wire.LogSnapshot{Index: 2}, writeString("new"))) }
	require.NoError(t, st.ReadSnapshot(func(meta *wire.LogSnapshot, r io.Reader) error {
		b, err := io.ReadAll(r)
		require.Equal(t, "new", string(b))
		require.EqualValues(t, 2, meta.GetIndex())
		return err
	}))
}
