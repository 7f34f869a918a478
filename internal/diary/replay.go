package diary

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/allot/play"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// ReplayParams is what the logs don't tell of the workers, and what the users' sheets say
// of jobs.
type ReplayParams struct {
	WorkerCapacity   allot.Resources    // of each worker
	RemoteFactor float64            // how many times as long work takes far away
	ValueByQueue  map[string]float64 // by queue, of a job of mean size
	LateValueByQueue   map[string]float64 // the same if it is late
	LostWorkCost  float64            // price of a core-second thrown away
}

// workOf works out from the runs of a day how fast its workers were, 1 being
// usual, and how long the tasks of each job take on a usual one.
func (d *DayLog) workOf() (speeds map[jobs.Worker]float64, work map[string]time.Duration) {
	l := allot.NewLearner()
	speeds, work = map[jobs.Worker]float64{}, map[string]time.Duration{}
	each := func(f func(j *Job, r *Run, id jobs.TaskID)) {
		for _, j := range d.Jobs {
			for _, r := range j.Runs {
				id, err := jobs.ParseTaskID(r.Task)
				if err == nil && r.Outcome == jobs.RunDone && r.FromStart && !r.BegunAt.IsZero() && id.Step == 0 {
					f(j, r, id)
				}
			}
		}
	}
	each(func(j *Job, r *Run, id jobs.TaskID) {
		l.LearnEnd(allot.Observation{
			Worker: jobs.Worker{Name: r.Worker}, Task: id, Queue: j.Queue, Outcome: jobs.RunDone, Duration: r.EndedAt.Sub(r.BegunAt),
			DistanceFactor: r.DistanceFactor, FromStart: true, SingleWorker: !j.Gang,
		}, r.EndedAt)
	})
	for w := range d.workers {
		id := jobs.Worker{Name: w}
		speeds[id] = l.Speed(id)
	}
	slowest := map[string]float64{}
	each(func(j *Job, r *Run, _ jobs.TaskID) {
		s := speeds[jobs.Worker{Name: r.Worker}]
		if was, ok := slowest[j.ID]; s > 0 && (!ok || s < was) {
			slowest[j.ID] = s
			work[j.ID] = time.Duration(r.EndedAt.Sub(r.BegunAt).Seconds() * s / r.DistanceFactor * float64(time.Second))
		}
	})
	return speeds, work
}

// Scenario turns the day into one that decisions can be played on. Of jobs of
// several steps only the first is played; jobs of which nothing ended well are
// left out, and so are those that were cancelled: nobody waits for them.
func (d *DayLog) Scenario(f ReplayParams) play.Scenario {
	speeds, work := d.workOf()
	out := play.Scenario{Speeds: speeds, Guarantees: map[string]int64{}, RemoteFactor: f.RemoteFactor, LostWorkCost: f.LostWorkCost, StopDelay: 300 * time.Millisecond}
	for w, s := range speeds {
		if s > 0 {
			out.Workers = append(out.Workers, allot.Worker{
				ID: w, Host: w.Name, Service: "s", Rack: d.racks[w.Name], Labels: []string{"a"}, Capacity: f.WorkerCapacity, Speed: 1,
			})
		}
	}
	slices.SortFunc(out.Workers, func(a, b allot.Worker) int { return cmp.Compare(a.ID.Name, b.ID.Name) })
	for _, j := range d.Jobs {
		if work[j.ID] <= 0 || j.Phase == jobs.Canceled {
			continue
		}
		out.Jobs = append(out.Jobs, play.Job{
			ID: j.ID, Arrival: j.AcceptedAt.Sub(d.Jobs[0].AcceptedAt), Queue: j.Queue, Team: j.Team, Priority: j.Priority,
			Tasks: first(j), PerTask: j.PerTask, Duration: work[j.ID], Estimate: j.Estimate, Gang: j.Gang, Compact: j.Compact,
			Checkpoints: j.Checkpoints, DataRack: j.DataRack, Slack: j.Slack, Target: j.Target,
			Value: f.worth(f.ValueByQueue, j.Queue), LateValue: f.worth(f.LateValueByQueue, j.Queue),
		})
	}
	out.ScaleValues()
	return out
}

func (f ReplayParams) worth(by map[string]float64, queue string) float64 {
	if w, ok := by[queue]; ok {
		return w
	}
	return 1
}

// first returns how many tasks the first step of a job has.
func first(j *Job) int {
	n := 0
	for _, r := range j.Runs {
		if id, err := jobs.ParseTaskID(r.Task); err == nil && id.Step == 0 {
			n = max(n, id.Index+1)
		}
	}
	return n
}

