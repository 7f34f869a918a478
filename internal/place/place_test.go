package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// newWorker returns a ready worker of speed 1. The numbers form the names of the worker, its rack and its
// failure domain.
func newWorker(domain, rack, i, accels int) model.Worker {
	return model.Worker{
		Name: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("k%d", rack), Domain: fmt.Sprintf("d%d", domain), Region: "r",
		Cores: 32, Memory: 1 << 37, Accels: accels, Kind: "a", Speed: 1, State: model.WorkerReady,
	}
}

// someScopeFits reports, by looking at every worker, whether a single scope has room for all members of the
// shape.
func someScopeFits(ws []model.Worker, used map[string]Resources, s model.Shape) bool {
	roomByScope := make(map[string]int)
	for _, w := range ws {
		if w.State != model.WorkerReady || (s.Kind != "" && s.Kind != w.Kind) {
			continue
		}
		key := ScopeOf(s.Proximity, w)
		roomByScope[key] += ResourcesOf(s).FitCount(Capacity(w).Sub(used[w.Name]), s.Members)
		if roomByScope[key] >= s.Members {
			return true
		}
	}
	return false
}

// TestFindIsComplete compares searches of the index with a look at every worker: Find succeeds exactly
// if there is room, and returns only whole gangs within one scope.
func TestFindIsComplete(t *testing.T) {
	proximities := []model.Proximity{model.ProximityWorker, model.ProximityRack, model.ProximityDomain, model.ProximityAny}
	rapid.Check(t, func(t *rapid.T) {
		f := New(rapid.SampledFrom([]Policy{Gradient, BestFit, FirstFit}).Draw(t, "policy"))
		ws := make([]model.Worker, rapid.IntRange(1, 60).Draw(t, "workers"))
		for i := range ws {
			ws[i] = newWorker(i/9, i/3, i, rapid.SampledFrom([]int{0, 4, 8}).Draw(t, "accels"))
			ws[i].Speed = rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "speed")
			ws[i].Kind = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind")
			f.SetWorker(ws[i])
		}
		used := make(map[string]Resources)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s := model.Shape{
				Members:   rapid.IntRange(1, 12).Draw(t, "members"),
				Cores:     rapid.IntRange(0, 16).Draw(t, "cores"),
				Accels:    rapid.IntRange(0, 8).Draw(t, "accels"),
				Memory:    int64(rapid.IntRange(0, 64).Draw(t, "memory")) << 30,
				Proximity: rapid.SampledFrom(proximities).Draw(t, "near"),
				Kind:      rapid.SampledFrom([]string{"", "a"}).Draw(t, "kind"),
			}
			i := rapid.IntRange(0, len(ws)-1).Draw(t, "changed")
			ws[i].State = rapid.SampledFrom([]model.WorkerState{model.WorkerReady, model.WorkerReady, model.WorkerLost}).Draw(t, "state")
			f.SetWorker(ws[i])
			cells, ok := f.Find(Query{Shape: s, View: Unoccupied})
			require.Equal(t, someScopeFits(ws, used, s), ok, "%s on %d workers", s, len(ws))
			require.Equal(t, ok, f.MaxMembers(s) == s.Members)
			require.Equal(t, ok, len(Members(cells)) == s.Members)
			f.Take(Running, cells, ResourcesOf(s))
			scopes := make(map[string]bool)
			for _, c := range cells {
				w, _ := f.Worker(c.Worker)
				scopes[ScopeOf(s.Proximity, w)] = true
				used[c.Worker] = used[c.Worker].Add(ResourcesOf(s).Times(c.Count))
				require.True(t, used[c.Worker].Fits(Capacity(w)), "more is placed on %s than fits", c.Worker)
			}
			require.LessOrEqual(t, len(scopes), 1)
			if rapid.Bool().Draw(t, "release") {
				f.Release(Running, cells, ResourcesOf(s))
				for _, c := range cells {
					used[c.Worker] = used[c.Worker].Sub(ResourcesOf(s).Times(c.Count))
				}
			}
		}
	})
}

// wholeAccels returns how many accelerators can still be used by gangs of 8 on a worker and by pairs of them
// in a rack of two workers.
func wholeAccels(free []int) int {
	sum := 0
	for i := 0; i < len(free); i += 2 {
		a, b := free[i]/8, free[i+1]/8
		sum += 8*(a+b) + 16*(a&b)
	}
	return sum
}

// bestWholeAccels returns the highest value of wholeAccels over all placements of the jobs.
func bestWholeAccels(free, jobs []int) int {
	if len(jobs) == 0 {
		return wholeAccels(free)
	}
	maximum := -1
	for i := range free {
		if free[i] >= jobs[0] {
			free[i] -= jobs[0]
			maximum = max(maximum, bestWholeAccels(free, jobs[1:]))
			free[i] += jobs[0]
		}
	}
	return maximum
}

// freeAccels returns the free accelerators of each worker.
func freeAccels(f *Fleet, ws []model.Worker) []int {
	free := make([]int, len(ws))
	for i, w := range ws {
		free[i] = f.Free(w.Name, Unoccupied).Accels
	}
	return free
}

// greedyWholeAccels places the jobs one by one under the policy and returns the
// value of wholeAccels.
func greedyWholeAccels(t *testing.T, p Policy, ws []model.Worker, taken []Cell, jobs []int) int {
	f := New(p)
	for _, w := range ws {
		f.SetWorker(w)
	}
	f.Take(Running, taken, Resources{Cores: 1, Accels: 1})
	for _, a := range jobs {
		s := model.Shape{Members: 1, Cores: 1, Accels: a, Proximity: model.ProximityWorker}
		cells, ok := f.Find(Query{Shape: s, View: Unoccupied})
		require.True(t, ok)
		f.Take(Running, cells, ResourcesOf(s))
	}
	return wholeAccels(freeAccels(f, ws))
}

// TestNearOptimum compares the room that each policy leaves for large gangs with the optimum over all
// placements, on small fleets.
func TestNearOptimum(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 6))
	var optimum, gradient, bestFit, firstFit int
	for range 150 {
		ws := make([]model.Worker, 6)
		var taken []Cell
		f := New(Gradient)
		for i := range ws {
			ws[i] = newWorker(0, i/2, i, 8)
			f.SetWorker(ws[i])
			if r.IntN(2) == 0 {
				taken = append(taken, Cell{ws[i].Name, 1 + r.IntN(5)})
			}
		}
		f.Take(Running, taken, Resources{Cores: 1, Accels: 1})
		jobs := make([]int, 4)
		for i := range jobs {
			jobs[i] = 1 << r.IntN(3)
		}
		optimum += bestWholeAccels(freeAccels(f, ws), jobs)
		gradient += greedyWholeAccels(t, Gradient, ws, taken, jobs)
		bestFit += greedyWholeAccels(t, BestFit, ws, taken, jobs)
		firstFit += greedyWholeAccels(t, FirstFit, ws, taken, jobs)
	}
	t.Logf("left whole, accelerators: optimum %d, gradient %d, best fit %d, first fit %d", optimum, gradient, bestFit, firstFit)
	require.GreaterOrEqual(t, gradient*100, optimum*95)
	require.Greater(t, gradient, bestFit)
	require.Greater(t, gradient, firstFit)
}
