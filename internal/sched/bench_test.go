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

// The load of the planned fleet: 160,000 tasks and 410 teams on 13,000 workers.
const (
	tasksPerWorker = 160_000.0 / 13_000
	teamsPerWorker = 410.0 / 13_000
	startTime      = 1_700_000_000 // Unix seconds
)

// busyFleet is a scheduler with a fleet that is running jobs.
type busyFleet struct {
	sched        *sched.Sched
	rand         *rand.Rand
	now          time.Time
	teams        int
	lastID       int // number of the job submitted last
	running      []model.Job
	runningIndex map[string]int // index in running by job
	waiting      map[string]model.Job
}

// newBusyFleet returns a fleet of n workers filled with tasks and gangs, with
// one guarantee for each team.
func newBusyFleet(n int) (*busyFleet, []model.Worker) {
	f := &busyFleet{
		sched: sched.New(sched.Options{}), rand: rand.New(rand.NewPCG(6, 6)), now: time.Unix(startTime, 0),
		teams: max(int(float64(n)*teamsPerWorker), 4), runningIndex: make(map[string]int), waiting: make(map[string]model.Job),
	}
	ws := drive.PlannedFleet(n)
	if n <= 10 {
		ws = drive.TodayFleet()
	}
	for _, w := range ws {
		f.sched.SetWorker(w, f.now)
	}
	for i := range f.teams {
		f.sched.SetTeam(model.Team{Name: fmt.Sprintf("t%d", i), Weight: 1, Guarantees: []model.Guarantee{{
			Shape: model.Shape{Members: 1, Cores: 16, Memory: 32 << 30, Accels: 8, Proximity: model.ProximityWorker}, Count: 1,
		}}}, f.now)
	}
	for i := 0; float64(i) < float64(n)*tasksPerWorker; {
		j := f.submit()
		i += j.Shape.Members
		if f.lastID%256 == 0 {
			f.decide()
		}
	}
	for range 8 {
		f.decide()
	}
	return f, ws
}

// submit adds a random task without accelerators or, one time in forty, a
// random gang.
func (f *busyFleet) submit() model.Job {
	f.lastID++
	j := model.Job{
		ID: fmt.Sprintf("j%07d", f.lastID), Team: fmt.Sprintf("t%d", f.rand.IntN(f.teams)), Urgency: model.Normal,
		EstimateMs: int64(1000 * (60 + f.rand.IntN(36000))), Stoppable: f.rand.IntN(10) < 7, State: model.JobQueued, Submitted: f.now,
		Shape: model.Shape{Members: 1, Cores: 1 + f.rand.IntN(3), Memory: 4 << 30, Proximity: model.ProximityWorker},
	}
	if f.rand.IntN(40) == 0 {
		size := drive.PlannedSizes[f.rand.IntN(len(drive.PlannedSizes))]
		j.Shape = model.Shape{Members: size.Members, Accels: size.Accels, Cores: 2 * size.Accels, Memory: 8 << 30, Proximity: size.Near}
	}
	f.waiting[j.ID] = j
	f.sched.SetJob(j, f.now)
	return j
}

// decide commits the decisions of one call of Decide a second later, and returns
// the CPU time of that call.
func (f *busyFleet) decide() time.Duration {
	f.now = f.now.Add(time.Second)
	start := threadTime()
	ds := f.sched.Decide(f.now)
	elapsed := threadTime() - start
	for _, d := range ds {
		f.commit(d)
	}
	return elapsed
}

func (f *busyFleet) commit(d sched.Decision) {
	switch d.Kind {
	case sched.Place:
		j := f.waiting[d.Job].WithState(model.JobRunning, d.Reason)
		j.Members, j.Borrowed, j.Started = d.Members, d.Borrowed, f.now
		delete(f.waiting, d.Job)
		f.runningIndex[j.ID] = len(f.running)
		f.running = append(f.running, j)
		f.sched.SetJob(j, f.now)
	case sched.Stop:
		j := f.remove(f.runningIndex[d.Job]).WithState(model.JobQueued, d.Reason)
		j.Members = nil
		f.waiting[j.ID] = j
		f.sched.SetJob(j, f.now)
	case sched.Fail:
		delete(f.waiting, d.Job)
		f.sched.DropJob(d.Job)
	}
}

