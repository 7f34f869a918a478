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
	rowHeight  = 12   // pixels a worker or job
	leftMargin = 150  // pixels for names
)

// colors are those of runs, by the priority of their job.
var colors = []string{"#c0392b", "#2980b9", "#7f8c8d"}

// Chart draws what the workers were busy with, a row each, and below it each job
// from its acceptance (dot) over its wait (thin) to its end. Runs that came to
// nothing are hollow.
func (d *DayLog) Chart(w io.Writer) {
	from, to := d.Jobs[0].AcceptedAt, d.Jobs[0].AcceptedAt
	for _, j := range d.Jobs {
		for _, r := range j.Runs {
			to = later(to, r.EndedAt)
		}
		to = later(to, j.EndedAt)
	}
	x := func(at time.Time) int {
		part := at.Sub(from).Seconds() / max(to.Sub(from).Seconds(), 0.001)
		return leftMargin + int(part*(chartWidth-leftMargin))
	}
	names := slices.Sorted(maps.Keys(d.workers))
	row := map[string]int{}
	for i, n := range names {
		row[n] = i * rowHeight
	}
	c := svg.New(w)
	c.Start(chartWidth, (len(names)+len(d.Jobs)+2)*rowHeight)
	for _, n := range names {
		c.Text(2, row[n]+rowHeight-3, n, "font-size:9px")
	}
	base := (len(names) + 1) * rowHeight
	for i, j := range d.Jobs {
		color := colors[min(max(j.Priority, 0), len(colors)-1)]
		y := base + i*rowHeight
		c.Text(2, y+rowHeight-3, fmt.Sprintf("%s %d×%d", j.ID, j.Tasks, j.PerTask.Accels), "font-size:9px")
		c.Circle(x(j.AcceptedAt), y+rowHeight/2, 2, "fill:"+color)
		if !j.EndedAt.IsZero() {
			c.Line(x(j.AcceptedAt), y+rowHeight/2, x(j.EndedAt), y+rowHeight/2, "stroke:"+color)
		}
		for _, r := range j.Runs {
			if r.EndedAt.IsZero() {
				continue
			}
			style := "fill-opacity:0.6;fill:" + color
			if r.Outcome != jobs.RunDone {
				style = "fill:none;stroke:" + color
			}
			width := max(1, x(r.EndedAt)-x(r.OrderedAt))
			c.Rect(x(r.OrderedAt), row[r.Worker]+1, width, rowHeight-2, style)
			c.Rect(x(r.OrderedAt), y+3, width, rowHeight-6, style)
		}
	}
	c.End()
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
