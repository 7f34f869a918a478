package jobs

// Phase is the phase of a job's life cycle.
type Phase string

// The phases of a job.
const (
	Pending  Phase = "pending"  // no task has started
	Active   Phase = "active"   // a worker has begun a run of a task
	Complete Phase = "complete" // all tasks have succeeded
	Failed   Phase = "failed"   // a task has used up its attempts
	Canceled Phase = "canceled"
)

// Ended reports whether the job has ended, so that no more of its tasks may start.
func (p Phase) Ended() bool { return p == Complete || p == Failed || p == Canceled }

// RunOutcome is the way in which a run ended.
type RunOutcome string

// The ways in which a run ends. After all of them except RunDone the task is run
// again, and only RunFailed counts against the attempts.
const (
	RunDone           RunOutcome = "done"
	RunFailed         RunOutcome = "failed"  // because of the task or the worker
	RunStopped        RunOutcome = "stopped" // on the leader's order
	RunLeaseExpired   RunOutcome = "lapsed"  // its lease expired
	RunMemberEnded    RunOutcome = "broken"  // another member of its gang ended first
	RunGangIncomplete RunOutcome = "alone"   // the other members of its gang did not start in time
	RunLost           RunOutcome = "lost"    // its worker was lost
	RunNeverStarted   RunOutcome = "refused" // it never started and no longer can
)

// Begun reports whether a run that ended in this way has begun for certain. One that was lost with its worker may
// never have reached it.
func (o RunOutcome) Begun() bool { return o != RunLost && o != RunNeverStarted }

// Worker identifies one incarnation of a worker: a restart changes its start time.
type Worker struct {
	Name      string `json:"name"`
	StartedMs int64  `json:"born"` // start time, Unix milliseconds
}

// Zero reports whether w identifies no worker.
func (w Worker) Zero() bool { return w.Name == "" }

// Job is an accepted job and its progress. The fields up to Spec come from its Submit; queue, place, service and team
// follow the configuration.
type Job struct {
	ID          string  `json:"id"`
	Queue       string  `json:"queue"`
	Place       string  `json:"place,omitempty"` // of the queue; "" for jobs of earlier releases until the next configuration
	Service     string  `json:"service"`
	Team        string  `json:"team"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"attempts"`
	SlackFactor float64 `json:"slack"`
	TargetMs    int64   `json:"target"`
	Spec        *Spec   `json:"spec"`
	// AcceptedMs is the Unix time of acceptance by the wall clock of the leader.
	AcceptedMs    int64  `json:"accepted"`
	AcceptedIndex uint64 `json:"order"` // log index of its acceptance
	Phase         Phase  `json:"phase"`
	EndedMs       int64  `json:"ended,omitempty"` // Unix time by the wall clock of the leader
	// Occurrences holds the occurrences that have started, by number. Those of a repeated job that are finished, and
	// whose runs have all ended, have no record any more.
	Occurrences     map[int]*Occurrence `json:"occurs,omitempty"`
	FinishedBefore  int                 `json:"before,omitempty"`   // all occurrences with lower numbers are finished and have no record
	Finished        map[int]bool        `json:"finished,omitempty"` // other occurrences of that kind, by number
	OccurrencesDone int                 `json:"done,omitempty"`     // number of occurrences that are done
}

// Task returns the progress of a task, false if its occurrence has no record or there is no such task.
func (j *Job) Task(id TaskID) (*Task, bool) {
	r, ok := j.StepRecord(id)
	if !ok || id.Index >= len(r.Tasks) {
		return nil, false
	}
	return &r.Tasks[id.Index], true
}

// StepRecord returns the progress of the step of a task, false if its occurrence has no record or there is no such step.
func (j *Job) StepRecord(id TaskID) (*StepRecord, bool) {
	o, ok := j.Occurrences[id.Occur]
	if !ok || id.Step >= len(o.Steps) {
		return nil, false
	}
	return &o.Steps[id.Step], true
}

// HasTask reports whether the job has such a task.
func (j *Job) HasTask(id TaskID) bool {
	return id.Occur < j.Spec.Occurrences() && id.Step < len(j.Spec.Steps) && id.Index < j.Spec.Steps[id.Step].Count
}

// StepRecord is the progress of a step.
type StepRecord struct {
	Tasks     []Task `json:"tasks"`          // by index
	TasksDone int    `json:"done,omitempty"` // number of tasks done
	// The following fields are used only for a gang and apply to all its members.
	GangFailures   int    `json:"fails,omitempty"`   // number of failed runs
	LastFailedRun  int    `json:"failrun,omitempty"` // number of the last run that was counted as failed
	GangCheckpoint string `json:"saved,omitempty"`   // latest checkpoint
}

// Task is the progress of a task.
type Task struct {
	Run        int    `json:"run,omitempty"` // number of the last run
	Worker     Worker `json:"on,omitzero"`   // worker of that run until its end is recorded
	Done       bool   `json:"done,omitempty"`
	Failures   int    `json:"fails,omitempty"` // number of failed runs; unused in a gang
	Checkpoint string `json:"saved,omitempty"` // latest checkpoint; unused in a gang
}

// WorkerRecord is the committed state of one incarnation of a worker.
type WorkerRecord struct {
	Host            string `json:"host"` // name of the agent on its host
	LastRecordedEnd uint64 `json:"seen"` // ends up to this sequence number are recorded
	// Runs holds the numbers of runs whose end isn't recorded, by task name.
	Runs map[string]int `json:"runs,omitempty"`
}
