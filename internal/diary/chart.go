package diary

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	svg "github.com/ajstarks/svgo"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

const (
	chartWidth = 1400 // pixels
	rowHeight  = 12   // pixels per worker or job
	leftMargin = 150  // pixels for the names
)

// priorityColors are the colors of runs, by the priority of their job.
var priorityColors = []string{"#c0392b", "#2980b9", "#7f8c8d"}

// Chart writes an SVG chart with one row for each worker and, below them, one for
// each job. The row of a job has a dot at its acceptance, a thin line from there to
// its end, and a bar for each run. Runs that didn't complete are drawn as outlines.
func (d *DayLog) Chart(w io.Writer) {
	start, end := d.Jobs[0].AcceptedAt, d.Jobs[0].AcceptedAt
	for _, j := range d.Jobs {
		for _, r := range j.Runs {
			end = laterTime(end, r.EndedAt)
		}
		end = laterTime(end, j.EndedAt)
	}
	xAt := func(at time.Time) int {
		fraction := at.Sub(start).Seconds() / max(end.Sub(start).Seconds(), 0.001)
		return leftMargin + int(fraction*(chartWidth-leftMargin))
	}
	workers := slices.Sorted(maps.Keys(d.workers))
	workerTop := map[string]int{}
	for i, n := range workers {
		workerTop[n] = i * rowHeight
	}
	canvas := svg.New(w)
	canvas.Start(chartWidth, (len(workers)+len(d.Jobs)+2)*rowHeight)
	for _, n := range workers {
		canvas.Text(2, workerTop[n]+rowHeight-3, n, "font-size:9px")
	}
	jobsTop := (len(workers) + 1) * rowHeight
	for i, j := range d.Jobs {
		color := priorityColors[min(max(j.Priority, 0), len(priorityColors)-1)]
		top := jobsTop + i*rowHeight
		canvas.Text(2, top+rowHeight-3, fmt.Sprintf("%s %d×%d", j.ID, j.Tasks, j.PerTask.Accels), "font-size:9px")
		canvas.Circle(xAt(j.AcceptedAt), top+rowHeight/2, 2, "fill:"+color)
		if !j.EndedAt.IsZero() {
			canvas.Line(xAt(j.AcceptedAt), top+rowHeight/2, xAt(j.EndedAt), top+rowHeight/2, "stroke:"+color)
		}
		for _, r := range j.Runs {
			if r.EndedAt.IsZero() {
				continue
			}
			style := "fill-opacity:0.6;fill:" + color
			if r.Outcome != jobs.RunDone {
				style = "fill:none;stroke:" + color
			}
			width := max(1, xAt(r.EndedAt)-xAt(r.OrderedAt))
			canvas.Rect(xAt(r.OrderedAt), workerTop[r.Worker]+1, width, rowHeight-2, style)
			canvas.Rect(xAt(r.OrderedAt), top+3, width, rowHeight-6, style)
		}
	}
	canvas.End()
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
