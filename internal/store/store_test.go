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

func options() store.Options {
	return store.Options{Cluster: "x", Name: "a", Incarnation: "i1", SegmentBytes: 1000}
}

func open(t require.TestingT, d store.FS) *store.Store {
	st, err := store.Open(d, options())
	require.NoError(t, err)
	return st
}

func entries(term, first uint64, n int) *wire.LogFrame {
	f := &wire.LogFrame{State: &wire.LogState{Term: term}}
	for i := range n {
		index := first + uint64(i)
		f.Entries = append(f.Entries, &wire.LogEntry{Term: term, Index: index, Data: fmt.Appendf(nil, "%d/%d", term, index)})
	}
	return f
}

func fill(t *testing.T, d *memdisk.Disk, n int) {
	st := open(t, d)
	for i := range n {
		require.NoError(t, st.Save(entries(1, uint64(i+1), 1)))
	}
	require.NoError(t, st.Close())
}

// TestPropertyWhatIsSavedSurvives crashes at random points; what was saved is
// there again, and at most whole frames more.
func TestPropertyWhatIsSavedSurvives(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := memdisk.New()
		st := open(rt, d)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		var want []*wire.LogEntry
		term := uint64(1)
		for range rapid.IntRange(1, 60).Draw(rt, "frames") {
			kept := want
			if rapid.IntRange(0, 5).Draw(rt, "new term") == 0 {
				term++
				kept = want[:rapid.IntRange(0, len(want)).Draw(rt, "kept")]
			}
			f := entries(term, uint64(len(kept)+1), rapid.IntRange(1, 4).Draw(rt, "entries"))
			next := append(kept[:len(kept):len(kept)], f.GetEntries()...)
			if rapid.IntRange(0, 5).Draw(rt, "crash") != 0 {
				require.NoError(rt, st.Save(f))
				want = next
				continue
			}
			d.FailNthSync(rapid.IntRange(1, 2).Draw(rt, "sync"))
			err := st.Save(f)
			d.Crash(r)
			st = open(rt, d)
			got := st.Contents().Entries
			switch {
			case err == nil || len(got) == len(next) && proto.Equal(got[len(got)-1], next[len(next)-1]):
				want = next
			case len(got) == len(kept):
				// A new segment had been begun, which cuts the conflicting entries.
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

func TestTornTailIsCutOff(t *testing.T) {
	for torn := 1; torn < 20; torn++ {
		d := memdisk.New()
		fill(t, d, 5)
		f, err := d.Open(firstSegment, false)
		require.NoError(t, err)
		size, err := f.Size()
		require.NoError(t, err)
		require.NoError(t, f.Truncate(size-int64(torn)))
		st := open(t, d)
		require.Len(t, st.Contents().Entries, 4)
		require.NoError(t, st.Save(entries(1, 5, 1)))
		require.NoError(t, st.Close())
		require.Len(t, open(t, d).Contents().Entries, 5)
	}
}

// TestCorruptMiddleIsRefused flips a bit at every place before the last frame.
func TestCorruptMiddleIsRefused(t *testing.T) {
	clean := memdisk.New()
	fill(t, clean, 5)
	last := len(clean.Content(firstSegment)) - 12 - 20
	for offset := range last {
		d := clean.Clone()
		d.FlipBit(firstSegment, offset)
		_, err := store.Open(d, options())
		require.ErrorIs(t, err, store.ErrCorrupt, "offset %d", offset)
		var corrupt *store.CorruptError
		require.ErrorAs(t, err, &corrupt)
		require.Equal(t, firstSegment, corrupt.File)
		require.LessOrEqual(t, corrupt.Offset, int64(offset))
		require.ErrorContains(t, err, firstSegment)
	}
}

func TestMissingFilesAreRefused(t *testing.T) {
	clean := memdisk.New()
	fill(t, clean, 300)
	names, err := clean.List()
	require.NoError(t, err)
	require.Greater(t, len(names), 4)
	for _, name := range names[:len(names)-1] {
		d := clean.Clone()
		require.NoError(t, d.Remove(name))
		_, err := store.Open(d, options())
		require.ErrorIs(t, err, store.ErrCorrupt, "without %s", name)
	}
}

func TestForeignFoldersAreRefused(t *testing.T) {
	d := memdisk.New()
	fill(t, d, 1)
	opt := options()
	opt.Cluster = "y"
	_, err := store.Open(d, opt)
	require.ErrorIs(t, err, store.ErrOtherCluster)
	opt = options()
	opt.Name = "b"
	_, err = store.Open(d, opt)
	require.ErrorIs(t, err, store.ErrOtherReplica)
	st := open(t, d)
	_, err = store.Open(d, options())
	require.ErrorIs(t, err, store.ErrLocked)
	require.NoError(t, st.Close())

	other := memdisk.New()
	opt = options()
	opt.Incarnation = "i2"
	st, err = store.Open(other, opt)
	require.NoError(t, err)
	require.NoError(t, st.Close())
	mixed, err := d.Open(firstSegment, false)
	require.NoError(t, err)
	require.NoError(t, mixed.Truncate(0))
	_, err = mixed.WriteAt(other.Content(firstSegment), 0)
	require.NoError(t, err)
	_, err = store.Open(d, options())
	require.ErrorIs(t, err, store.ErrOtherReplica)
}

func TestNewerFormatIsRefused(t *testing.T) {
	raw := fmt.Appendf(nil, `{"format":%d,"cluster":"x","name":"a","incarnation":"i1","boot":1}`, store.Format+1)
	sum := crc32.Checksum(raw, crc32.MakeTable(crc32.Castagnoli))
	d := memdisk.New()
	f, err := d.Open("identity", true)
	require.NoError(t, err)
	_, err = f.WriteAt(fmt.Appendf(nil, `{"sum":%d,"identity":%s}`, sum, raw), 0)
	require.NoError(t, err)
	_, err = store.Open(d, options())
	require.ErrorIs(t, err, store.ErrNewerFormat)
	require.ErrorContains(t, err, "format 2")
}

func TestFullDiskLosesNothing(t *testing.T) {
	for free := range 400 {
		d := memdisk.New()
		fill(t, d, 20)
		st := open(t, d)
		d.SetFreeBytes(int64(free))
		saved := uint64(20)
		for st.Save(entries(1, saved+1, 1)) == nil {
			saved++
		}
		require.ErrorIs(t, st.Save(entries(1, saved+1, 1)), store.ErrDiskFull)
		d.SetFreeBytes(-1)
		require.NoError(t, st.Save(entries(1, saved+1, 1)))
		d.Crash(nil)
		require.Len(t, open(t, d).Contents().Entries, int(saved)+1)
	}
}

func write(content string) func(w io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, content)
		return err
	}
}

func TestSnapshotAndCompaction(t *testing.T) {
	d := memdisk.New()
	fill(t, d, 100)
	st := open(t, d)
	require.NoError(t, st.WriteSnapshot(&wire.LogSnapshot{Index: 90, Term: 1, Id: "s"}, write("state")))
	require.NoError(t, st.Compact(80))
	d.Crash(nil)
	st = open(t, d)
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
		bad := d.Clone()
		bad.FlipBit(name, offset)
		_, err := store.Open(bad, options())
		require.ErrorIs(t, err, store.ErrCorrupt, "offset %d", offset)
	}
}