// UpperBounds returns what could be earned at most: each job alone on the fastest
// workers, nothing waiting for anything; and all of them within the room and time
// that there are, what earns most for its work first. Both are above what any
// order can reach.
func UpperBounds(d play.Scenario, queue string) (alone, room float64) {
	fastest, speed, size := 0.0, 0.0, 0.0
	for _, w := range d.Workers {
		fastest = max(fastest, d.Speeds[w.ID])
		speed += d.Speeds[w.ID]
		size += float64(w.Capacity.Accels) * d.Speeds[w.ID]
	}
	list := slices.Clone(d.Jobs)
	per := func(j play.Job) float64 {
		return j.Value / max(j.Duration.Seconds()*float64(j.Tasks)*float64(j.PerTask.Accels), math.SmallestNonzeroFloat64)
	}
	slices.SortStableFunc(list, func(a, b play.Job) int { return -cmp.Compare(per(a), per(b)) })
	end := time.Duration(0)
	for _, j := range list {
		end = max(end, j.Arrival+j.Objective())
	}
	left, most := size*end.Seconds(), 0.0
	for _, j := range list {
		got := j.Value
		if took := time.Duration(float64(j.Duration) / max(fastest, 0.01)); took > j.Objective() {
			got = j.LateValue
		}
		needs := j.Duration.Seconds() * float64(j.Tasks) * float64(j.PerTask.Accels)
		part := 1.0
		if needs > 0 {
			part = min(1, max(0, left)/needs)
		}
		left -= needs
		if queue != "" && j.Queue != queue {
			continue
		}
		most += j.Value
		alone += got
		room += got * part
	}
	if most == 0 {
		return 1, 1
	}
	return alone / most, room / most
}

// sizes are the parts of a queue's jobs by their work, largest first.
var sizes = []struct {
	name     string
	from, to float64
}{{"largest tenth", 0, 0.1}, {"next fifth", 0.1, 0.3}, {"the rest", 0.3, 1}}

// Compare plays the day with the decisions of today and with baselines, and
// writes what callers got of the bounds, by queue and size of job.
func Compare(w io.Writer, d play.Scenario, grace time.Duration) error {
	policies := []struct {
		name   string
		decide play.Policy
	}{{"today's", allot.MakePlan}, {"first come", play.FirstComeFirstServed}, {"least work", play.LeastWorkFirst}, {"priority", play.HighestPriorityFirst}}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "decisions\tqueue\tjobs\tserved\tof bound\tbound alone\tbound room\t"+sizeNames()+"\tthrown core-s")
	for _, p := range policies {
		r := play.Simulate(d, p.decide, grace)
		for _, q := range append(queues(d), "") {
			alone, room := UpperBounds(d, q)
			name := q
			if q == "" {
				name = "all"
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%.0f\n", p.name, name, count(d, q), r.ValueShare(q),
				r.ValueShare(q)/max(room, 0.001), alone, room, bySize(r, q), r.LostWork)
		}
	}
	return t.Flush()
}

func sizeNames() string {
	var names []string
	for _, s := range sizes {
		names = append(names, s.name)
	}
	return strings.Join(names, "\t")
}

func queues(d play.Scenario) []string {
	var list []string
	for _, j := range d.Jobs {
		if !slices.Contains(list, j.Queue) {
			list = append(list, j.Queue)
		}
	}
	slices.Sort(list)
	return list
}

func count(d play.Scenario, queue string) int {
	n := 0
	for _, j := range d.Jobs {
		if queue == "" || j.Queue == queue {
			n++
		}
	}
	return n
}

// bySize returns what the jobs of each size got.
func bySize(r play.Result, queue string) string {
	var list []play.JobResult
	for _, o := range r.Jobs {
		if queue == "" || o.Job.Queue == queue {
			list = append(list, o)
		}
	}
	slices.SortStableFunc(list, func(a, b play.JobResult) int { return -cmp.Compare(a.Job.CoreSeconds(), b.Job.CoreSeconds()) })
	var cells []string
	for _, s := range sizes {
		part := list[int(s.from*float64(len(list))):int(math.Ceil(s.to*float64(len(list))))]
		got, most := 0.0, 0.0
		for _, o := range part {
			got += o.EarnedValue()
			most += o.Job.Value
		}
		cells = append(cells, fmt.Sprintf("%.3f", got/max(most, 0.001)))
	}
	return strings.Join(cells, "\t")
}
