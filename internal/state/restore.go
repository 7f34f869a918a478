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

// Restore replaces the state with a snapshot. If the snapshot is truncated,
// damaged or of a newer version, Restore returns an error and the state doesn't
// change.
func (s *State) Restore(r io.Reader) error {
	d, err := readSnapshot(r)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = d
	s.cachedView = nil
	s.halted = nil
	return nil
}

// snapshotReader reads records, counts them and computes their checksum.
type snapshotReader struct {
	buf      *bufio.Reader
	checksum *xxhash.Digest
	interned map[string]string // shared copies of strings that many rows hold
	data     *data
	meta     *snapshotMeta
	records  int
}

func readSnapshot(in io.Reader) (*data, error) {
	r := &snapshotReader{
		buf:      bufio.NewReaderSize(in, 64<<10),
		checksum: xxhash.New(),
		interned: map[string]string{},
		data:     newData(),
	}
	if err := r.readHeader(); err != nil {
		return nil, err
	}
	for {
		rec, err := r.next()
		if err != nil {
			return nil, err
		}
		if rec.End != nil {
			return r.completeData()
		}
		if err := r.load(rec); err != nil {
			return nil, err
		}
	}
}

// next reads one record. The checksum doesn't cover the end record itself.
func (r *snapshotReader) next() (record, error) {
	line, err := r.buf.ReadBytes('\n')
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
	_, err = r.checksum.Write(line)
	return rec, err
}

func (r *snapshotReader) checkEnd(end snapshotEnd) error {
	if end.Records != r.records {
		return errors.Wrapf(ErrCorrupt, "read %d records, the end record says %d", r.records, end.Records)
	}
	if checksum := fmt.Sprintf("%016x", r.checksum.Sum64()); checksum != end.Checksum {
		return errors.Wrapf(ErrCorrupt, "checksum is %s, the end record says %s", checksum, end.Checksum)
	}
	return nil
}

func (r *snapshotReader) readHeader() error {
	rec, err := r.next()
	if err != nil {
		return err
	}
	if rec.Header == nil || rec.Header.Format != snapshotFormat {
		return errors.Wrap(ErrCorrupt, "missing header of a state snapshot")
	}
	if rec.Header.Version > snapshotVersion {
		return errors.Wrapf(ErrVersion, "version %d, this program reads up to %d", rec.Header.Version, snapshotVersion)
	}
	if rec.Header.Version < 1 {
		return errors.Wrapf(ErrCorrupt, "version %d", rec.Header.Version)
	}
	return nil
}

// intern returns the shared copy of a string, to save memory.
func (r *snapshotReader) intern(s string) string {
	if shared, ok := r.interned[s]; ok {
		return shared
	}
	r.interned[s] = s
	return s
}

func (r *snapshotReader) load(rec record) error {
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
		r.loadWorker(*rec.Worker)
	case rec.Job != nil:
		return r.loadJob(*rec.Job)
	case rec.Plan != nil:
		return r.loadPlan(*rec.Plan)
	case rec.Claim != nil:
		r.loadClaim(*rec.Claim)
	case rec.Deadline != nil:
		d.setDeadline(time.Unix(0, rec.Deadline.Nanos), rec.Deadline.Kind, rec.Deadline.ID)
	default:
		return errors.Wrapf(ErrCorrupt, "record %d is of an unknown kind", r.records)
	}
	return nil
}

func (r *snapshotReader) loadWorker(w Worker) {
	w.Name = r.intern(w.Name)
	w.Rack = r.intern(w.Rack)
	w.Domain = r.intern(w.Domain)
	w.Region = r.intern(w.Region)
	w.Kind = r.intern(w.Kind)
	w.State = model.WorkerState(r.intern(string(w.State)))
	w.DesiredState = model.WorkerState(r.intern(string(w.DesiredState)))
	w.Plan = r.intern(w.Plan)
	r.data.workers.set(w.Name, &w)
}

// loadJob stores a job and adds its members to the tasks of their workers.
func (r *snapshotReader) loadJob(j Job) error {
	if len(j.MemberStates) > len(j.Members) || (j.placed() && len(j.MemberStates) != len(j.Members)) {
		return errors.Wrapf(ErrCorrupt, "job %q: %d members, %d member states", j.ID, len(j.Members), len(j.MemberStates))
	}
	j.ID = r.intern(j.ID)
	j.Team = r.intern(j.Team)
	j.Plan = r.intern(j.Plan)
	j.State = model.JobState(r.intern(string(j.State)))
	j.Shape.Proximity = model.Proximity(r.intern(string(j.Shape.Proximity)))
	j.Urgency = model.Urgency(r.intern(string(j.Urgency)))
	for i, m := range j.Members {
		j.Members[i].Worker = r.intern(m.Worker)
	}
	for i, f := range j.Failures {
		j.Failures[i].Worker = r.intern(f.Worker)
	}
	for i, m := range j.MemberStates {
		j.MemberStates[i] = MemberState(r.intern(string(m)))
	}
	d := r.data
	d.jobs.set(j.ID, &j)
	if j.State.Ended() {
		return nil
	}
	d.liveJobs.set(j.ID, j.Team)
	d.addLiveJobs(j.Team, 1)
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

func (r *snapshotReader) loadPlan(p planRecord) error {
	if p.Plan.State == model.PlanOpen && len(p.Ops) == 0 {
		return errors.Wrapf(ErrCorrupt, "open plan %q has no operations", p.Plan.ID)
	}
	for i, op := range p.Ops {
		if op.Kind == model.OpSubmitJob && op.Job == nil {
			return errors.Wrapf(ErrCorrupt, "plan %q: ops[%d] has no job", p.Plan.ID, i)
		}
	}
	p.Plan.ID = r.intern(p.Plan.ID)
	p.Plan.Operator = r.intern(p.Plan.Operator)
	p.Plan.State = model.PlanState(r.intern(string(p.Plan.State)))
	r.data.plans.set(p.Plan.ID, &p)
	r.data.intents.set(intentKey(p.Plan.Operator, p.Plan.Intent), p.Plan.ID)
	return nil
}

func (r *snapshotReader) loadClaim(c Claim) {
	c.Team = r.intern(c.Team)
	c.Service = r.intern(c.Service)
	c.Entry = r.intern(c.Entry)
	c.State = ClaimState(r.intern(string(c.State)))
	r.data.putClaim(c)
}

func (r *snapshotReader) completeData() (*data, error) {
	if r.meta == nil {
		return nil, errors.Wrap(ErrCorrupt, "no meta record")
	}
	d := r.data
	d.index = r.meta.Index
	d.term = r.meta.Term
	d.fleetIndex = r.meta.FleetIndex
	d.teamServiceRevision = r.meta.TeamServiceRevision
	d.config = d.config.WithRevision(r.meta.ConfigRevision)
	return d, nil
}
