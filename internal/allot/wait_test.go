package allot

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// timeUntilFreeByRecount is timeUntilFree, with the room of all workers counted again after each end.
func timeUntilFreeByRecount(p *planner, step *PendingStep, rack string, tasks int) (time.Duration, bool) {
	type end struct {
		at        time.Duration
		slot      int
		resources Resources
	}
	var ends []end
	free := map[int]Resources{}
	for i := range p.slots {
		s := &p.slots[i]
		if !step.allowed(s.worker) || (rack != "" && s.worker.Rack != rack) {
			continue
		}
		free[i] = s.available()
		for _, r := range s.worker.Runs {
			if !r.LongRunning {
				ends = append(ends, end{r.Remaining, i, r.Resources})
			}
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.slot, b.slot)) })
	for _, e := range ends {
		free[e.slot] = free[e.slot].Plus(e.resources)
		total := 0
		for i, f := range free {
			total += f.CapacityFor(step.Resources, min(tasks, step.limit(p.slots[i].worker)))
		}
		if total >= tasks {
			return e.at, true
		}
	}
	return 0, false
}

// With 240 workers, counting the room of all of them again after each end took most of the leader's
// processor time.
func TestTimeUntilFreeMatchesRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{Now: time.Unix(1, 0)}
		for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
			w := Worker{
				ID: jobs.Worker{Name: fmt.Sprint(i)}, Service: "s", Rack: fmt.Sprint(i / 3), Speed: 1,
				Capacity: Resources{CPU: 16000, Memory: 64, Accels: 8}, Unschedulable: rapid.IntRange(0, 9).Draw(t, "unschedulable") == 0,
			}
			for k := range rapid.IntRange(0, 4).Draw(t, "runs") {
				w.Runs = append(w.Runs, Run{
					Task: jobs.TaskID{Job: fmt.Sprint("run", i, k)}, Resources: Resources{CPU: 1000, Memory: 16, Accels: rapid.Int64Range(0, 4).Draw(t, "accels")},
					Remaining: time.Duration(rapid.IntRange(0, 5).Draw(t, "remaining")) * time.Second, LongRunning: rapid.IntRange(0, 5).Draw(t, "long") == 0,
				})
			}
			in.Workers = append(in.Workers, w)
		}
		step := PendingStep{
			Service: "s", Resources: Resources{CPU: 2000, Memory: rapid.Int64Range(0, 32).Draw(t, "memory"), Accels: rapid.Int64Range(0, 8).Draw(t, "perTask")},
			MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "limit"), Indexes: make([]int, rapid.IntRange(1, 12).Draw(t, "tasks")),
		}
		p := newPlanner(in)
		for _, rack := range p.racksAndAll() {
			wait, ok := p.timeUntilFree(&step, rack, len(step.Indexes))
			expected, expectedOK := timeUntilFreeByRecount(p, &step, rack, len(step.Indexes))
			require.Equal(t, expectedOK, ok, rack)
			require.Equal(t, expected, wait, rack)
		}
	})
}
