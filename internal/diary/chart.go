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

// colors are the colors of runs, by the priority of their job.
var colors = []string{"#c0392b", "#2980b9", "#7f8c8d"}

// Chart writes an SVG chart with one row for each worker and, below them, one for
// each job. The row of a job has a dot at its acceptance, a thin line from there to
// its end, and a bar for each run. Runs that didn't complete are drawn as outlines.
func (d *Day) Chart(w io.Writer) {
	from, to := d.Jobs[0].Accepted, d.Jobs[0].Accepted
	for _, j := range d.Jobs {
		for _, r := range j.Runs {
			to = later(to, r.Ended)
		}
		to = later(to, j.Ended)
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
		c.Text(2, y+rowHeight-3, fmt.Sprintf("%s %d×%d", j.ID, j.Tasks, j.Room.Accels), "font-size:9px")
		c.Circle(x(j.Accepted), y+rowHeight/2, 2, "fill:"+color)
		if !j.Ended.IsZero() {
			c.Line(x(j.Accepted), y+rowHeight/2, x(j.Ended), y+rowHeight/2, "stroke:"+color)
		}
		for _, r := range j.Runs {
			if r.Ended.IsZero() {
				continue
			}
			style := "fill-opacity:0.6;fill:" + color
			if r.How != jobs.RunDone {
				style = "fill:none;stroke:" + color
			}
			width := max(1, x(r.Ended)-x(r.Ordered))
			c.Rect(x(r.Ordered), row[r.Worker]+1, width, rowHeight-2, style)
			c.Rect(x(r.Ordered), y+3, width, rowHeight-6, style)
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
