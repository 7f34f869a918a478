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
	snapshotFormat  = "knapweedlug-state"
	snapshotVersion = 1
)

// record is one line of a snapshot. Exactly one field is set. A snapshot consists
// of a header, a meta record, the rows of each table in key order, and an end
// record with the number and the checksum of the lines before it.
type record struct {
	Header   *snapshotHeader   `json:"head,omitempty"`
	Meta     *snapshotMeta     `json:"meta,omitempty"`
	Team     *model.Team       `json:"team,omitempty"`
	Service  *model.Service    `json:"service,omitempty"`
	Revision *Revision         `json:"revision,omitempty"`
	Worker   *Worker           `json:"worker,omitempty"`
	Job      *Job              `json:"job,omitempty"`
	Plan     *planRecord       `json:"plan,omitempty"`
	Claim    *Claim            `json:"claim,omitempty"`
	Deadline *snapshotDeadline `json:"due,omitempty"`
	End      *snapshotEnd      `json:"end,omitempty"`
}

// snapshotHeader is the first record; it identifies the file format.
type snapshotHeader struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
}

// snapshotMeta holds the values of the state that aren't in a table.
type snapshotMeta struct {
	Index               uint64 `json:"index"` // log index of the last command applied
	Term                uint64 `json:"term"`
	FleetIndex          uint64 `json:"fleet"`
	TeamServiceRevision uint64 `json:"rules"` // last revision that changed teams or services
	ConfigRevision      uint64 `json:"revision"`
}

// snapshotDeadline is one row of the table of deadlines.
type snapshotDeadline struct {
	Nanos int64  `json:"at"` // nanoseconds since 1970
	Kind  string `json:"kind"`
	ID    string `json:"id"`
}

// snapshotEnd is the last record; it shows that the snapshot is complete.
type snapshotEnd struct {
	Records  int    `json:"records"` // number of records before it
	Checksum string `json:"sum"`     // xxHash64 of the lines before it, in hex
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

// snapshotWriter writes records, counts them and computes their checksum.
type snapshotWriter struct {
	buf      *bufio.Writer
	checksum *xxhash.Digest
	enc      *json.Encoder
	records  int
	err      error
}

func newSnapshotWriter(w io.Writer) *snapshotWriter {
	out := &snapshotWriter{buf: bufio.NewWriterSize(w, 64<<10), checksum: xxhash.New()}
	out.enc = json.NewEncoder(io.MultiWriter(out.buf, out.checksum))
	out.enc.SetEscapeHTML(false)
	return out
}

// put writes one record. After an error it does nothing.
func (w *snapshotWriter) put(r record) {
	if w.err != nil {
		return
	}
	w.records++
	w.err = w.enc.Encode(r)
}

func (w *snapshotWriter) close() error {
	w.put(record{End: &snapshotEnd{Records: w.records, Checksum: fmt.Sprintf("%016x", w.checksum.Sum64())}})
	if w.err != nil {
		return errors.Wrap(w.err, "write snapshot")
	}
	return errors.Wrap(w.buf.Flush(), "write snapshot")
}

// Write writes the view as a snapshot. Equal states give equal bytes.
func (v View) Write(out io.Writer) error {
	d := v.data
	w := newSnapshotWriter(out)
	w.put(record{Header: &snapshotHeader{Format: snapshotFormat, Version: snapshotVersion}})
	w.put(record{Meta: &snapshotMeta{
		Index: d.index, Term: d.term, FleetIndex: d.fleetIndex, TeamServiceRevision: d.teamServiceRevision, ConfigRevision: d.config.Revision(),
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
	for key := range d.deadlines.all() {
		nanos, kind, id := parseTimeKey(key)
		w.put(record{Deadline: &snapshotDeadline{Nanos: nanos, Kind: kind, ID: id}})
	}
	return w.close()
}

func (d *data) writeConfig(w *snapshotWriter) {
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
