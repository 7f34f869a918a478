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

// maxLineBytes is the largest accepted line of a log, in bytes. The lines that the
// processes write are far shorter.
const maxLineBytes = 1 << 20

// ErrEmpty means that the log has no accepted job.
var ErrEmpty = errors.New("the log tells of no accepted job")

// logLine holds the fields of a log line that are used here.
type logLine struct {
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

// Read reads the log lines of all processes of a day, in any order. It ignores
// what precedes the JSON of a line, such as a time and a host, and lines without
// JSON.
func Read(r io.Reader) (*DayLog, error) {
	d := newDayLog()
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		text := sc.Bytes()
		jsonStart := bytes.IndexByte(text, '{')
		if jsonStart < 0 {
			continue
		}
		l := logLine{}
		if err := json.Unmarshal(text[jsonStart:], &l); err != nil {
			d.SkippedLines++
			continue
		}
		d.addLine(l)
	}
	if err := sc.Err(); err != nil {
		return nil, errors.Wrap(err, "diary: read log")
	}
	if len(d.jobsByID) == 0 {
		return nil, ErrEmpty
	}
	d.sortJobs()
	return d, nil
}

// addLine records what a line says.
func (d *DayLog) addLine(l logLine) {
	switch l.Message {
	case "call":
		d.addCall(l)
	case "worker seen":
		d.workers[l.Worker] = true
	case "ruling":
		if j, ok := d.jobsByID[l.Request]; ok {
			j.Verdicts[allot.Verdict(l.Outcome)]++
		}
	case "start":
		d.workerRacks[l.Worker] = l.Rack
		r := d.runFor(l)
		if r.OrderedAt.IsZero() {
			r.OrderedAt, r.Worker, r.DistanceFactor, r.FromStart = l.Time, l.Worker, l.Factor, l.Saved == ""
		}
	case "start answered":
		if l.Outcome == "begun" {
			d.runFor(l).BegunAt = l.Time
		}
	case "end":
		r := d.runFor(l)
		r.EndedAt, r.Outcome, r.PreemptedFor = l.Time, jobs.RunOutcome(l.Outcome), l.MadeWay
	case "job ended":
		if j, ok := d.jobsByID[l.Request]; ok && j.EndedAt.IsZero() {
			j.EndedAt, j.Phase = l.Time, jobs.Phase(l.Outcome)
		}
	}
}

func (d *DayLog) addCall(l logLine) {
	switch {
	case l.Role == "jobentry" && l.Kind == string(jobs.CallSubmit):
		d.submitCalls[l.Outcome]++
		d.submitDurations[l.Request] = time.Duration(l.Took * float64(time.Second))
	case l.Job == "" || l.Kind != string(jobs.CallSubmit) || l.Outcome != string(jobs.Accepted) || l.Tasks == 0:
	case d.jobsByID[l.Job] == nil:
		d.jobsByID[l.Job] = &Job{
			ID: l.Job, SubmitRequest: l.Request, Queue: l.Queue, Team: l.Team, AcceptedAt: l.Time, Steps: l.Steps, Tasks: l.Tasks,
			PerTask:  allot.Resources{CPU: l.CPU, Memory: l.Memory, Accels: l.Accels},
			Estimate: time.Duration(l.Estimate) * time.Millisecond, Priority: l.Priority, Slack: l.Slack,
			Target: time.Duration(l.Target) * time.Millisecond, Gang: l.Gang, Compact: l.Compact, Checkpoints: l.Saves,
			DataRack: l.DataRack, Verdicts: map[allot.Verdict]int{}, runsByKey: map[runKey]*Run{},
		}
	}
}

func (d *DayLog) runFor(l logLine) *Run {
	key := runKey{l.Task, l.Run}
	j := d.jobsByID[l.Request]
	if j == nil {
		return &Run{} // discarded: the acceptance of the job isn't in the log
	}
	r, ok := j.runsByKey[key]
	if !ok {
		r = &Run{Task: l.Task, Number: l.Run}
		j.runsByKey[key] = r
	}
	return r
}
