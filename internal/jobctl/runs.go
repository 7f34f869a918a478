package jobctl

import (
	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

const (
	// maxWorkerRuns is how many runs one worker gets at a time: as many as the widest job has tasks. It bounds what the
	// agent holds where tasks need next to nothing of the worker.
	maxWorkerRuns = jobs.MaxTasks
	// runBytes is about what the leader holds for a run, besides what the job takes in the storage.
	runBytes = 3 << 10
	// runShare is one over the part of the memory that runs may take.
	runShare = 4
)

// maxRuns returns how many runs there may be at a time, on all workers, for a control host with this memory.
func maxRuns(memory int64) int {
	return int(assumedMemory(memory) / runShare / runBytes)
}

// capacity returns the resources of the worker in the latest report.
func (h *host) capacity() allot.Resources {
	return allot.Resources{CPU: h.report.Cpu, Memory: h.report.Memory, Accels: h.report.Accels, Runs: maxWorkerRuns}
}

// runLimit returns how many runs there may be at a time.
func (l *leader) runLimit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxRuns
}

// checkGangs returns an error if the members of a gang are more than can run at a time.
func (l *leader) checkGangs(s *jobs.Spec) error {
	limit := l.runLimit()
	for i, st := range s.Steps {
		if st.Gang && st.Count > limit {
			return errors.Wrapf(jobs.ErrInvalidJob, "step %d: gang of %d, at most %d tasks run at a time", i, st.Count, limit)
		}
	}
	return nil
}

// limitStarts returns the starts for which there is room among all runs. The others are planned again: those before them
// in the plan take precedence.
func (l *leader) limitStarts(starts []jobs.Start) []jobs.Start {
	left := l.runLimit()
	l.c.state.Read(func(v jobs.View) {
		for _, record := range v.Workers() {
			left -= len(record.Runs)
		}
	})
	var list []jobs.Start
	for _, st := range starts {
		if n := len(st.Placements); n <= left {
			list, left = append(list, st), left-n
		}
	}
	return list
}
