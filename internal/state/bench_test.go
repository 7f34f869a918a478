package state

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// The planned size.
const (
	sizeWorkers = 13_000
	sizeTasks   = 160_000
	sizeGang    = 16
)

// benchRig returns a rig without a twin.
func benchRig(b *testing.B) *rig {
	r := newRig(b)
	r.twin = nil
	return r
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// bytesPer runs fill and reports how much the heap grew per 1,000 items.
func bytesPer(b *testing.B, r *rig, items int, fill func(int)) {
	before := heap()
	for i := range items {
		fill(i)
	}
	b.ReportMetric(float64(heap()-before)*1000/float64(items), "B/1000")
	runtime.KeepAlive(r)
}

// planned returns a state with the planned number of workers and tasks, each
// worker holding about twelve members of running gangs.
func planned(b *testing.B) *rig {
	r := benchRig(b)
	r.planWorkers(sizeWorkers)
	r.carry(setTeam("linen", 1), setService("rota", 2))
	for i := range sizeTasks / sizeGang {
		r.gang(i)
	}
	return r
}

func (r *rig) planWorkers(n int) {
	var set []model.Worker
	for i := range n {
		set = append(set, model.Worker{
			Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%d", i/30), Domain: fmt.Sprintf("d%d", i%8),
			Region: fmt.Sprintf("g%d", i%2), Cores: 32, Memory: 128 << 30, Accels: 8, Kind: "a", Speed: 1,
		})
	}
	r.must(Command{Workers: &SetWorkers{Set: set}})
}

// gang submits, places and starts a gang.
func (r *rig) gang(i int) {
	id := fmt.Sprintf("job-%06d", i)
	r.carry(submit(id, "linen", sizeGang, true))
	var m []model.Member
	for k := range sizeGang {
		m = append(m, model.Member{Index: k, Worker: fmt.Sprintf("w%05d", (i*sizeGang+k)%sizeWorkers)})
	}
	placed := r.must(Command{Place: &PlaceJob{ID: id, Members: m}})
	r.report(id, placed.Job.Epoch, sizeGang, MemberPrepared)
	r.must(Command{Start: &StartJob{ID: id, Epoch: placed.Job.Epoch}})
}

func BenchmarkMemoryJobs(b *testing.B) {
	for range b.N {
		r := benchRig(b)
		r.planWorkers(sizeWorkers)
		r.carry(setTeam("linen", 1))
		bytesPer(b, r, 2000, r.gang)
		b.ReportMetric(sizeGang, "leases/job")
	}
}

func BenchmarkMemoryQueuedJobs(b *testing.B) {
	for range b.N {
		r := benchRig(b)
		r.fleet(6)
		r.carry(setTeam("linen", 1))
		bytesPer(b, r, 5000, func(i int) { r.carry(submit(fmt.Sprint("job-", i), "linen", 1, true)) })
	}
}

func BenchmarkMemoryWorkers(b *testing.B) {
	for range b.N {
		r := benchRig(b)
		before := heap()
		r.planWorkers(sizeWorkers)
		b.ReportMetric(float64(heap()-before)*1000/sizeWorkers, "B/1000")
		runtime.KeepAlive(r)
	}
}

func BenchmarkMemoryPlans(b *testing.B) {
	for range b.N {
		r := benchRig(b)
		bytesPer(b, r, 5000, func(i int) { r.carry(setTeam(fmt.Sprint("t", i%410), i)) })
	}
}

func BenchmarkMemoryClaims(b *testing.B) {
	for _, size := range []int{0, 1 << 10} {
		b.Run(fmt.Sprint("answer=", size), func(b *testing.B) {
			for range b.N {
				r := benchRig(b)
				r.carry(setTeam("linen", 1), setService("rota", 2))
				bytesPer(b, r, 5000, func(i int) {
					key := fmt.Sprintf("order-%08d", i)
					epoch := r.claim(key, "0123456789abcdef0123456789abcdef", "attempt-1").Claim.Claim.Epoch
					r.settle(key, epoch, ClaimAnswered, string(make([]byte, size)))
				})
			}
		})
	}
}

// BenchmarkSnapshot writes and reads the state of the planned size.
func BenchmarkSnapshot(b *testing.B) {
	r := planned(b)
	whole := snapshotOf(b, r.s)
	b.Run("capture", func(b *testing.B) {
		for range b.N {
			r.s.view = nil
			_, err := r.s.Snapshot()
			require.NoError(b, err)
		}
	})
	b.Run("write", func(b *testing.B) {
		write, err := r.s.Snapshot()
		require.NoError(b, err)
		b.ReportMetric(float64(len(whole)), "B/snapshot")
		for range b.N {
			require.NoError(b, write(io.Discard))
		}
	})
	b.Run("restore", func(b *testing.B) {
		before := heap()
		s := New()
		for range b.N {
			require.NoError(b, s.Restore(bytes.NewReader(whole)))
		}
		b.StopTimer()
		b.ReportMetric(float64(heap()-before), "B/state")
		runtime.KeepAlive(s)
	})
}

// BenchmarkApply measures commands at the planned size, with a view taken
// after each as a busy control process does.
func BenchmarkApply(b *testing.B) {
	r := planned(b)
	run := func(name string, viewed bool, next func(i int) Command) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				r.apply(next(i))
				if viewed {
					r.s.View()
				}
			}
		})
	}
	claim := func(i int) Command {
		key := fmt.Sprintf("k-%d-%d", r.index, i)
		return Command{Claim: &ClaimRequest{Team: "linen", Service: "rota", Key: key, Body: "h", Entry: "e", Attempt: "a"}}
	}
	report := func(int) Command {
		j := r.job("job-000001")
		return Command{Report: &Report{Members: []MemberReport{{Job: j.ID, Epoch: j.Epoch, State: MemberRunning}}}}
	}
	intent := func(i int) Command {
		in := model.Intent{ID: fmt.Sprintf("b-%d-%d", r.index, i), Operator: "ann", Ops: []model.Op{submit(fmt.Sprintf("n-%d-%d", r.index, i), "linen", 512, true)}}
		return Command{Plan: &PlanIntent{Intent: in, Deadline: r.now.Add(time.Minute)}}
	}
	run("claim", false, claim)
	run("claim+view", true, claim)
	run("report", false, report)
	run("submit", false, intent)
	run("gang512", false, func(i int) Command {
		id := fmt.Sprintf("wide-%d-%d", r.index, i)
		r.carry(submit(id, "linen", 512, true))
		var m []model.Member
		for k := range 512 {
			m = append(m, model.Member{Index: k, Worker: fmt.Sprintf("w%05d", k)})
		}
		return Command{Place: &PlaceJob{ID: id, Members: m}}
	})
}

func BenchmarkDelta(b *testing.B) {
	r := benchRig(b)
	for i := range 2000 {
		r.carry(setTeam(fmt.Sprint("t", i%410), i))
	}
	v := r.s.View()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_ = v.Delta(v.Revision() - 10)
	}
}
