package store

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"
)

var (
	// ErrLocked means that another process has locked the data folder.
	ErrLocked = errors.New("data folder is in use by another process")
	// ErrNewerFormat means that a newer version of the program wrote the data
	// folder in a format that this one can't read.
	ErrNewerFormat = errors.New("data folder has a newer format")
	// ErrOtherCluster means that the folder belongs to another cluster.
	ErrOtherCluster = errors.New("data folder belongs to another cluster")
	// ErrOtherReplica means that the folder belongs to another replica.
	ErrOtherReplica = errors.New("data folder belongs to another replica")
	// ErrCorrupt means that data that was synced to disk is missing or damaged.
	ErrCorrupt = errors.New("data folder is corrupt")
	// ErrDiskFull means that the disk has no space left; nothing was saved.
	ErrDiskFull = errors.New("disk is full")
	// ErrNoSnapshot means that the requested snapshot does not exist or has
	// been replaced.
	ErrNoSnapshot = errors.New("no such snapshot")
)

// CorruptError reports where the data folder is corrupt. It matches ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: file %s, offset %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Is reports whether target is ErrCorrupt.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }

// wrapDiskFull wraps err in ErrDiskFull if the disk is full or the quota is used
// up, and returns other errors unchanged.
func wrapDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return err
}
