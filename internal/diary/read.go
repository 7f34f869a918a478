package diary

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// maxLine bounds one line of a log, in bytes. Lines are far shorter; a longer one
// isn't ours.
const maxLine = 1 << 20

// ErrEmpty means that a log tells of no accepted job.
var ErrEmpty = errors.New("the log tells of no accepted job")

// line is a log line, as far as the diary uses it.
type line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Role     string    `json:"role"`
	Request  string    `json:"request"`
	Kind     string    `json:"kind"`
	Outcome  string    `json:"outcome"`
	Job      string    `json:"job"`
	Queue    string    `json:"queue"`
	Team     string    `json:"team"`
	Task     string    `json:"task"`
	Run      int       `json:"run"`
	Worker   string    `json:"worker"`
	Rack     string    `json:"rack"`
	Factor   float64   `json:"factor"`
	Saved    string    `json:"saved"`
	MadeWay  string    `json:"madeway"`
	Took     float64   `json:"took"` // seconds
	Steps    int       `json:"steps"`
	Tasks    int       `json:"tasks"`
	CPU      int64     `json:"cpu"`
	Memory   int64     `json:"memory"`
	Accels   int64     `json:"accels"`
	Estimate int64     `json:"estimate"` // milliseconds
	Priority int       `json:"priority"`
	Slack    float64   `json:"slack"`
	Target   int64     `json:"target"` // milliseconds
	Gang     bool      `json:"gang"`
	Compact  bool      `json:"compact"`
	Saves    bool      `json:"saves"`
	DataRack string    `json:"datarack"`
	Labels   []string  `json:"labels"`
}

// Read reads the lines of all processes of a day, in any order. What comes before
// a line's JSON, such as a time and a host, is passed over, and so are lines
// that aren't JSON.
func Read(r io.Reader) (*DayLog, error) {
	d := newDay()
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		text := sc.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		l := line{}
		if err := json.Unmarshal(text[at:], &l); err != nil {
			d.SkippedLines++
			continue
		}
		d.add(l)
	}
	if err := sc.Err(); err != nil {
		return nil, errors.Wrap(err, "diary: read")
	}
	if len(d.jobs) == 0 {
		return nil, ErrEmpty
	}
	d.sort()
	return d, nil
}

// add takes in a line.
func (d *DayLog) add(l line) {
	switch l.Message {
	case "call":
		d.call(l)
	case "worker seen":
		d.workers[l.Worker] = true
	case "ruling":
		if j, ok := d.jobs[l.Request]; ok {
			j.Verdicts[allot.Verdict(l.Outcome)]++
		}
	case "start":
		d.racks[l.Worker] = l.Rack
		r := d.run(l)
		if r.OrderedAt.IsZero() {
			r.OrderedAt, r.Worker, r.DistanceFactor, r.FromStart = l.Time, l.Worker, l.Factor, l.Saved == ""
		}
	case "start answered":
		if l.Outcome == "begun" {
			d.run(l).BegunAt = l.Time
		}
	case "end":
		r := d.run(l)
		r.EndedAt, r.Outcome, r.PreemptedFor = l.Time, jobs.RunOutcome(l.Outcome), l.MadeWay
	case "job ended":
		if j, ok := d.jobs[l.Request]; ok && j.EndedAt.IsZero() {
			j.EndedAt, j.Phase = l.Time, jobs.Phase(l.Outcome)
		}
	}
}

func (d *DayLog) call(l line) {
	switch {
	case l.Role == "jobentry" && l.Kind == string(jobs.CallSubmit):
		d.calls[l.Outcome]++
		d.took[l.Request] = time.Duration(l.Took * float64(time.Second))
	case l.Job == "" || l.Kind != string(jobs.CallSubmit) || l.Outcome != string(jobs.Accepted) || l.Tasks == 0:
	case d.jobs[l.Job] == nil:
		d.jobs[l.Job] = &Job{
			ID: l.Job, SubmitRequest: l.Request, Queue: l.Queue, Team: l.Team, AcceptedAt: l.Time, Steps: l.Steps, Tasks: l.Tasks,
			PerTask:     allot.Resources{CPU: l.CPU, Memory: l.Memory, Accels: l.Accels},
			Estimate: time.Duration(l.Estimate) * time.Millisecond, Priority: l.Priority, Slack: l.Slack,
			Target: time.Duration(l.Target) * time.Millisecond, Gang: l.Gang, Compact: l.Compact, Checkpoints: l.Saves,
			DataRack: l.DataRack, Verdicts: map[allot.Verdict]int{}, runs: map[runName]*Run{},
		}
	}
}

func (d *DayLog) run(l line) *Run {
	key := runName{l.Task, l.Run}
	j := d.jobs[l.Request]
	if j == nil {
		return &Run{} // of a job whose acceptance the log doesn't hold
	}
	r, ok := j.runs[key]
	if !ok {
		r = &Run{Task: l.Task, Number: l.Run}
		j.runs[key] = r
	}
	return r
}
