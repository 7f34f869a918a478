package sched_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/knapweedlug/knapweedlug/internal/sched"
	"github.com/knapweedlug/knapweedlug/internal/sched/drive"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	tasksPerWorker = 160_000.0 / 13_000
	teamsPerWorker = 410.0 / 13_000
	begin          = 1_700_000_000
)

// busy is a scheduler with a fleet that is running jobs.
type busy struct {
	s     *sched.Sched
	r     *rand.Rand
	now   time.Time
	teams int
	seq   int
	live  []model.Job
	at    map[string]int // index in live by job
	wait  map[string]model.Job
}

// newBusy returns a fleet of n workers filled with tasks and gangs, with one
// guarantee for each team.
func newBusy(n int) (*busy, []model.Worker) {
	f := &busy{
		s: sched.New(sched.Options{}), r: rand.New(rand.NewPCG(6, 6)), now: time.Unix(begin, 0),
		teams: max(int(float64(n)*teamsPerWorker), 4), at: make(map[string]int), wait: make(map[string]model.Job),
	}
	ws := drive.Planned(n)
	if n <= 10 {
		ws = drive.Today()
	}
	for _, w := range ws {
		f.s.SetWorker(w, f.now)
	}
	for i := range f.teams {
		f.s.SetTeam(model.Team{Name: fmt.Sprintf("t%d", i), Weight: 1, Guarantees: []model.Guarantee{{
			Shape: model.Shape{Members: 1, Cores: 16, Memory: 32 << 30, Accels: 8, Near: model.NearWorker}, Count: 1,
		}}}, f.now)
	}
	for i := 0; float64(i) < float64(n)*tasksPerWorker; {
		j := f.submit()
		i += j.Shape.Members
		if f.seq%256 == 0 {
			f.decide()
		}
	}
	for range 8 {
		f.decide()
	}
	return f, ws
}

// submit adds a random task without accelerators or, one time in forty, a random
// gang.
func (f *busy) submit() model.Job {
	f.seq++
	j := model.Job{
		ID: fmt.Sprintf("j%07d", f.seq), Team: fmt.Sprintf("t%d", f.r.IntN(f.teams)), Urgency: model.Normal,
		EstimateMs: int64(1000 * (60 + f.r.IntN(36000))), Stoppable: f.r.IntN(10) < 7, State: model.JobQueued, Submitted: f.now,
		Shape: model.Shape{Members: 1, Cores: 1 + f.r.IntN(3), Memory: 4 << 30, Near: model.NearWorker},
	}
	if f.r.IntN(40) == 0 {
		size := drive.PlannedSizes[f.r.IntN(len(drive.PlannedSizes))]
		j.Shape = model.Shape{Members: size.Members, Accels: size.Accels, Cores: 2 * size.Accels, Memory: 8 << 30, Near: size.Near}
	}
	f.wait[j.ID] = j
	f.s.SetJob(j, f.now)
	return j
}

func (f *busy) decide() time.Duration {
	f.now = f.now.Add(time.Second)
	start := threadTime()
	ds := f.s.Decide(f.now)
	cost := threadTime() - start
	for _, d := range ds {
		f.commit(d)
	}
	return cost
}

func (f *busy) commit(d sched.Decision) {
	switch d.Kind {
	case sched.Place:
		j := f.wait[d.Job].WithState(model.JobRunning, d.Reason)
		j.Members, j.Borrowed, j.Started = d.Members, d.Borrowed, f.now
		delete(f.wait, d.Job)
		f.at[j.ID] = len(f.live)
		f.live = append(f.live, j)
		f.s.SetJob(j, f.now)
	case sched.Stop:
		j := f.remove(f.at[d.Job]).WithState(model.JobQueued, d.Reason)
		j.Members = nil
		f.wait[j.ID] = j
		f.s.SetJob(j, f.now)
	case sched.Fail:
		delete(f.wait, d.Job)
		f.s.DropJob(d.Job)
	}
}

func (f *busy) remove(i int) model.Job {
	j := f.live[i]
	last := len(f.live) - 1
	f.live[i] = f.live[last]
	f.at[f.live[i].ID] = i
	f.live = f.live[:last]
	delete(f.at, j.ID)
	return j
}

