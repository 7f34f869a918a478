// Package memdisk is a disk in memory for tests of what must survive a crash.
// Only what was synced, the file and the folder both, is sure to be there
// after Crash.
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

// ErrCrashed is returned by what was opened before a crash.
var ErrCrashed = errors.New("memdisk: crashed")

// Disk is a store.FS. Its zero value is not usable; New makes one.
type Disk struct {
	mu      sync.Mutex
	names   map[string]*content
	durable map[string]*content // names as of the last SyncDir
	epoch   int                 // counts crashes
	locked  bool
	free    int64 // bytes left, or negative for no bound
	syncs   int
	delay   time.Duration
	failing int // further syncs until one fails, if positive
}

type content struct {
	data   []byte
	synced []byte
}

// New returns an empty disk without a bound on its size.
func New() *Disk {
	return &Disk{names: make(map[string]*content), durable: make(map[string]*content), free: -1}
}

// SetFreeBytes bounds how many more bytes the disk takes; negative is no bound.
func (d *Disk) SetFreeBytes(n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free = n
}

// SetSyncDelay makes each sync of a file take a time.
func (d *Disk) SetSyncDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// FailNthSync makes the n-th sync of a file from now on fail, as if the crash
// came just then.
func (d *Disk) FailNthSync(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = n
}

// SyncCount returns how many files were synced.
func (d *Disk) SyncCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Crash drops what was not synced, except that random beginnings of unsynced
// writes survive if r is not nil. Open files and the lock are lost.
func (d *Disk) Crash(r *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.locked = false
	d.failing = 0
	d.names = make(map[string]*content)
	var names []string
	for name := range d.durable {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c := d.durable[name]
		kept := slices.Clone(c.synced)
		if r != nil && len(c.data) > len(c.synced) {
			torn := r.IntN(len(c.data) - len(c.synced) + 1)
			kept = append(kept, c.data[len(c.synced):len(c.synced)+torn]...)
		}
		d.names[name] = &content{data: kept, synced: slices.Clone(kept)}
	}
	d.durable = make(map[string]*content)
	for name, c := range d.names {
		d.durable[name] = c
	}
}

// Clone returns a copy of what is on the disk, like a backup.
func (d *Disk) Clone() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := New()
	for name, c := range d.names {
		b := &content{data: slices.Clone(c.data), synced: slices.Clone(c.data)}
		out.names[name], out.durable[name] = b, b
	}
	return out
}

// FlipBit flips one bit of a file.
func (d *Disk) FlipBit(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names[name].data[offset] ^= 1
}

// Content returns what a file holds.
func (d *Disk) Content(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.names[name].data)
}

// Open implements store.FS.
func (d *Disk) Open(name string, create bool) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.names[name]
	if !ok && !create {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	if !ok {
		c = &content{}
		d.names[name] = c
	}
	return &file{disk: d, content: c, epoch: d.epoch}, nil
}

// List implements store.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Rename implements store.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.names[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	d.names[to] = c
	delete(d.names, from)
	return nil
}

// Remove implements store.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.names[name]
	if !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	if d.free >= 0 {
		d.free += int64(len(c.data))
	}
	delete(d.names, name)
	return nil
}

// SyncDir implements store.FS.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durable = make(map[string]*content)
	for name, c := range d.names {
		d.durable[name] = c
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
	return &lock{disk: d, epoch: d.epoch}, nil
}

type lock struct {
	disk  *Disk
	epoch int
}

func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.epoch == l.disk.epoch {
		l.disk.locked = false
	}
	return nil
}

type file struct {
	disk    *Disk
	content *content
	epoch   int
}

// locked runs f unless the disk has crashed since the file was opened.
func (f *file) locked(op func() error) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return ErrCrashed
	}
	return op()
}

func (f *file) ReadAt(p []byte, off int64) (n int, err error) {
	err = f.locked(func() error {
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
	err = f.locked(func() error {
		n, err = f.write(p, off)
		return err
	})
	return n, err
}

func (f *file) write(p []byte, off int64) (int, error) {
	c := f.content
	grow := off + int64(len(p)) - int64(len(c.data))
	var full error
	if f.disk.free >= 0 && grow > f.disk.free {
		p = p[:max(0, int64(len(p))-(grow-f.disk.free))]
		full = syscall.ENOSPC
	}
	if grow = off + int64(len(p)) - int64(len(c.data)); grow > 0 {
		c.data = append(c.data, make([]byte, grow)...)
		if f.disk.free >= 0 {
			f.disk.free -= grow
		}
	}
	return copy(c.data[off:], p), full
}

func (f *file) Size() (n int64, err error) {
	err = f.locked(func() error {
		n = int64(len(f.content.data))
		return nil
	})
	return n, err
}

func (f *file) Truncate(size int64) error {
	return f.locked(func() error {
		if f.disk.free >= 0 {
			f.disk.free += int64(len(f.content.data)) - size
		}
		f.content.data = slices.Clone(f.content.data[:size])
		return nil
	})
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	delay := f.disk.delay
	f.disk.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return f.locked(func() error {
		f.disk.syncs++
		if f.disk.failing > 0 {
			f.disk.failing--
			if f.disk.failing == 0 {
				return ErrCrashed
			}
		}
		f.content.synced = slices.Clone(f.content.data)
		return nil
	})
}

func (f *file) Close() error { return nil }
