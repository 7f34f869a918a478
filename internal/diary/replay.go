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

// ReplayParams holds the parameters of a replay that aren't in the logs: the
// capacity of workers and the values of jobs.
type ReplayParams struct {
	WorkerCapacity   allot.Resources    // capacity of each worker
	RemoteFactor     float64            // factor by which work takes longer across racks or far from its data
	ValueByQueue     map[string]float64 // value of a job of mean size, by queue
	LateValueByQueue map[string]float64 // value of such a job if it is late, by queue
	LostWorkCost     float64            // cost of a core-second of lost work
}

// estimateWork estimates the speeds of the workers, relative to the usual speed 1,
// and how long the tasks of each job take at that speed. It uses the completed runs
// of first steps that began at the start of their task.
func (d *DayLog) estimateWork() (speeds map[jobs.Worker]float64, taskDurations map[string]time.Duration) {
	learner := allot.NewLearner()
	speeds, taskDurations = map[jobs.Worker]float64{}, map[string]time.Duration{}
	eachFullRun := func(visit func(j *Job, r *Run, id jobs.TaskID)) {
		for _, j := range d.Jobs {
			for _, r := range j.Runs {
				id, err := jobs.ParseTaskID(r.Task)
				if err == nil && r.Outcome == jobs.RunDone && r.FromStart && !r.BegunAt.IsZero() && id.Step == 0 {
					visit(j, r, id)
				}
			}
		}
	}
	eachFullRun(func(j *Job, r *Run, id jobs.TaskID) {
		learner.LearnEnd(allot.Observation{
			Worker: jobs.Worker{Name: r.Worker}, Task: id, Queue: j.Queue, Outcome: jobs.RunDone, Duration: r.EndedAt.Sub(r.BegunAt),
			DistanceFactor: r.DistanceFactor, FromStart: true, SingleWorker: !j.Gang,
		}, r.EndedAt)
	})
	for w := range d.workers {
		id := jobs.Worker{Name: w}
		speeds[id] = learner.Speed(id)
	}
	slowestSpeeds := map[string]float64{}
	eachFullRun(func(j *Job, r *Run, _ jobs.TaskID) {
		speed := speeds[jobs.Worker{Name: r.Worker}]
		if slowest, ok := slowestSpeeds[j.ID]; speed > 0 && (!ok || speed < slowest) {
			slowestSpeeds[j.ID] = speed
			taskDurations[j.ID] = time.Duration(r.EndedAt.Sub(r.BegunAt).Seconds() * speed / r.DistanceFactor * float64(time.Second))
		}
	})
	return speeds, taskDurations
}

// Scenario returns the day as a scenario for simulations. Of jobs with several
// steps only the first step is simulated. Jobs without a completed run are left
// out, and so are cancelled jobs, because nobody waits for them.
func (d *DayLog) Scenario(params ReplayParams) play.Scenario {
	speeds, taskDurations := d.estimateWork()
	scenario := play.Scenario{Speeds: speeds, Guarantees: map[string]int64{}, RemoteFactor: params.RemoteFactor, LostWorkCost: params.LostWorkCost, StopDelay: 300 * time.Millisecond}
	for w, speed := range speeds {
		if speed > 0 {
			scenario.Workers = append(scenario.Workers, allot.Worker{
				ID: w, Host: w.Name, Service: "s", Rack: d.workerRacks[w.Name], Labels: []string{"a"}, Capacity: params.WorkerCapacity, Speed: 1,
			})
		}
	}
	slices.SortFunc(scenario.Workers, func(a, b allot.Worker) int { return cmp.Compare(a.ID.Name, b.ID.Name) })
	for _, j := range d.Jobs {
		if taskDurations[j.ID] <= 0 || j.Phase == jobs.Canceled {
			continue
		}
		scenario.Jobs = append(scenario.Jobs, play.Job{
			ID: j.ID, Arrival: j.AcceptedAt.Sub(d.Jobs[0].AcceptedAt), Queue: j.Queue, Team: j.Team, Priority: j.Priority,
			Tasks: firstStepTasks(j), PerTask: j.PerTask, Duration: taskDurations[j.ID], Estimate: j.Estimate, Gang: j.Gang, Compact: j.Compact,
			Checkpoints: j.Checkpoints, DataRack: j.DataRack, Slack: j.Slack, Target: j.Target,
			Value: params.valueFor(params.ValueByQueue, j.Queue), LateValue: params.valueFor(params.LateValueByQueue, j.Queue),
		})
	}
	scenario.ScaleValues()
	return scenario
}

func (p ReplayParams) valueFor(valueByQueue map[string]float64, queue string) float64 {
	if value, ok := valueByQueue[queue]; ok {
		return value
	}
	return 1
}

// firstStepTasks returns the number of tasks of the first step of a job.
func firstStepTasks(j *Job) int {
	n := 0
	for _, r := range j.Runs {
		if id, err := jobs.ParseTaskID(r.Task); err == nil && id.Step == 0 {
			n = max(n, id.Index+1)
		}
	}
	return n
}