// idleTeams returns the teams that don't use their guarantees.
func (f *busy) idleTeams() []string {
	var names []string
	for _, h := range f.s.Guarantees() {
		if h.Used == 0 && h.Short == 0 {
			names = append(names, h.Team)
		}
	}
	return names
}

func (f *busy) end() {
	j := f.remove(f.r.IntN(len(f.live)))
	f.s.SetJob(j.WithState(model.JobDone, ""), f.now)
}

// threadTime returns the CPU time of the calling thread, which excludes other work
// on the machine.
func threadTime() time.Duration {
	const threadClock = 3 // CLOCK_THREAD_CPUTIME_ID
	var ts syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, threadClock, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		panic(errno)
	}
	return time.Duration(ts.Nano())
}

var sizes = []int{10, 100, 1000, 13000}

// BenchmarkDecide measures one call of Decide after a job has ended and another
// has arrived, with percentiles in addition to the mean.
func BenchmarkDecide(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			f, _ := newBusy(n)
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ResetTimer()
			for range b.N {
				f.end()
				f.submit()
				_ = h.RecordValue(int64(f.decide()))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
			b.ReportMetric(float64(h.Max())/1e3, "max-us")
			b.ReportMetric(float64(len(f.live)), "running")
			b.ReportMetric(float64(len(f.wait)), "waiting")
		})
	}
}

// BenchmarkLostRack measures the loss of a rack and the next call of Decide.
func BenchmarkLostRack(b *testing.B) {
	for _, n := range sizes[1:] {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			f, ws := newBusy(n)
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ResetTimer()
			for i := range b.N {
				rack := ws[3*i%(n-n%3) : 3*i%(n-n%3)+3]
				start := threadTime()
				for _, w := range rack {
					f.s.SetWorker(w.WithState(model.WorkerLost), f.now)
				}
				cost := threadTime() - start
				_ = h.RecordValue(int64(cost + f.decide()))
				for _, w := range rack {
					f.s.SetWorker(w, f.now)
				}
				f.decide()
			}
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}

// BenchmarkReset measures how long a new leader takes to rebuild its state.
func BenchmarkReset(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			f, ws := newBusy(n)
			var teams []model.Team
			for i := range f.teams {
				teams = append(teams, model.Team{Name: fmt.Sprintf("t%d", i), Weight: 1})
			}
			s := sched.New(sched.Options{})
			b.ResetTimer()
			for range b.N {
				s.Reset(ws, teams, f.live, f.now)
			}
		})
	}
}

// BenchmarkReclaim measures how many calls of Decide it takes, in a busy fleet, to
// start a job that claims its team's guarantee, and their total time. Jobs that
// are told to stop have stopped before the next call.
func BenchmarkReclaim(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			f, _ := newBusy(n)
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			steps := hdrhistogram.New(1, 1000, 3)
			b.ResetTimer()
			idle := f.idleTeams()
			b.ReportMetric(float64(len(idle)), "idle-teams")
			for i := range b.N {
				if len(idle) == 0 {
					break
				}
				id := fmt.Sprintf("claim%d", i)
				j := model.Job{
					ID: id, Team: idle[i%len(idle)], Urgency: model.Urgent, EstimateMs: 1000,
					State: model.JobQueued, Submitted: f.now, Idempotent: true,
					Shape: model.Shape{Members: 1, Cores: 16, Memory: 32 << 30, Accels: 8, Near: model.NearWorker},
				}
				f.wait[id] = j
				f.s.SetJob(j, f.now)
				var cost time.Duration
				n := int64(0)
				for f.wait[id].ID != "" && n < 100 {
					cost += f.decide()
					n++
				}
				_ = h.RecordValue(int64(cost))
				_ = steps.RecordValue(n)
				if at, ok := f.at[id]; ok {
					f.s.SetJob(f.remove(at).WithState(model.JobDone, ""), f.now)
				}
			}
			b.ReportMetric(float64(steps.ValueAtQuantile(50)), "p50-decisions")
			b.ReportMetric(float64(steps.Max()), "max-decisions")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}
