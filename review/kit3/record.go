package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, start: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) //nolint:errcheck
}
