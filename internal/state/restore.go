package state

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Restore replaces the state with a snapshot. If the snapshot is truncated, damaged
// or of a newer version, Restore returns an error and the state doesn't change.
func (s *State) Restore(r io.Reader) error {
	d, err := readSnapshot(r)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = d
	s.view = nil
	s.halted = nil
	return nil
}

// snapReader reads records, counts them and computes their checksum.
type snapReader struct {
	in      *bufio.Reader
	sum     *xxhash.Digest
	names   map[string]string // strings shared by many rows
	data    *data
	meta    *snapMeta
	records int
}

func readSnapshot(in io.Reader) (*data, error) {
	r := &snapReader{
		in:    bufio.NewReaderSize(in, 64<<10),
		sum:   xxhash.New(),
		names: map[string]string{},
		data:  newData(),
	}
	if err := r.readHead(); err != nil {
		return nil, err
	}
	for {
		rec, err := r.next()
		if err != nil {
			return nil, err
		}
		if rec.End != nil {
			return r.finish()
		}
		if err := r.take(rec); err != nil {
			return nil, err
		}
	}
}

// next reads one record. The checksum doesn't cover the end record itself.
func (r *snapReader) next() (record, error) {
	line, err := r.in.ReadBytes('\n')
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = errors.Wrapf(ErrCorrupt, "truncated after %d records", r.records)
		}
		return record{}, errors.Wrap(err, "read snapshot")
	}
	var rec record
	dec := json.NewDecoder(bytes.NewReader(line))
	if err := dec.Decode(&rec); err != nil {
		return record{}, errors.Wrapf(ErrCorrupt, "record %d: %v", r.records, err)
	}
	if rec.End != nil {
		return rec, r.checkEnd(*rec.End)
	}
	r.records++
	_, err = r.sum.Write(line)
	return rec, err
}

func (r *snapReader) checkEnd(end snapEnd) error {
	if end.Records != r.records {
		return errors.Wrapf(ErrCorrupt, "read %d records, the end record says %d", r.records, end.Records)
	}
	if sum := fmt.Sprintf("%016x", r.sum.Sum64()); sum != end.Sum {
		return errors.Wrapf(ErrCorrupt, "checksum is %s, the end record says %s", sum, end.Sum)
	}
	return nil
}

func (r *snapReader) readHead() error {
	rec, err := r.next()
	if err != nil {
		return err
	}
	if rec.Head == nil || rec.Head.Format != snapFormat {
		return errors.Wrap(ErrCorrupt, "missing header of a state snapshot")
	}
	if rec.Head.Version > snapVersion {
		return errors.Wrapf(ErrVersion, "version %d, this program reads up to %d", rec.Head.Version, snapVersion)
	}
	if rec.Head.Version < 1 {
		return errors.Wrapf(ErrCorrupt, "version %d", rec.Head.Version)
	}
	return nil
}

// one returns the shared copy of a string, to save memory.
func (r *snapReader) one(s string) string {
	if had, ok := r.names[s]; ok {
		return had
	}
	r.names[s] = s
	return s
}

func (r *snapReader) take(rec record) error {
	d := r.data
	switch {
	case rec.Meta != nil:
		r.meta = rec.Meta
	case rec.Team != nil:
		d.config = d.config.WithTeam(*rec.Team)
	case rec.Service != nil:
		d.config = d.config.WithService(*rec.Service)
	case rec.Revision != nil:
		d.history.set(rec.Revision.Number, rec.Revision)
	case rec.Worker != nil:
		r.takeWorker(*rec.Worker)
	case rec.Job != nil:
		return r.takeJob(*rec.Job)
	case rec.Plan != nil:
		return r.takePlan(*rec.Plan)
	case rec.Claim != nil:
		r.takeClaim(*rec.Claim)
	case rec.Due != nil:
		d.setDue(time.Unix(0, rec.Due.At), rec.Due.Kind, rec.Due.ID)
	default:
		return errors.Wrapf(ErrCorrupt, "record %d is of an unknown kind", r.records)
	}
	return nil
}

