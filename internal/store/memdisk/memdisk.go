// Package memdisk provides a store.FS in memory for tests that crash a host.
// A file survives Crash for certain only if both its content and its directory
// entry were synced.
package memdisk

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/store"
)

// ErrCrashed is returned by files that were opened before a crash, and by a
// sync that FailNthSync makes fail.
var ErrCrashed = errors.New("memdisk: crashed")

// Disk is a store.FS in memory. Use New to create one; the zero value is not
// usable.
type Disk struct {
	mu                sync.Mutex
	files             map[string]*content
	durableFiles      map[string]*content // files as of the last SyncDir
	crashes           int                 // number of crashes so far
	locked            bool
	freeBytes         int64 // negative for no limit
	syncCount         int
	syncDelay         time.Duration
	syncsUntilFailure int // syncs up to and including the one that fails; 0 for none
}

type content struct {
	data   []byte
	synced []byte // data as of the last Sync
}

// New returns an empty disk of unlimited size.
func New() *Disk {
	return &Disk{files: make(map[string]*content), durableFiles: make(map[string]*content), freeBytes: -1}
}

// SetFreeBytes sets how many more bytes fit on the disk; a negative number means
// no limit.
func (d *Disk) SetFreeBytes(n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeBytes = n
}

// SetSyncDelay sets how long each sync of a file takes.
func (d *Disk) SetSyncDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDelay = delay
}

// FailNthSync makes the n-th sync of a file from now on, counted from 1, fail
// with ErrCrashed. The bytes that it should sync stay unsynced.
func (d *Disk) FailNthSync(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncsUntilFailure = n
}

// SyncCount returns how often a file was synced.
func (d *Disk) SyncCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncCount
}

// Crash discards all that was not synced. If r is not nil, a random part of the
// bytes appended to each file since its last sync survives. Open files become
// invalid and the lock is released.
func (d *Disk) Crash(r *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes++
	d.locked = false
	d.syncsUntilFailure = 0
	d.files = make(map[string]*content)
	var names []string
	for name := range d.durableFiles {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c := d.durableFiles[name]
		data := slices.Clone(c.synced)
		if r != nil && len(c.data) > len(c.synced) {
			surviving := r.IntN(len(c.data) - len(c.synced) + 1)
			data = append(data, c.data[len(c.synced):len(c.synced)+surviving]...)
		}
		d.files[name] = &content{data: data, synced: slices.Clone(data)}
	}
	d.durableFiles = make(map[string]*content)
	for name, c := range d.files {
		d.durableFiles[name] = c
	}
}

// Clone returns a copy of the disk on which all files are synced.
func (d *Disk) Clone() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	clone := New()
	for name, c := range d.files {
		copied := &content{data: slices.Clone(c.data), synced: slices.Clone(c.data)}
		clone.files[name], clone.durableFiles[name] = copied, copied
	}
	return clone
}

// FlipBit inverts one bit of the byte at offset in a file.
func (d *Disk) FlipBit(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].data[offset] ^= 1
}

// Content returns a copy of the content of a file.
func (d *Disk) Content(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.files[name].data)
}

// Open implements store.FS.
func (d *Disk) Open(name string, create bool) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.files[name]
	if !ok && !create {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	if !ok {
		c = &content{}
		d.files[name] = c
	}
	return &file{disk: d, content: c, crashes: d.crashes}, nil
}

// List implements store.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Rename implements store.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.files[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	d.files[to] = c
	delete(d.files, from)
	return nil
}

// Remove implements store.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.files[name]
	if !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	if d.freeBytes >= 0 {
		d.freeBytes += int64(len(c.data))
	}
	delete(d.files, name)
	return nil
}

// SyncDir implements store.FS.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durableFiles = make(map[string]*content)
	for name, c := range d.files {
		d.durableFiles[name] = c
	}
	return nil
}

// Lock implements store.FS.
func (d *Disk) Lock() (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, store.ErrLocked
	}
	d.locked = true
	return &lock{disk: d, crashes: d.crashes}, nil
}

type lock struct {
	disk    *Disk
	crashes int // Disk.crashes when the lock was taken
}

func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.crashes == l.disk.crashes {
		l.disk.locked = false
	}
	return nil
}

type file struct {
	disk    *Disk
	content *content
	crashes int // Disk.crashes when the file was opened
}

// withLock runs op with the disk's mutex held, or returns ErrCrashed if the
// disk has crashed since the file was opened.
func (f *file) withLock(op func() error) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.crashes != f.disk.crashes {
		return ErrCrashed
	}
	return op()
}

func (f *file) ReadAt(p []byte, off int64) (n int, err error) {
	err = f.withLock(func() error {
		if off >= int64(len(f.content.data)) {
			return io.EOF
		}
		n = copy(p, f.content.data[off:])
		if n < len(p) {
			return io.EOF
		}
		return nil
	})
	return n, err
}

func (f *file) WriteAt(p []byte, off int64) (n int, err error) {
	err = f.withLock(func() error {
		n, err = f.write(p, off)
		return err
	})
	return n, err
}

func (f *file) write(p []byte, off int64) (int, error) {
	c := f.content
	growth := off + int64(len(p)) - int64(len(c.data))
	var err error
	if f.disk.freeBytes >= 0 && growth > f.disk.freeBytes {
		p = p[:max(0, int64(len(p))-(growth-f.disk.freeBytes))]
		err = syscall.ENOSPC
	}
	if growth = off + int64(len(p)) - int64(len(c.data)); growth > 0 {
		c.data = append(c.data, make([]byte, growth)...)
		if f.disk.freeBytes >= 0 {
			f.disk.freeBytes -= growth
		}
	}
	return copy(c.data[off:], p), err
}

func (f *file) Size() (n int64, err error) {
	err = f.withLock(func() error {
		n = int64(len(f.content.data))
		return nil
	})
	return n, err
}

func (f *file) Truncate(size int64) error {
	return f.withLock(func() error {
		if f.disk.freeBytes >= 0 {
			f.disk.freeBytes += int64(len(f.content.data)) - size
		}
		f.content.data = slices.Clone(f.content.data[:size])
		return nil
	})
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	delay := f.disk.syncDelay
	f.disk.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return f.withLock(func() error {
		f.disk.syncCount++
		if f.disk.syncsUntilFailure > 0 {
			f.disk.syncsUntilFailure--
			if f.disk.syncsUntilFailure == 0 {
				return ErrCrashed
			}
		}
		f.content.synced = slices.Clone(f.content.data)
		return nil
	})
}

func (f *file) Close() error { return nil }
