package diary

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// phaseDurations holds the durations of the phases of the jobs of a queue.
type phaseDurations struct {
	accept, queue, delivery, run, restarts, endDetection []time.Duration
}

// Report writes, for each queue, the numbers of its jobs by outcome and the
// durations of their phases: accepting the call, waiting for the first start,
// delivering a start order to the worker, the run that completed last, the time
// from the first start to the start of that run, and detecting the end. Then it
// lists the jobs that took longest.
func (d *DayLog) Report(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "queue\tpriority\tjobs\tcomplete\tfailed\tcanceled\topen\truns\tmade way\tthrown core-s\taccept\tqueue\torder\trun\tagain\tnotice")
	byQueue := map[string][]*Job{}
	for _, j := range d.Jobs {
		byQueue[j.Queue] = append(byQueue[j.Queue], j)
	}
	for _, q := range slices.Sorted(maps.Keys(byQueue)) {
		d.writeRow(table, q, byQueue[q])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "\nspans: median and 95 of 100, in seconds")
	fmt.Fprint(w, "submitting calls at entries:")
	for _, o := range slices.Sorted(maps.Keys(d.submitCalls)) {
		fmt.Fprintf(w, " %s %d", o, d.submitCalls[o])
	}
	fmt.Fprintln(w, "\n\nlongest from acceptance to end, with what plans decided")
	return d.writeLongest(w)
}

func (d *DayLog) writeRow(table io.Writer, queue string, list []*Job) {
	phases, runs, preempted, lostWork := map[jobs.Phase]int{}, 0, 0, 0.0
	durations := phaseDurations{}
	for _, j := range list {
		phases[j.Phase]++
		runs += len(j.Runs)
		lostWork += j.lostCoreSeconds()
		for _, r := range j.Runs {
			if r.PreemptedFor != "" {
				preempted++
			}
		}
		d.addDurations(&durations, j)
	}
	fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f", queue, list[0].Priority, len(list),
		phases[jobs.Complete], phases[jobs.Failed], phases[jobs.Canceled], phases[""], runs, preempted, lostWork)
	for _, list := range [][]time.Duration{durations.accept, durations.queue, durations.delivery, durations.run, durations.restarts, durations.endDetection} {
		fmt.Fprintf(table, "\t%s", medianAndP95(list))
	}
	fmt.Fprintln(table)
}

func (d *DayLog) addDurations(durations *phaseDurations, j *Job) {
	if took, ok := d.submitDurations[j.SubmitRequest]; ok {
		durations.accept = append(durations.accept, took)
	}
	if len(j.Runs) == 0 {
		return
	}
	first := j.Runs[0]
	durations.queue = append(durations.queue, first.OrderedAt.Sub(j.AcceptedAt))
	last := first
	for _, r := range j.Runs {
		if !r.BegunAt.IsZero() {
			durations.delivery = append(durations.delivery, r.BegunAt.Sub(r.OrderedAt))
		}
		if r.Outcome == jobs.RunDone && r.EndedAt.After(last.EndedAt) {
			last = r
		}
	}
	if last.Outcome != jobs.RunDone {
		return
	}
	durations.run = append(durations.run, last.EndedAt.Sub(last.OrderedAt))
	durations.restarts = append(durations.restarts, last.OrderedAt.Sub(first.OrderedAt))
	if j.Phase == jobs.Complete && !j.EndedAt.Before(j.lastRunEnd()) {
		durations.endDetection = append(durations.endDetection, j.EndedAt.Sub(j.lastRunEnd()))
	}
}

// medianAndP95 returns the median and the 95th percentile in seconds, or "-" if the
// list is empty.
func medianAndP95(list []time.Duration) string {
	if len(list) == 0 {
		return "-"
	}
	slices.Sort(list)
	return fmt.Sprintf("%.2f %.2f", list[len(list)/2].Seconds(), list[len(list)*95/100].Seconds())
}

// maxLongestJobs is the number of jobs in the list of the longest jobs.
const maxLongestJobs = 12

func (d *DayLog) writeLongest(w io.Writer) error {
	var completed []*Job
	for _, j := range d.Jobs {
		if j.Phase == jobs.Complete {
			completed = append(completed, j)
		}
	}
	slices.SortStableFunc(completed, func(a, b *Job) int { return int(b.EndedAt.Sub(b.AcceptedAt) - a.EndedAt.Sub(a.AcceptedAt)) })
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "job\tqueue\ttasks\taccels\ttook\twaited\truns\tended how\tplans")
	for _, j := range completed[:min(len(completed), maxLongestJobs)] {
		outcomes := map[jobs.RunOutcome]int{}
		waited := time.Duration(0)
		for i, r := range j.Runs {
			outcomes[r.Outcome]++
			if i == 0 {
				waited = r.OrderedAt.Sub(j.AcceptedAt)
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.2f\t%.2f\t%d\t%s\t%s\n", j.ID, j.Queue, j.Tasks, j.PerTask.Accels,
			j.EndedAt.Sub(j.AcceptedAt).Seconds(), waited.Seconds(), len(j.Runs), formatCounts(outcomes), formatCounts(j.Verdicts))
	}
	return table.Flush()
}

func formatCounts[K ~string](m map[K]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