// UpperBounds returns two upper bounds of the share of the jobs' value that any
// policy can earn: aloneShare is the share if each job ran on the fastest worker
// without waiting; capacityShare is the share if the jobs also had to fit into the
// total capacity until the last objective, those with the highest value for their
// work first. If queue isn't empty, only its jobs count.
func UpperBounds(scenario play.Scenario, queue string) (aloneShare, capacityShare float64) {
	fastestSpeed, totalSpeed, accelSpeed := 0.0, 0.0, 0.0
	for _, w := range scenario.Workers {
		fastestSpeed = max(fastestSpeed, scenario.Speeds[w.ID])
		totalSpeed += scenario.Speeds[w.ID]
		accelSpeed += float64(w.Capacity.Accels) * scenario.Speeds[w.ID]
	}
	byValue := slices.Clone(scenario.Jobs)
	valuePerWork := func(j play.Job) float64 {
		return j.Value / max(j.Duration.Seconds()*float64(j.Tasks)*float64(j.PerTask.Accels), math.SmallestNonzeroFloat64)
	}
	slices.SortStableFunc(byValue, func(a, b play.Job) int { return -cmp.Compare(valuePerWork(a), valuePerWork(b)) })
	end := time.Duration(0)
	for _, j := range byValue {
		end = max(end, j.Arrival+j.Objective())
	}
	remaining, totalValue := accelSpeed*end.Seconds(), 0.0
	for _, j := range byValue {
		earned := j.Value
		if duration := time.Duration(float64(j.Duration) / max(fastestSpeed, 0.01)); duration > j.Objective() {
			earned = j.LateValue
		}
		work := j.Duration.Seconds() * float64(j.Tasks) * float64(j.PerTask.Accels)
		fraction := 1.0
		if work > 0 {
			fraction = min(1, max(0, remaining)/work)
		}
		remaining -= work
		if queue != "" && j.Queue != queue {
			continue
		}
		totalValue += j.Value
		aloneShare += earned
		capacityShare += earned * fraction
	}
	if totalValue == 0 {
		return 1, 1
	}
	return aloneShare / totalValue, capacityShare / totalValue
}

// sizeGroups are the groups of a queue's jobs by their work, largest first.
var sizeGroups = []struct {
	name     string
	from, to float64
}{{"largest tenth", 0, 0.1}, {"next fifth", 0.1, 0.3}, {"the rest", 0.3, 1}}

// Compare simulates the day with the current policy and with baselines, and
// writes the share of the value that each earns, by queue and size of job, beside
// the bounds.
func Compare(w io.Writer, scenario play.Scenario, grace time.Duration) error {
	policies := []struct {
		name   string
		decide play.Policy
	}{{"today's", allot.MakePlan}, {"first come", play.FirstComeFirstServed}, {"least work", play.LeastWorkFirst}, {"priority", play.HighestPriorityFirst}}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "decisions\tqueue\tjobs\tserved\tof bound\tbound alone\tbound room\t"+sizeHeadings()+"\tthrown core-s")
	for _, p := range policies {
		result := play.Simulate(scenario, p.decide, grace)
		for _, queue := range append(queueNames(scenario), "") {
			aloneShare, capacityShare := UpperBounds(scenario, queue)
			name := queue
			if queue == "" {
				name = "all"
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%.0f\n", p.name, name, countJobs(scenario, queue), result.ValueShare(queue),
				result.ValueShare(queue)/max(capacityShare, 0.001), aloneShare, capacityShare, valueShareBySize(result, queue), result.LostWork)
		}
	}
	return table.Flush()
}

func sizeHeadings() string {
	var names []string
	for _, s := range sizeGroups {
		names = append(names, s.name)
	}
	return strings.Join(names, "\t")
}

func queueNames(scenario play.Scenario) []string {
	var list []string
	for _, j := range scenario.Jobs {
		if !slices.Contains(list, j.Queue) {
			list = append(list, j.Queue)
		}
	}
	slices.Sort(list)
	return list
}

func countJobs(scenario play.Scenario, queue string) int {
	n := 0
	for _, j := range scenario.Jobs {
		if queue == "" || j.Queue == queue {
			n++
		}
	}
	return n
}

// valueShareBySize returns the earned share of the value for each group of sizes.
func valueShareBySize(result play.Result, queue string) string {
	var results []play.JobResult
	for _, o := range result.Jobs {
		if queue == "" || o.Job.Queue == queue {
			results = append(results, o)
		}
	}
	slices.SortStableFunc(results, func(a, b play.JobResult) int { return -cmp.Compare(a.Job.CoreSeconds(), b.Job.CoreSeconds()) })
	var cells []string
	for _, s := range sizeGroups {
		group := results[int(s.from*float64(len(results))):int(math.Ceil(s.to*float64(len(results))))]
		earned, total := 0.0, 0.0
		for _, o := range group {
			earned += o.EarnedValue()
			total += o.Job.Value
		}
		cells = append(cells, fmt.Sprintf("%.3f", earned/max(total, 0.001)))
	}
	return strings.Join(cells, "\t")
}
