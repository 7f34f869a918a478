package state

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// The format and version in a snapshot's header. The version is raised with each
// change that an older program would misread.
const (
	snapFormat  = "knapweedlug-state"
	snapVersion = 1
)

// record is one line of a snapshot. Exactly one field is set. A snapshot consists
// of a header, a meta record, the rows of each table in key order, and an end
// record with the number and the checksum of the lines before it.
type record struct {
	Head     *snapHead      `json:"head,omitempty"`
	Meta     *snapMeta      `json:"meta,omitempty"`
	Team     *model.Team    `json:"team,omitempty"`
	Service  *model.Service `json:"service,omitempty"`
	Revision *Revision      `json:"revision,omitempty"`
	Worker   *Worker        `json:"worker,omitempty"`
	Job      *Job           `json:"job,omitempty"`
	Plan     *planRecord    `json:"plan,omitempty"`
	Claim    *Claim         `json:"claim,omitempty"`
	Due      *snapDue       `json:"due,omitempty"`
	End      *snapEnd       `json:"end,omitempty"`
}

type snapHead struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
}

type snapMeta struct {
	Index    uint64 `json:"index"`
	Term     uint64 `json:"term"`
	Fleet    uint64 `json:"fleet"`
	Rules    uint64 `json:"rules"`
	Revision uint64 `json:"revision"`
}

// snapDue is one row of the table of deadlines.
type snapDue struct {
	At   int64  `json:"at"` // nanoseconds since 1970
	Kind string `json:"kind"`
	ID   string `json:"id"`
}

type snapEnd struct {
	Records int    `json:"records"`
	Sum     string `json:"sum"` // xxHash64 of the lines before it, in hex
}

// Snapshot captures the state in constant time and returns a function that writes
// the captured state. The function takes no locks.
func (s *State) Snapshot() (func(w io.Writer) error, error) {
	s.mu.Lock()
	halted := s.halted
	s.mu.Unlock()
	if halted != nil {
		return nil, errors.Wrap(halted, "snapshot of a halted state machine")
	}
	return s.View().Write, nil
}

// snapWriter writes records, counts them and computes their checksum.
type snapWriter struct {
	buf     *bufio.Writer
	sum     *xxhash.Digest
	enc     *json.Encoder
	records int
	err     error
}

func newSnapWriter(w io.Writer) *snapWriter {
	out := &snapWriter{buf: bufio.NewWriterSize(w, 64<<10), sum: xxhash.New()}
	out.enc = json.NewEncoder(io.MultiWriter(out.buf, out.sum))
	out.enc.SetEscapeHTML(false)
	return out
}

// put writes one record. After an error it does nothing.
func (w *snapWriter) put(r record) {
	if w.err != nil {
		return
	}
	w.records++
	w.err = w.enc.Encode(r)
}

func (w *snapWriter) close() error {
	w.put(record{End: &snapEnd{Records: w.records, Sum: fmt.Sprintf("%016x", w.sum.Sum64())}})
	if w.err != nil {
		return errors.Wrap(w.err, "write snapshot")
	}
	return errors.Wrap(w.buf.Flush(), "write snapshot")
}

// Write writes the view as a snapshot. Equal states give equal bytes.
func (v View) Write(out io.Writer) error {
	d := v.data
	w := newSnapWriter(out)
	w.put(record{Head: &snapHead{Format: snapFormat, Version: snapVersion}})
	w.put(record{Meta: &snapMeta{
		Index: d.index, Term: d.term, Fleet: d.fleet, Rules: d.rules, Revision: d.config.Revision(),
	}})
	d.writeConfig(w)
	for _, row := range d.workers.all() {
		w.put(record{Worker: row})
	}
	for _, row := range d.jobs.all() {
		w.put(record{Job: row})
	}
	for _, row := range d.plans.all() {
		w.put(record{Plan: row})
	}
	for _, row := range d.claims.all() {
		w.put(record{Claim: row})
	}
	for key := range d.due.all() {
		at, kind, id := parseDue(key)
		w.put(record{Due: &snapDue{At: at, Kind: kind, ID: id}})
	}
	return w.close()
}

func (d *data) writeConfig(w *snapWriter) {
	for _, t := range d.config.Teams() {
		w.put(record{Team: &t})
	}
	for _, s := range d.config.Services() {
		w.put(record{Service: &s})
	}
	for _, row := range d.history.all() {
		w.put(record{Revision: row})
	}
}
