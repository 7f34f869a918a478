package store

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"
)

var (
	// ErrLocked means that another process holds the data folder.
	ErrLocked = errors.New("data folder is in use by another process")
	// ErrNewerFormat means that a newer program wrote the data folder.
	ErrNewerFormat = errors.New("data folder has a newer format")
	// ErrOtherCluster means that the folder belongs to another cluster.
	ErrOtherCluster = errors.New("data folder belongs to another cluster")
	// ErrOtherReplica means that the folder belongs to another replica.
	ErrOtherReplica = errors.New("data folder belongs to another replica")
	// ErrCorrupt means that synced data can no longer be read.
	ErrCorrupt = errors.New("data folder is corrupt")
	// ErrDiskFull means that the disk has no space; nothing was written.
	ErrDiskFull = errors.New("disk is full")
	// ErrNoSnapshot means that the asked snapshot is not, or no longer, there.
	ErrNoSnapshot = errors.New("no such snapshot")
)

// CorruptError names the place of a corruption. It is an ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: file %s, offset %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Is tells that a CorruptError is an ErrCorrupt.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }

// fullOr makes an error that stands for a lack of space an ErrFull.
func fullOr(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return err
}
