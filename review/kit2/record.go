package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	f       *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, started: time.Now()}, err
}

// add writes a line with the seconds since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