func (f *busyFleet) remove(i int) model.Job {
	j := f.running[i]
	last := len(f.running) - 1
	f.running[i] = f.running[last]
	f.runningIndex[f.running[i].ID] = i
	f.running = f.running[:last]
	delete(f.runningIndex, j.ID)
	return j
}

// idleTeams returns the teams that don't use their guarantees.
func (f *busyFleet) idleTeams() []string {
	var names []string
	for _, g := range f.sched.Guarantees() {
		if g.Used == 0 && g.Short == 0 {
			names = append(names, g.Team)
		}
	}
	return names
}

func (f *busyFleet) endRandomJob() {
	j := f.remove(f.rand.IntN(len(f.running)))
	f.sched.SetJob(j.WithState(model.JobDone, ""), f.now)
}

// threadTime returns the CPU time of the calling thread, which excludes other
// work on the machine.
func threadTime() time.Duration {
	const threadClock = 3 // CLOCK_THREAD_CPUTIME_ID
	var ts syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, threadClock, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		panic(errno)
	}
	return time.Duration(ts.Nano())
}

var fleetSizes = []int{10, 100, 1000, 13000}

// BenchmarkDecide measures one call of Decide after a job has ended and another
// has arrived, with percentiles in addition to the mean.
func BenchmarkDecide(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			f, _ := newBusyFleet(n)
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ResetTimer()
			for range b.N {
				f.endRandomJob()
				f.submit()
				_ = h.RecordValue(int64(f.decide()))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
			b.ReportMetric(float64(h.Max())/1e3, "max-us")
			b.ReportMetric(float64(len(f.running)), "running")
			b.ReportMetric(float64(len(f.waiting)), "waiting")
		})
	}
}

// BenchmarkLostRack measures the loss of a rack and the next call of Decide.
func BenchmarkLostRack(b *testing.B) {
	for _, n := range fleetSizes[1:] {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			f, ws := newBusyFleet(n)
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ResetTimer()
			for i := range b.N {
				rack := ws[3*i%(n-n%3) : 3*i%(n-n%3)+3]
				start := threadTime()
				for _, w := range rack {
					f.sched.SetWorker(w.WithState(model.WorkerLost), f.now)
				}
				elapsed := threadTime() - start
				_ = h.RecordValue(int64(elapsed + f.decide()))
				for _, w := range rack {
					f.sched.SetWorker(w, f.now)
				}
				f.decide()
			}
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}

// BenchmarkReset measures how long a new leader takes to rebuild its state.
func BenchmarkReset(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			f, ws := newBusyFleet(n)
			var teams []model.Team
			for i := range f.teams {
				teams = append(teams, model.Team{Name: fmt.Sprintf("t%d", i), Weight: 1})
			}
			s := sched.New(sched.Options{})
			b.ResetTimer()
			for range b.N {
				s.Reset(ws, teams, f.running, f.now)
			}
		})
	}
}

// BenchmarkReclaim measures how many calls of Decide it takes, in a busy fleet,
// to start a job that claims its team's guarantee, and their total time. Jobs
// that are told to stop have stopped before the next call.
func BenchmarkReclaim(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			f, _ := newBusyFleet(n)
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			decisions := hdrhistogram.New(1, 1000, 3)
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
					Shape: model.Shape{Members: 1, Cores: 16, Memory: 32 << 30, Accels: 8, Proximity: model.ProximityWorker},
				}
				f.waiting[id] = j
				f.sched.SetJob(j, f.now)
				var elapsed time.Duration
				n := int64(0)
				for f.waiting[id].ID != "" && n < 100 {
					elapsed += f.decide()
					n++
				}
				_ = h.RecordValue(int64(elapsed))
				_ = decisions.RecordValue(n)
				if index, ok := f.runningIndex[id]; ok {
					f.sched.SetJob(f.remove(index).WithState(model.JobDone, ""), f.now)
				}
			}
			b.ReportMetric(float64(decisions.ValueAtQuantile(50)), "p50-decisions")
			b.ReportMetric(float64(decisions.Max()), "max-decisions")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}