// TestReceivedSnapshotReplacesTheLog crashes between the arrival of a snapshot
// and the reset of the log as well.
func TestReceivedSnapshotReplacesTheLog(t *testing.T) {
	from := memdisk.New()
	fill(t, from, 1)
	sender := open(t, from)
	require.NoError(t, sender.WriteSnapshot(&wire.LogSnapshot{Index: 50, Term: 3, Id: "s"}, write("0123456789")))
	for _, reset := range []bool{true, false} {
		d := memdisk.New()
		fill(t, d, 60)
		st := open(t, d)
		for next, done := uint64(0), false; !done; {
			chunk, err := sender.ReadChunk("s", next, 7)
			require.NoError(t, err)
			next, done, err = st.ReceiveChunk(chunk)
			require.NoError(t, err)
		}
		if reset {
			require.NoError(t, st.ResetLog())
			require.NoError(t, st.Save(entries(3, 51, 2)))
		}
		d.Crash(nil)
		got := open(t, d).Contents()
		require.EqualValues(t, 50, got.Snapshot.GetIndex())
		if reset {
			requireEntries(t, entries(3, 51, 2).GetEntries(), got.Entries)
			continue
		}
		require.Empty(t, got.Entries, "a log that the snapshot contradicts was kept")
	}
	_, err := sender.ReadChunk("other", 0, 7)
	require.ErrorIs(t, err, store.ErrNoSnapshot)
}