func (r *snapReader) takeWorker(w Worker) {
	w.Name = r.one(w.Name)
	w.Rack = r.one(w.Rack)
	w.Domain = r.one(w.Domain)
	w.Region = r.one(w.Region)
	w.Kind = r.one(w.Kind)
	w.State = model.WorkerState(r.one(string(w.State)))
	w.Wanted = model.WorkerState(r.one(string(w.Wanted)))
	w.Plan = r.one(w.Plan)
	r.data.workers.set(w.Name, &w)
}

// takeJob stores a job and adds its members to the tasks of their workers.
func (r *snapReader) takeJob(j Job) error {
	if len(j.Status) > len(j.Members) || (j.placed() && len(j.Status) != len(j.Members)) {
		return errors.Wrapf(ErrCorrupt, "job %q: %d members, %d statuses", j.ID, len(j.Members), len(j.Status))
	}
	j.ID = r.one(j.ID)
	j.Team = r.one(j.Team)
	j.Plan = r.one(j.Plan)
	j.State = model.JobState(r.one(string(j.State)))
	j.Shape.Near = model.Near(r.one(string(j.Shape.Near)))
	j.Urgency = model.Urgency(r.one(string(j.Urgency)))
	for i, m := range j.Members {
		j.Members[i].Worker = r.one(m.Worker)
	}
	for i, f := range j.Faults {
		j.Faults[i].Worker = r.one(f.Worker)
	}
	for i, m := range j.Status {
		j.Status[i] = MemberState(r.one(string(m)))
	}
	d := r.data
	d.jobs.set(j.ID, &j)
	if j.State.Ended() {
		return nil
	}
	d.open.set(j.ID, j.Team)
	d.addLive(j.Team, 1)
	if j.placed() {
		d.restoreTasks(j)
	}
	return nil
}

// placed reports whether the job's members are assigned to workers.
func (j Job) placed() bool {
	switch j.State {
	case model.JobPreparing, model.JobRunning, model.JobStopping:
		return true
	}
	return false
}

// restoreTasks adds the job's members to the tasks of their workers without a
// change of the workers' versions.
func (d *data) restoreTasks(j Job) {
	for _, m := range j.Members {
		w, ok := d.workers.get(m.Worker)
		if !ok {
			continue
		}
		// Nothing else refers to the worker yet, so it may be modified in place.
		// Jobs are read in the order of their ids, which keeps the tasks ordered.
		w.Tasks = append(w.Tasks, TaskRef{Job: j.ID, Member: m.Index})
	}
}

func (r *snapReader) takePlan(p planRecord) error {
	if p.Plan.State == model.PlanOpen && len(p.Ops) == 0 {
		return errors.Wrapf(ErrCorrupt, "open plan %q has no operations", p.Plan.ID)
	}
	for i, op := range p.Ops {
		if op.Kind == model.OpSubmitJob && op.Job == nil {
			return errors.Wrapf(ErrCorrupt, "plan %q: ops[%d] has no job", p.Plan.ID, i)
		}
	}
	p.Plan.ID = r.one(p.Plan.ID)
	p.Plan.Operator = r.one(p.Plan.Operator)
	p.Plan.State = model.PlanState(r.one(string(p.Plan.State)))
	r.data.plans.set(p.Plan.ID, &p)
	r.data.intents.set(intentKey(p.Plan.Operator, p.Plan.Intent), p.Plan.ID)
	return nil
}

func (r *snapReader) takeClaim(c Claim) {
	c.Team = r.one(c.Team)
	c.Service = r.one(c.Service)
	c.Entry = r.one(c.Entry)
	c.State = ClaimState(r.one(string(c.State)))
	r.data.putClaim(c)
}

func (r *snapReader) finish() (*data, error) {
	if r.meta == nil {
		return nil, errors.Wrap(ErrCorrupt, "no meta record")
	}
	d := r.data
	d.index = r.meta.Index
	d.term = r.meta.Term
	d.fleet = r.meta.Fleet
	d.rules = r.meta.Rules
	d.config = d.config.WithRevision(r.meta.Revision)
	return d, nil
}
