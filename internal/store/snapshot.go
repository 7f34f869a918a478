package store

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// A snapshot file holds the data of the state machine, the encoded
// wire.LogSnapshot, and a trailer of two little-endian 32-bit words: the length
// of the encoded LogSnapshot and the CRC32C of all bytes before the checksum.
const (
	snapshotPrefix      = "snap-"
	snapshotTempName    = "tmp-snapshot"
	incomingTempName    = "tmp-incoming"
	snapshotTrailerSize = 8
	snapshotBufSize     = 64 << 10
)

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// Snapshot returns the description of the latest snapshot, or nil if there is
// none.
func (s *Store) Snapshot() *wire.LogSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// WriteSnapshot writes a snapshot with the data that write produces and makes
// it the latest one.
func (s *Store) WriteSnapshot(meta *wire.LogSnapshot, write func(w io.Writer) error) error {
	f, err := s.fs.Open(snapshotTempName, true)
	if err != nil {
		return wrapDiskFull(errors.Wrap(err, "create snapshot"))
	}
	meta = proto.CloneOf(meta)
	meta.Format, meta.Cluster = Format, s.options.Cluster
	err = writeSnapshotFile(f, meta, write)
	if err := errors.CombineErrors(err, f.Close()); err != nil {
		// The incomplete file would only take space that the log needs.
		return wrapDiskFull(errors.CombineErrors(errors.Wrap(err, "write snapshot"), s.fs.Remove(snapshotTempName)))
	}
	return s.installSnapshot(snapshotTempName, meta)
}

func writeSnapshotFile(f File, meta *wire.LogSnapshot, write func(w io.Writer) error) error {
	if err := f.Truncate(0); err != nil {
		return err
	}
	cw := &checksumWriter{w: io.NewOffsetWriter(f, 0)}
	buf := bufio.NewWriterSize(cw, snapshotBufSize)
	if err := write(buf); err != nil {
		return err
	}
	if err := buf.Flush(); err != nil {
		return err
	}
	meta.Size = 0
	description, err := proto.Marshal(meta)
	if err != nil {
		return err
	}
	description = binary.LittleEndian.AppendUint32(description, uint32(len(description)))
	if _, err := cw.Write(description); err != nil {
		return err
	}
	checksum := binary.LittleEndian.AppendUint32(nil, cw.sum)
	if _, err := cw.Write(checksum); err != nil {
		return err
	}
	meta.Size = uint64(cw.written)
	return f.Sync()
}

type checksumWriter struct {
	w       io.Writer
	sum     uint32
	written int64
}

func (w *checksumWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.sum = crc32.Update(w.sum, crc32c, p[:n])
	w.written += int64(n)
	return n, err
}

// installSnapshot renames a complete, synced temporary file to make it the
// latest snapshot, and removes the previous one. If the latest snapshot is as
// new or newer, the temporary file is removed instead.
func (s *Store) installSnapshot(tempName string, meta *wire.LogSnapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot != nil && s.snapshot.GetIndex() >= meta.GetIndex() {
		return errors.Wrap(s.fs.Remove(tempName), "remove old snapshot")
	}
	if err := s.fs.Rename(tempName, snapshotName(meta.GetIndex())); err != nil {
		return errors.Wrap(err, "rename snapshot")
	}
	if err := s.fs.SyncDir(); err != nil {
		return errors.Wrap(err, "sync data folder")
	}
	previous := s.snapshot
	s.snapshot = meta
	if previous == nil {
		return nil
	}
	return errors.Wrap(s.fs.Remove(snapshotName(previous.GetIndex())), "remove old snapshot")
}

// loadSnapshot verifies the latest snapshot file, removes older ones and
// returns the description of the latest, or nil if there is none. names must be
// sorted.
func loadSnapshot(fs FS, names []string, cluster string) (*wire.LogSnapshot, error) {
	var latest string
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) {
			continue
		}
		if latest != "" {
			if err := fs.Remove(latest); err != nil {
				return nil, errors.Wrapf(err, "remove %s", latest)
			}
		}
		latest = name
	}
	if latest == "" {
		return nil, nil
	}
	return checkSnapshot(fs, latest, cluster)
}

// checkSnapshot verifies the checksum, format and cluster of a snapshot file
// and returns its description.
func checkSnapshot(fs FS, name, cluster string) (*wire.LogSnapshot, error) {
	f, err := fs.Open(name, false)
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", name)
	}
	meta, err := readSnapshotMeta(f, name)
	if err := errors.CombineErrors(err, f.Close()); err != nil {
		return nil, err
	}
	if meta.GetFormat() > Format {
		return nil, errors.Wrapf(ErrNewerFormat, "%s: format %d", name, meta.GetFormat())
	}
	if meta.GetCluster() != cluster {
		return nil, errors.Wrapf(ErrOtherCluster, "%s: cluster %q", name, meta.GetCluster())
	}
	return meta, nil
}

func readSnapshotMeta(f File, name string) (*wire.LogSnapshot, error) {
	size, err := f.Size()
	if err != nil {
		return nil, errors.Wrapf(err, "size of %s", name)
	}
	if size < snapshotTrailerSize {
		return nil, &CorruptError{File: name, Reason: "snapshot is too short"}
	}
	checksum := crc32.New(crc32c)
	if _, err := io.Copy(checksum, io.NewSectionReader(f, 0, size-4)); err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	var trailer [snapshotTrailerSize]byte
	if _, err := f.ReadAt(trailer[:], size-snapshotTrailerSize); err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	if checksum.Sum32() != binary.LittleEndian.Uint32(trailer[4:]) {
		return nil, &CorruptError{File: name, Offset: size - 4, Reason: "snapshot checksum mismatch"}
	}
	metaSize := int64(binary.LittleEndian.Uint32(trailer[:]))
	if metaSize > size-snapshotTrailerSize {
		return nil, &CorruptError{File: name, Offset: size - snapshotTrailerSize, Reason: "length of the description exceeds the file"}
	}
	b := make([]byte, metaSize)
	if _, err := f.ReadAt(b, size-snapshotTrailerSize-metaSize); err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	meta := &wire.LogSnapshot{}
	if err := proto.Unmarshal(b, meta); err != nil {
		return nil, &CorruptError{File: name, Offset: size - snapshotTrailerSize - metaSize, Reason: err.Error()}
	}
	meta.Size = uint64(size)
	return meta, nil
}

// ReadSnapshot calls read with the description and the data of the latest
// snapshot.
func (s *Store) ReadSnapshot(read func(meta *wire.LogSnapshot, r io.Reader) error) error {
	meta, f, err := s.openLatestSnapshot()
	if err != nil {
		return err
	}
	metaOnDisk := proto.CloneOf(meta)
	metaOnDisk.Size = 0
	dataSize := int64(meta.GetSize()) - snapshotTrailerSize - int64(proto.Size(metaOnDisk))
	r := bufio.NewReaderSize(io.NewSectionReader(f, 0, dataSize), snapshotBufSize)
	return errors.CombineErrors(read(meta, r), f.Close())
}

// openLatestSnapshot opens the latest snapshot. It tries again if a newer one
// replaced the file before it was open.
func (s *Store) openLatestSnapshot() (*wire.LogSnapshot, File, error) {
	for {
		meta := s.Snapshot()
		if meta == nil {
			return nil, nil, ErrNoSnapshot
		}
		f, err := s.fs.Open(snapshotName(meta.GetIndex()), false)
		if err != nil && s.Snapshot() != meta {
			continue
		}
		return meta, f, errors.Wrap(err, "open snapshot")
	}
}