func TestRefusalAndBootsAreKept(t *testing.T) {
	d := memdisk.New()
	st := open(t, d)
	require.EqualValues(t, 1, st.Identity().Boot)
	require.NoError(t, st.MarkRefused("old"))
	d.Crash(nil)
	st = open(t, d)
	require.EqualValues(t, 2, st.Identity().Boot)
	require.Equal(t, "old", st.Identity().Refused)
	require.Equal(t, "i1", st.Identity().Incarnation)
}

// TestDirKeepsWhatItIsGiven runs a store on the real file system.
func TestDirKeepsWhatItIsGiven(t *testing.T) {
	fs, err := store.Dir(t.TempDir() + "/data")
	require.NoError(t, err)
	st := open(t, fs)
	for i := range uint64(100) {
		require.NoError(t, st.Save(entries(1, i+1, 1)))
	}
	_, err = store.Open(fs, options())
	require.ErrorIs(t, err, store.ErrLocked)
	require.NoError(t, st.WriteSnapshot(&wire.LogSnapshot{Index: 90, Term: 1}, write("state")))
	require.NoError(t, st.Compact(80))
	require.NoError(t, st.Close())
	got := open(t, fs).Contents()
	require.EqualValues(t, 100, got.Entries[len(got.Entries)-1].GetIndex())
	require.EqualValues(t, 90, got.Snapshot.GetIndex())
}

// TestFullDiskLeavesNothingBehind replaces the frame that found no space by
// shorter ones, which begin other segments.
func TestFullDiskLeavesNothingBehind(t *testing.T) {
	for free := 0; free < 1500; free += 5 {
		d := memdisk.New()
		fill(t, d, 20)
		st := open(t, d)
		d.SetFreeBytes(int64(free))
		saved := uint64(20)
		for st.Save(entries(1, saved+1, 1)) == nil {
			saved++
		}
		require.ErrorIs(t, st.Save(entries(1, saved+1, 3)), store.ErrDiskFull)
		d.SetFreeBytes(-1)
		require.NoError(t, st.Save(&wire.LogFrame{State: &wire.LogState{Term: 2}}))
		names, err := d.List()
		require.NoError(t, err)
		end := names[len(names)-1]
		size := len(d.Content(end))
		require.NoError(t, st.Save(&wire.LogFrame{State: &wire.LogState{Term: 2}}))
		require.Equal(t, size+14+2, len(d.Content(end)), "bytes of a failed write remain")
		for i := range uint64(60) {
			require.NoError(t, st.Save(entries(3, saved+i, 1)))
		}
		d.Crash(nil)
		require.Len(t, open(t, d).Contents().Entries, int(saved)+59)
	}
}

// hookFS calls hook at the next opening of a snapshot.
type hookFS struct {
	*memdisk.Disk
	hook func()
}

func (h *hookFS) Open(name string, create bool) (store.File, error) {
	if hook := h.hook; hook != nil && strings.HasPrefix(name, "snap-") {
		h.hook = nil
		hook()
	}
	return h.Disk.Open(name, create)
}

// TestSnapshotReplacedWhileItIsOpened takes a newer snapshot just before the
// older one is opened.
func TestSnapshotReplacedWhileItIsOpened(t *testing.T) {
	fs := &hookFS{Disk: memdisk.New()}
	st := open(t, fs)
	require.NoError(t, st.WriteSnapshot(&wire.LogSnapshot{Index: 1}, write("old")))
	fs.hook = func() { require.NoError(t, st.WriteSnapshot(&wire.LogSnapshot{Index: 2}, write("new"))) }
	require.NoError(t, st.ReadSnapshot(func(meta *wire.LogSnapshot, r io.Reader) error {
		b, err := io.ReadAll(r)
		require.Equal(t, "new", string(b))
		require.EqualValues(t, 2, meta.GetIndex())
		return err
	}))
}
