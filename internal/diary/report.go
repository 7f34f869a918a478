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

// spans are where the time of a job went.
type spans struct {
	accept, queue, order, run, again, notice []time.Duration
}

// Report writes, for each queue, what became of its jobs and where their time
// went: accepting the call, waiting for the first start, the order's way to the
// worker, the last run of the slowest task, everything between first and last
// run, and noticing the end.
func (d *DayLog) Report(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "queue\tpriority\tjobs\tcomplete\tfailed\tcanceled\topen\truns\tmade way\tthrown core-s\taccept\tqueue\torder\trun\tagain\tnotice")
	byQueue := map[string][]*Job{}
	for _, j := range d.Jobs {
		byQueue[j.Queue] = append(byQueue[j.Queue], j)
	}
	for _, q := range slices.Sorted(maps.Keys(byQueue)) {
		d.row(t, q, byQueue[q])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "\nspans: median and 95 of 100, in seconds")
	fmt.Fprint(w, "submitting calls at entries:")
	for _, o := range slices.Sorted(maps.Keys(d.calls)) {
		fmt.Fprintf(w, " %s %d", o, d.calls[o])
	}
	fmt.Fprintln(w, "\n\nlongest from acceptance to end, with what plans decided")
	return d.longest(w)
}

func (d *DayLog) row(t io.Writer, queue string, list []*Job) {
	phases, runs, made, thrown := map[jobs.Phase]int{}, 0, 0, 0.0
	s := spans{}
	for _, j := range list {
		phases[j.Phase]++
		runs += len(j.Runs)
		thrown += j.thrown()
		for _, r := range j.Runs {
			if r.PreemptedFor != "" {
				made++
			}
		}
		d.measure(&s, j)
	}
	fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f", queue, list[0].Priority, len(list),
		phases[jobs.Complete], phases[jobs.Failed], phases[jobs.Canceled], phases[""], runs, made, thrown)
	for _, list := range [][]time.Duration{s.accept, s.queue, s.order, s.run, s.again, s.notice} {
		fmt.Fprintf(t, "\t%s", middle(list))
	}
	fmt.Fprintln(t)
}

func (d *DayLog) measure(s *spans, j *Job) {
	if took, ok := d.took[j.SubmitRequest]; ok {
		s.accept = append(s.accept, took)
	}
	if len(j.Runs) == 0 {
		return
	}
	first := j.Runs[0]
	s.queue = append(s.queue, first.OrderedAt.Sub(j.AcceptedAt))
	last := first
	for _, r := range j.Runs {
		if !r.BegunAt.IsZero() {
			s.order = append(s.order, r.BegunAt.Sub(r.OrderedAt))
		}
		if r.Outcome == jobs.RunDone && r.EndedAt.After(last.EndedAt) {
			last = r
		}
	}
	if last.Outcome != jobs.RunDone {
		return
	}
	s.run = append(s.run, last.EndedAt.Sub(last.OrderedAt))
	s.again = append(s.again, last.OrderedAt.Sub(first.OrderedAt))
	if j.Phase == jobs.Complete && !j.EndedAt.Before(j.lastEnd()) {
		s.notice = append(s.notice, j.EndedAt.Sub(j.lastEnd()))
	}
}

// middle returns the median and the 95th percentile, in seconds.
func middle(list []time.Duration) string {
	if len(list) == 0 {
		return "-"
	}
	slices.Sort(list)
	return fmt.Sprintf("%.2f %.2f", list[len(list)/2].Seconds(), list[len(list)*95/100].Seconds())
}

// longestShown is how many jobs Report tells of one by one.
const longestShown = 12

func (d *DayLog) longest(w io.Writer) error {
	var ended []*Job
	for _, j := range d.Jobs {
		if j.Phase == jobs.Complete {
			ended = append(ended, j)
		}
	}
	slices.SortStableFunc(ended, func(a, b *Job) int { return int(b.EndedAt.Sub(b.AcceptedAt) - a.EndedAt.Sub(a.AcceptedAt)) })
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "job\tqueue\ttasks\taccels\ttook\twaited\truns\tended how\tplans")
	for _, j := range ended[:min(len(ended), longestShown)] {
		hows := map[jobs.RunOutcome]int{}
		waited := time.Duration(0)
		for i, r := range j.Runs {
			hows[r.Outcome]++
			if i == 0 {
				waited = r.OrderedAt.Sub(j.AcceptedAt)
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.2f\t%.2f\t%d\t%s\t%s\n", j.ID, j.Queue, j.Tasks, j.PerTask.Accels,
			j.EndedAt.Sub(j.AcceptedAt).Seconds(), waited.Seconds(), len(j.Runs), counts(hows), counts(j.Verdicts))
	}
	return t.Flush()
}

func counts[K ~string](m map[K]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
