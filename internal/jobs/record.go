package jobs

// Phase is the phase of a job's life cycle.
type Phase string

// The phases of a job.
const (
	Pending  Phase = "pending"  // no task has started
	Active   Phase = "active"   // a task has started
	Complete Phase = "complete" // all tasks have succeeded
	Failed   Phase = "failed"   // a task has used up its attempts
	Canceled Phase = "canceled"
)

// Ended reports whether the job has ended, so that no more of its tasks may start.
func (p Phase) Ended() bool { return p == Complete || p == Failed || p == Canceled }

// How is the way in which a run ended.
type How string

// The ways in which a run ends. After all of them except RunDone the task is run
// again, and only RunFailed counts against the attempts.
const (
	RunDone    How = "done"
	RunFailed  How = "failed"  // because of the task or the worker
	RunStopped How = "stopped" // on the leader's order
	RunLapsed  How = "lapsed"  // its lease expired
	RunBroken  How = "broken"  // another member of its gang ended first
	RunAlone   How = "alone"   // the other members of its gang did not start in time
	RunLost    How = "lost"    // its worker was lost
	RunRefused How = "refused" // it never started and no longer can
)

// Worker identifies one incarnation of a worker: a restart changes its start time.
type Worker struct {
	Name string `json:"name"`
	Born int64  `json:"born"` // start time, Unix milliseconds
}

// Zero reports whether w identifies no worker.
func (w Worker) Zero() bool { return w.Name == "" }

// Job is an accepted job and its progress.
type Job struct {
	ID       string  `json:"id"`
	Queue    string  `json:"queue"`
	Service  string  `json:"service"`
	Team     string  `json:"team"`
	Priority int     `json:"priority"`
	Attempts int     `json:"attempts"`
	Slack    float64 `json:"slack"`
	TargetMs int64   `json:"target"`
	Spec     *Spec   `json:"spec"`
	// AcceptedMs is the Unix time of acceptance by the wall clock of the leader.
	AcceptedMs int64  `json:"accepted"`
	Order      uint64 `json:"order"` // log index of its acceptance
	Phase      Phase  `json:"phase"`
	EndedMs    int64  `json:"ended,omitempty"`
	// Occurs holds the occurrences that have started, by number.
	Occurs map[int]*Occur `json:"occurs,omitempty"`
	Done   int            `json:"done,omitempty"` // number of occurrences that are done
}

// Occur is the progress of one occurrence of a job.
type Occur struct {
	Steps []StepRecord `json:"steps"`
}

// StepRecord is the progress of a step.
type StepRecord struct {
	Tasks []Task `json:"tasks"`
	Done  int    `json:"done,omitempty"` // number of tasks done
	// The following fields are used only for a gang and apply to all its members.
	Fails   int    `json:"fails,omitempty"`
	FailRun int    `json:"failrun,omitempty"` // number of the last run that was counted as failed
	Saved   string `json:"saved,omitempty"`   // latest checkpoint
}

// Task is the progress of a task.
type Task struct {
	Run   int    `json:"run,omitempty"` // number of the last run
	On    Worker `json:"on,omitzero"`   // worker of that run until its end is recorded
	Done  bool   `json:"done,omitempty"`
	Fails int    `json:"fails,omitempty"`
	Saved string `json:"saved,omitempty"` // latest checkpoint
}

// newOccurrence returns an occurrence in which no task has started.
func newOccurrence(s *Spec) *Occur {
	o := &Occur{Steps: make([]StepRecord, len(s.Steps))}
	for i, st := range s.Steps {
		o.Steps[i].Tasks = make([]Task, st.Count)
	}
	return o
}

// Ready reports whether all steps that a step depends on are done.
func (o *Occur) Ready(s *Spec, step int) bool {
	for _, dep := range s.Steps[step].After {
		if o.Steps[dep].Done < s.Steps[dep].Count {
			return false
		}
	}
	return true
}

// Held is the committed state of one incarnation of a worker.
type Held struct {
	Host string `json:"host"` // name of the agent on its host
	Seen uint64 `json:"seen"` // ends up to this sequence number are recorded
	// Runs holds the numbers of runs whose end isn't recorded, by task name.
	Runs map[string]int `json:"runs,omitempty"`
}
