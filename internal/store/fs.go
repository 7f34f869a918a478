package store

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/cockroachdb/errors"
)

// FS is the part of a file system that a Store uses. Names are relative to
// the data folder, which has no subfolders.
type FS interface {
	// Open opens a file for reading and writing, creating it if create is set.
	Open(name string, create bool) (File, error)
	// List returns the names of all files except the lock file, sorted.
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals of files durable.
	SyncDir() error
	// Lock gives this process exclusive use of the folder until the returned
	// lock is closed.
	Lock() (io.Closer, error)
}

// File is an open file of an FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
}

const (
	fileMode = 0o640
	dirMode  = 0o750
	lockName = "lock"
)

type dirFS struct{ dir string }

// Dir returns an FS for a folder of the operating system's file system. It
// creates the folder if it does not exist.
func Dir(dir string) (FS, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, errors.Wrapf(err, "data folder %s", dir)
	}
	if err := syncDir(filepath.Dir(dir)); err != nil {
		return nil, err
	}
	return dirFS{dir: dir}, nil
}

func (d dirFS) path(name string) string { return filepath.Join(d.dir, name) }

func (d dirFS) Open(name string, create bool) (File, error) {
	flag := os.O_RDWR
	if create {
		flag |= os.O_CREATE
	}
	f, err := os.OpenFile(d.path(name), flag, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d dirFS) List() ([]string, error) {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

func (d dirFS) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }
func (d dirFS) Remove(name string) error     { return os.Remove(d.path(name)) }
func (d dirFS) SyncDir() error               { return syncDir(d.dir) }

func (d dirFS) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.path(lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(ErrLocked, "data folder %s", d.dir), f.Close())
	}
	return f, nil
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
