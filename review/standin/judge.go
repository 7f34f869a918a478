package main

import "fmt"

// interval is the time during which a run worked on one life of a worker.
type interval struct {
	who      string
	born     int64
	run      int
	from, to int64 // Unix microseconds; to is 0 while it works
	how      string
	task     string
}

// intervals returns the runs of each task. A run ends when its worker lists the end, or when its
// worker was killed.
func intervals(list []event) map[string][]*interval {
	byTask := map[string][]*interval{}
	open := map[string]map[runKey]*interval{} // by worker
	for _, e := range list {
		switch e.What {
		case "start":
			iv := &interval{who: e.Who, born: e.Born, run: e.Run, from: e.At, task: e.Task}
			byTask[e.Task] = append(byTask[e.Task], iv)
			if open[e.Who] == nil {
				open[e.Who] = map[runKey]*interval{}
			}
			open[e.Who][runKey{e.Task, e.Run}] = iv
		case "end":
			if iv := open[e.Who][runKey{e.Task, e.Run}]; iv != nil {
				iv.to, iv.how = e.At, e.Detail
				delete(open[e.Who], runKey{e.Task, e.Run})
			}
		case "killed":
			for key, iv := range open[e.Who] {
				iv.to, iv.how = e.At, "killed"
				delete(open[e.Who], key)
			}
		}
	}
	return byTask
}

// minOverlap is the least time in microseconds that counts as two runs at the same time.
const minOverlap = 100_000

// twice returns the tasks of which two runs worked at the same time.
func twice(list []event, began int64) []string {
	var found []string
	last := list[len(list)-1].At
	for task, ivs := range intervals(list) {
		for i, a := range ivs {
			for _, b := range ivs[i+1:] {
				from, to := max(a.from, b.from), min(end(a, last), end(b, last))
				if to-from < minOverlap {
					continue
				}
				found = append(found, fmt.Sprintf("TWICE: task %s worked on %s (born %d, run %d, %s) and on %s (born %d, run %d, %s) at the same time for %.2f s from %.3f s on",
					task, a.who, a.born, a.run, a.how, b.who, b.born, b.run, b.how, float64(to-from)/1e6, float64(from-began)/1e6))
			}
		}
	}
	return found
}

// startedAfterDone returns the tasks of which a run was started after an earlier run had ended as done, if
// that end was taken note of before or afterwards, without a lapse of the lease in between.
func startedAfterDone(list []event, began int64) []string {
	type done struct {
		e     event
		noted bool
	}
	ends := map[runKey]*done{}
	byTask := map[string][]*done{}
	for _, e := range list {
		key := runKey{e.Task, e.Run}
		switch {
		case e.What == "end" && e.Detail == "done":
			ends[key] = &done{e: e}
			byTask[e.Task] = append(byTask[e.Task], ends[key])
		case e.What == "noted" && ends[key] != nil:
			ends[key].noted = true
		}
	}
	var found []string
	for _, e := range list {
		if e.What != "start" {
			continue
		}
		for _, d := range byTask[e.Task] {
			if d.noted && d.e.At < e.At {
				found = append(found, fmt.Sprintf("TWICE: run %d of task %s ended as done on %s at %.3f s, and that end was taken note of; run %d was started on %s at %.3f s",
					d.e.Run, e.Task, d.e.Who, float64(d.e.At-began)/1e6, e.Run, e.Who, float64(e.At-began)/1e6))
				break
			}
		}
	}
	return found
}

func end(iv *interval, last int64) int64 {
	if iv.to == 0 {
		return last
	}
	return iv.to
}
