package jobs

import (
	"encoding/json"
	"io"
	"maps"
	"reflect"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// State is the replicated state machine. Apply is deterministic, so all replicas have
// the same state at the same log index.
type State struct {
	mu      sync.RWMutex
	data    stateData
	changed chan struct{} // closed on the next change
}

// stateData is the content of a snapshot.
type stateData struct {
	Index   uint64                   `json:"index"`   // of the last applied command
	Term    uint64                   `json:"term"`    // highest of the applied commands
	Config  *Config                  `json:"config"`  // version 0 if none has been stored yet
	Jobs    map[string]*Job          `json:"jobs"`    // by id
	Workers map[string]*WorkerRecord `json:"workers"` // by worker key
	// Estimates of the leaders so far, from which a new leader starts.
	Speeds         map[string]WorkerSpeed `json:"speeds,omitempty"` // by worker key
	LogTaskSeconds map[string]float64     `json:"work,omitempty"`   // by queue
	FormerTeams    []formerTeam           `json:"former,omitempty"`
	Evacuations    map[string]Evacuation  `json:"evacuated,omitempty"` // by failure domain
	// What teams held lately, on average, as of UseMs by the clock of the leader, and what they hold, from Jobs.
	LatelyHeld map[string]Use `json:"held,omitempty"`  // by team
	UseMs      int64          `json:"usems,omitempty"` // Unix milliseconds; 0 before the first command
	held       map[string]Use
	// What is held for jobs in bytes, by team and in all, from Jobs.
	stored      map[string]int64
	storedTotal int64
}

// New returns an empty state.
func New() *State {
	return &State{data: newStateData(), changed: make(chan struct{})}
}

func newStateData() stateData {
	return stateData{Config: &Config{}, Jobs: map[string]*Job{}, Workers: map[string]*WorkerRecord{}, Speeds: map[string]WorkerSpeed{}, LogTaskSeconds: map[string]float64{}, LatelyHeld: map[string]Use{}, held: map[string]Use{}, stored: map[string]int64{}}
}

// Read calls f with a consistent view of the state. f must not modify the view or use
// it after returning.
func (s *State) Read(f func(v View)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(View{&s.data})
}

// Changed returns a channel that is closed on the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Apply implements replog.StateMachine.
func (s *State) Apply(index uint64, cmd []byte) any {
	var c Command
	if err := json.Unmarshal(cmd, &c); err != nil {
		return Result{Err: errors.Wrap(err, "decode command")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notifyChange()
	s.data.Index = index
	return s.data.apply(c)
}

// notifyChange closes the channel returned by Changed. The caller holds mu.
func (s *State) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot implements replog.StateMachine. It encodes the state immediately, so later
// changes don't affect the returned function. The state is small compared to the log.
func (s *State) Snapshot() (func(w io.Writer) error, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	encoded, err := s.data.encode()
	if err != nil {
		return nil, err
	}
	return func(w io.Writer) error {
		for _, part := range encoded {
			if _, err := w.Write(part); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

// Restore implements replog.StateMachine.
func (s *State) Restore(r io.Reader) error {
	d, err := decodeState(r)
	if err != nil {
		return err
	}
	d.countHeld()
	d.countStored()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = d
	s.notifyChange()
	return nil
}

// apply applies a command unless it is from an earlier term.
func (d *stateData) apply(c Command) Result {
	if c.Term < d.Term {
		return Result{Err: ErrFenced, Version: d.Config.Version}
	}
	d.Term = c.Term
	d.advanceUse(c.NowMs)
	res := Result{}
	if c.Config != nil && c.Config.Version > d.Config.Version {
		res.RenamedQueues = d.replaceConfig(c.Config)
	}
	if c.Evacuate != "" {
		d.evacuate(c.Evacuate, c.NowMs)
	}
	if c.Withdraw != "" {
		delete(d.Evacuations, c.Withdraw)
	}
	if c.Submit != nil {
		res.Phase, res.Err = d.submit(c.Submit, c.NowMs)
	}
	if c.Cancel != "" {
		res.Phase, res.Err = d.cancel(c.Cancel, c.NowMs)
	}
	for _, e := range c.Ends {
		d.recordEnds(e, c.NowMs)
	}
	for _, u := range c.Unstarted {
		d.endRun(u.Worker, u.Task, u.Run, RunNeverStarted, "", c.NowMs)
	}
	for _, lost := range c.LostWorkers {
		d.removeLostWorker(lost, c.NowMs)
	}
	for _, st := range c.Starts {
		run, refusal := d.start(st)
		res.Runs, res.Refusals = append(res.Runs, run), append(res.Refusals, refusal)
	}
	for _, id := range c.BegunJobs {
		if j, ok := d.Jobs[id]; ok {
			j.begin()
		}
	}
	for _, id := range c.DropJobs {
		if j, ok := d.Jobs[id]; ok && j.Phase.Ended() {
			d.holdAll(j, -1)
			d.addStored(j, -1)
			delete(d.Jobs, id)
		}
	}
	if c.Estimates != nil {
		d.updateEstimates(c.Estimates)
	}
	res.Version = d.Config.Version
	return res
}

// updateEstimates merges new estimates into the stored ones.
func (d *stateData) updateEstimates(estimates *Estimates) {
	for _, s := range estimates.Speeds {
		d.Speeds[s.Worker.Key()] = s
	}
	maps.Copy(d.LogTaskSeconds, estimates.LogTaskSeconds)
}

// submit adds a job. A job that is already stored with the same content is accepted
// again.
func (d *stateData) submit(s *Submit, nowMs int64) (Phase, error) {
	if s.ConfigVersion != 0 && s.ConfigVersion != d.Config.Version {
		return "", ErrStaleConfig
	}
	if j, ok := d.Jobs[s.ID]; ok {
		if !s.sameQueue(j) || j.Team != s.Team || !reflect.DeepEqual(j.Spec, s.Spec) {
			return j.Phase, ErrConflict
		}
		return j.Phase, nil
	}
	j := &Job{
		ID: s.ID, Queue: s.Queue, Place: s.Place, Service: s.Service, Team: s.Team, Priority: s.Priority,
		MaxAttempts: max(1, s.MaxAttempts), SlackFactor: s.SlackFactor, TargetMs: s.TargetMs, Spec: s.Spec,
		AcceptedMs: nowMs, AcceptedIndex: d.Index, Phase: Pending, Occurrences: map[int]*Occurrence{},
	}
	d.Jobs[s.ID] = j
	d.addStored(j, 1)
	return Pending, nil
}

// sameQueue reports whether a stored job is one of the queue that s is for. Jobs that an earlier release has stored or
// submitted have no place.
func (s *Submit) sameQueue(j *Job) bool {
	if s.Place == "" || j.Place == "" {
		return s.Queue == j.Queue
	}
	return s.Place == j.Place
}

// cancel cancels a job that hasn't ended and returns the phase of the job.
func (d *stateData) cancel(id string, nowMs int64) (Phase, error) {
	j, ok := d.Jobs[id]
	if !ok {
		return "", ErrUnknownJob
	}
	if !j.Phase.Ended() {
		j.end(Canceled, nowMs)
	}
	return j.Phase, nil
}

// begin notes that a worker has begun a run of the job. That a run was assigned to a worker doesn't count: the worker
// may refuse it, or be lost before.
func (j *Job) begin() {
	if j.Phase == Pending {
		j.Phase = Active
	}
}

// end ends the job in phase p.
func (j *Job) end(p Phase, nowMs int64) { j.Phase, j.EndedMs = p, nowMs }

// recordEnds records the run ends that aren't recorded yet. A worker numbers its ends
// from 1.
func (d *stateData) recordEnds(e RunEnds, nowMs int64) {
	record := d.workerRecord(e.Worker, e.Host)
	for _, end := range e.Ends {
		if end.Number <= record.LastRecordedEnd {
			continue
		}
		record.LastRecordedEnd = end.Number
		d.endRun(e.Worker, end.Task, end.Run, end.Outcome, end.Checkpoint, nowMs)
	}
}

// workerRecord returns the record of a worker. It creates the record on first use.
func (d *stateData) workerRecord(w Worker, host string) *WorkerRecord {
	record, ok := d.Workers[w.Key()]
	if !ok {
		record = &WorkerRecord{Host: host, Runs: map[string]int{}}
		d.Workers[w.Key()] = record
	}
	if record.Runs == nil {
		record.Runs = map[string]int{}
	}
	return record
}

// removeLostWorker ends all runs on a lost worker and removes the worker.
func (d *stateData) removeLostWorker(lost LostWorker, nowMs int64) {
	record, ok := d.Workers[lost.Worker.Key()]
	if !ok {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(record.Runs)) {
		d.endRun(lost.Worker, task, record.Runs[task], RunLost, lost.Checkpoints[task], nowMs)
	}
	delete(d.Workers, lost.Worker.Key())
	delete(d.Speeds, lost.Worker.Key())
}

// endRun records the end of one run. It ignores a run that isn't the current one of
// the task on that worker.
func (d *stateData) endRun(w Worker, taskName string, run int, outcome RunOutcome, checkpoint string, nowMs int64) {
	record, ok := d.Workers[w.Key()]
	if !ok || record.Runs[taskName] != run {
		return
	}
	delete(record.Runs, taskName)
	id, err := ParseTaskID(taskName)
	if err != nil {
		return
	}
	j, ok := d.Jobs[id.Job]
	if !ok {
		return
	}
	o := j.Occurrences[id.Occur]
	r := &o.Steps[id.Step]
	t := &r.Tasks[id.Index]
	if t.Run != run || t.Worker != w {
		return
	}
	t.Worker = Worker{}
	d.hold(j, id.Step, -1)
	if outcome.Begun() || checkpoint != "" {
		j.begin()
	}
	j.recordRunEnd(id, r, t, outcome, checkpoint)
	j.updatePhase(id, o, nowMs)
	j.dropFinished(id.Occur)
}

// recordRunEnd updates a step's record and a task for the end of a run.
func (j *Job) recordRunEnd(id TaskID, r *StepRecord, t *Task, outcome RunOutcome, checkpoint string) {
	st := j.Spec.Steps[id.Step]
	if checkpoint != "" {
		if st.Gang {
			r.GangCheckpoint = checkpoint
		} else {
			t.Checkpoint = checkpoint
		}
	}
	if t.Done || st.LongRunning {
		return
	}
	switch {
	case outcome == RunDone && st.Gang:
		// The members of a gang end together, so the first end completes all tasks.
		for i := range r.Tasks {
			r.Tasks[i].Done = true
		}
		r.TasksDone = st.Count
	case outcome == RunDone:
		t.Done = true
		r.TasksDone++
	case outcome == RunFailed && st.Gang:
		if r.LastFailedRun != t.Run {
			r.LastFailedRun = t.Run
			r.GangFailures++
		}
	case outcome == RunFailed:
		t.Failures++
	}
}

// updatePhase updates the phase of the job after the end of a run: the job fails if the
// step or the task has used up the attempts, and is complete if all occurrences are done.
func (j *Job) updatePhase(id TaskID, o *Occurrence, nowMs int64) {
	if j.Phase.Ended() {
		return
	}
	st, r := j.Spec.Steps[id.Step], &o.Steps[id.Step]
	if !st.LongRunning && (r.GangFailures >= j.MaxAttempts || r.Tasks[id.Index].Failures >= j.MaxAttempts) && r.TasksDone < st.Count {
		j.end(Failed, nowMs)
		return
	}
	j.OccurrencesDone = j.countFinished()
	if j.OccurrencesDone == j.Spec.Occurrences() {
		j.end(Complete, nowMs)
	}
}

// start records the start of a group of tasks under one new run number. If any of
// them may not start, it starts none and returns 0 and the reason.
func (d *stateData) start(st Start) (int, string) {
	if len(st.Placements) == 0 {
		return 0, "empty"
	}
	run := 0
	for _, p := range st.Placements {
		t, refusal := d.checkStart(p, len(st.Placements))
		if refusal != "" {
			return 0, refusal
		}
		run = max(run, t.Run+1)
	}
	for _, p := range st.Placements {
		j := d.Jobs[p.Task.Job]
		t := &j.occurrence(p.Task.Occur).Steps[p.Task.Step].Tasks[p.Task.Index]
		t.Run, t.Worker = run, p.Worker
		d.hold(j, p.Task.Step, 1)
		d.workerRecord(p.Worker, p.Host).Runs[p.Task.String()] = run
	}
	return run, ""
}

// checkStart returns the task, or the reason why it may not start.
func (d *stateData) checkStart(p Placement, groupSize int) (*Task, string) {
	j, ok := d.Jobs[p.Task.Job]
	_, evacuated := d.Evacuations[p.Domain]
	switch {
	case evacuated:
		return nil, RefusedEvacuated
	case !ok:
		return nil, "no such job"
	case j.Phase.Ended():
		return nil, "job has ended"
	case p.Task.Occur < 0 || p.Task.Occur >= j.Spec.Occurrences():
		return nil, "no such occurrence"
	case j.OccurrenceFinished(p.Task.Occur):
		return nil, "done"
	case p.Task.Step < 0 || p.Task.Step >= len(j.Spec.Steps):
		return nil, "no such step"
	}
	st := j.Spec.Steps[p.Task.Step]
	if p.Task.Index < 0 || p.Task.Index >= st.Count {
		return nil, "no such task"
	}
	o := j.occurrence(p.Task.Occur)
	r := &o.Steps[p.Task.Step]
	t := &r.Tasks[p.Task.Index]
	switch {
	case t.Done:
		return nil, "done"
	case !t.Worker.Zero():
		return nil, "has a run"
	case !o.StepReady(j.Spec, p.Task.Step):
		return nil, "earlier step isn't done"
	case !st.LongRunning && (t.Failures >= j.MaxAttempts || r.GangFailures >= j.MaxAttempts):
		return nil, "no attempts left"
	case st.Gang && groupSize != st.Count:
		return nil, "not the whole gang"
	}
	return t, ""
}
