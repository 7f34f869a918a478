package jobs

// Phase is where a job stands.
type Phase string

// The phases of a job.
const (
	Pending  Phase = "pending"  // no task has started
	Active   Phase = "active"   // a task has started
	Complete Phase = "complete" // all tasks are done
	Failed   Phase = "failed"   // a task has failed too often
	Canceled Phase = "canceled"
)

// Ended tells whether nothing more of the job may start.
func (p Phase) Ended() bool { return p == Complete || p == Failed || p == Canceled }

// How is how a run ended.
type How string

// The ways a run ends. All but Done lead to another run, and only RunFailed
// counts against the attempts.
const (
	RunDone    How = "done"
	RunFailed  How = "failed"  // by its own fault or the worker's
	RunStopped How = "stopped" // it was told to
	RunLapsed  How = "lapsed"  // its lease ran out
	RunBroken  How = "broken"  // another member of its gang ended
	RunAlone   How = "alone"   // the other members of its gang did not come in time
	RunLost    How = "lost"    // its worker is gone
	RunRefused How = "refused" // it never began and can't any more
)

// Worker is one life of a worker.
type Worker struct {
	Name string `json:"name"`
	Born int64  `json:"born"` // Unix milliseconds
}

// Zero tells whether no worker is meant.
func (w Worker) Zero() bool { return w.Name == "" }

// Job is an accepted job with all that has become of it.
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
	// AcceptedMs is the time of day at the leader that accepted it.
	AcceptedMs int64  `json:"accepted"`
	Order      uint64 `json:"order"` // log index of its acceptance
	Phase      Phase  `json:"phase"`
	EndedMs    int64  `json:"ended,omitempty"`
	// Occurs are the occurrences that have begun.
	Occurs map[int]*Occur `json:"occurs,omitempty"`
	Done   int            `json:"done,omitempty"` // occurrences that are done
}

// Occur is one occurrence of a job.
type Occur struct {
	Steps []StepRecord `json:"steps"`
}

// StepRecord is what has become of a step.
type StepRecord struct {
	Tasks []Task `json:"tasks"`
	Done  int    `json:"done,omitempty"` // tasks
	// Of a gang, whose members share them:
	Fails   int    `json:"fails,omitempty"`
	FailRun int    `json:"failrun,omitempty"` // the run that Fails last counted
	Saved   string `json:"saved,omitempty"`
}

// Task is what has become of a task.
type Task struct {
	Run   int    `json:"run,omitempty"` // number of its last start
	On    Worker `json:"on,omitzero"`   // where that run is, until its end is recorded
	Done  bool   `json:"done,omitempty"`
	Fails int    `json:"fails,omitempty"`
	Saved string `json:"saved,omitempty"` // checkpoint
}

// newOccur returns an occurrence of which nothing has started.
func newOccur(s *Spec) *Occur {
	o := &Occur{Steps: make([]StepRecord, len(s.Steps))}
	for i, st := range s.Steps {
		o.Steps[i].Tasks = make([]Task, st.Count)
	}
	return o
}

// Ready tells whether all steps that a step depends on are done.
func (o *Occur) Ready(s *Spec, step int) bool {
	for _, dep := range s.Steps[step].After {
		if o.Steps[dep].Done < s.Steps[dep].Count {
			return false
		}
	}
	return true
}

// Held is what the log holds of one life of a worker.
type Held struct {
	Host string `json:"host"` // the agent beside it
	Seen uint64 `json:"seen"` // ends up to this number are recorded
	// Runs are those whose end isn't recorded, by task.
	Runs map[string]int `json:"runs,omitempty"`
}
