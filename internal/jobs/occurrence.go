package jobs

// Occurrence is the progress of one occurrence of a job.
type Occurrence struct {
	Steps []StepRecord `json:"steps"` // by index in Spec.Steps
}

// newOccurrence returns an occurrence in which no task has started.
func newOccurrence(s *Spec) *Occurrence {
	o := &Occurrence{Steps: make([]StepRecord, len(s.Steps))}
	for i, st := range s.Steps {
		o.Steps[i].Tasks = make([]Task, st.Count)
	}
	return o
}

// StepReady reports whether all steps that a step depends on are done.
func (o *Occurrence) StepReady(s *Spec, step int) bool {
	for _, dep := range s.Steps[step].DependsOn {
		if o.Steps[dep].TasksDone < s.Steps[dep].Count {
			return false
		}
	}
	return true
}

// finished reports whether all steps are done.
func (o *Occurrence) finished(s *Spec) bool {
	for i, st := range s.Steps {
		if o.Steps[i].TasksDone < st.Count {
			return false
		}
	}
	return true
}

// hasRuns reports whether the end of a run isn't recorded yet.
func (o *Occurrence) hasRuns() bool {
	for _, r := range o.Steps {
		for _, t := range r.Tasks {
			if !t.Worker.Zero() {
				return true
			}
		}
	}
	return false
}

// OccurrenceFinished reports whether occurrence k is finished and has no record any more.
func (j *Job) OccurrenceFinished(k int) bool { return k < j.FinishedBefore || j.Finished[k] }

// occurrence returns occurrence k. It creates it on first use.
func (j *Job) occurrence(k int) *Occurrence {
	o, ok := j.Occurrences[k]
	if !ok {
		o = newOccurrence(j.Spec)
		if j.Occurrences == nil {
			j.Occurrences = map[int]*Occurrence{}
		}
		j.Occurrences[k] = o
	}
	return o
}

// dropFinished drops the record of occurrence k of a repeated job if it is finished and all of its runs have ended.
func (j *Job) dropFinished(k int) {
	o, ok := j.Occurrences[k]
	if !ok || j.Spec.RepeatCount == 0 || !o.finished(j.Spec) || o.hasRuns() {
		return
	}
	delete(j.Occurrences, k)
	if j.Finished == nil {
		j.Finished = map[int]bool{}
	}
	j.Finished[k] = true
	for j.Finished[j.FinishedBefore] {
		delete(j.Finished, j.FinishedBefore)
		j.FinishedBefore++
	}
}

// countFinished returns the number of finished occurrences.
func (j *Job) countFinished() int {
	n := j.FinishedBefore + len(j.Finished)
	for _, o := range j.Occurrences {
		if o.finished(j.Spec) {
			n++
		}
	}
	return n
}
