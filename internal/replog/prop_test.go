package replog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faults provides the random actions of the property tests.
type faults struct {
	s      *sim
	t      *rapid.T
	writes int
	reads  int
}

const (
	maxWrites = 80
	maxReads  = 80
)

func (f *faults) host() *simHost { return rapid.SampledFrom(f.s.hosts).Draw(f.t, "host") }

func (f *faults) pass() {
	ms := rapid.IntRange(1, 40).Draw(f.t, "steps")
	f.s.run(time.Duration(ms) * simTick)
}

func (f *faults) write() {
	if f.writes < maxWrites {
		f.writes++
		f.s.write(f.host(), fmt.Sprint("w", f.writes))
	}
}

func (f *faults) writeLeader() {
	if l := f.s.leader(); l != nil && f.writes < maxWrites {
		f.writes++
		f.s.write(l, fmt.Sprint("w", f.writes))
	}
}

func (f *faults) read() {
	if f.reads < maxReads {
		f.reads++
		f.s.read(f.host())
	}
}

func (f *faults) readLeader() {
	if l := f.s.leader(); l != nil && f.reads < maxReads {
		f.reads++
		f.s.read(l)
	}
}

// someLeader returns the leader, or a random host if there is none.
func (f *faults) someLeader() *simHost {
	if l := f.s.leader(); l != nil {
		return l
	}
	return f.host()
}

func (f *faults) isolateLeader() { f.s.isolate(f.someLeader().name) }

func (f *faults) crashLeader() { f.s.crash(f.someLeader()) }

func (f *faults) stall() { f.host().stall() }

func (f *faults) resume() {
	for _, h := range f.s.hosts {
		h.resume()
	}
}

func (f *faults) cutPair() {
	f.s.cut[[2]string{f.host().name, f.host().name}] = true
}

func (f *faults) isolate() { f.s.isolate(f.host().name) }

func (f *faults) heal() {
	f.s.cut = make(map[[2]string]bool)
	f.s.loss, f.s.dup, f.s.delay = 0, 0, 0
}

func (f *faults) noise() {
	f.s.loss, f.s.dup, f.s.delay = 0.1, 0.1, 30*time.Millisecond
}

func (f *faults) crash() { f.s.crash(f.host()) }

func (f *faults) crashAll() {
	for _, h := range f.s.hosts {
		f.s.crash(h)
	}
}

func (f *faults) boot() {
	for _, h := range f.s.hosts {
		if h.core == nil {
			f.s.boot(h)
		}
	}
}

func (f *faults) freeze() {
	h := f.host()
	h.frozen = f.s.now + time.Duration(rapid.IntRange(1, 200).Draw(f.t, "frozen"))*simTick
}

func (f *faults) snapshot() {
	if h := f.host(); f.s.up(h) {
		f.s.snapshot(h)
	}
}

// actions returns the actions to choose from. The more often one is listed, the
// more often it is chosen.
func (f *faults) actions() []func() {
	return []func(){
		f.pass, f.pass, f.pass, f.write, f.writeLeader, f.writeLeader, f.writeLeader, f.writeLeader,
		f.read, f.readLeader, f.readLeader, f.readLeader, f.readLeader,
		f.cutPair, f.isolate, f.isolateLeader, f.heal, f.heal, f.heal, f.noise,
		f.crash, f.crashLeader, f.crashAll, f.boot, f.boot, f.boot,
		f.freeze, f.stall, f.resume, f.resume, f.snapshot,
	}
}

func (f *faults) play(n int) {
	actions := f.actions()
	for range n {
		i := rapid.IntRange(0, len(actions)-1).Draw(f.t, "action")
		actions[i]()
		f.s.run(2 * simTick)
	}
}

func TestPropertyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "hosts")
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), n)
		s.runUntil("a first leader", time.Minute, func() bool { return s.leader() != nil })
		f := &faults{s: s, t: rt}
		f.play(200)
		s.settleDown()
	})
}

// loseDisk wipes a host if the leader shows every earlier repair as done.
func (f *faults) loseDisk() {
	if f.s.repaired() {
		f.s.wipe(f.host())
		f.s.lost++
	}
}

// TestPropertyLostDisks wipes disks, each only after the repair of the previous
// one is done.
func TestPropertyLostDisks(t *testing.T) {
	lost := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), 3)
		s.runUntil("a first leader", time.Minute, func() bool { return s.leader() != nil })
		f := &faults{s: s, t: rt}
		actions := append(f.actions(), f.loseDisk, f.loseDisk, f.loseDisk)
		for range 200 {
			i := rapid.IntRange(0, len(actions)-1).Draw(rt, "action")
			actions[i]()
			f.s.run(2 * simTick)
			s.repair()
		}
		s.heal()
		s.runUntil("all repairs", time.Minute, func() bool {
			s.repair()
			return s.repaired()
		})
		s.settleDown()
		lost += s.lost
	})
	if lost == 0 {
		t.Fatal("no disk was wiped in any run")
	}
}

// TestPropertyOldFolders restores data folders from old copies while the other
// hosts are reachable.
func TestPropertyOldFolders(t *testing.T) {
	refused := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), 3)
		s.runUntil("a first leader", time.Minute, func() bool { return s.leader() != nil })
		f := &faults{s: s, t: rt}
		for range 3 {
			h := f.host()
			backup := h.disk.Clone()
			for range 8 {
				f.writeLeader()
				f.pass()
			}
			if rapid.Bool().Draw(rt, "restarted since") {
				s.crash(h)
				s.boot(h)
				s.run(5 * DefaultElection)
			}
			s.runUntil("all repairs", time.Minute, s.repaired)
			s.crash(h)
			h.disk = backup
			s.boot(h)
			s.run(5 * DefaultElection)
			if h.core.role == Refused {
				refused++
				s.wipe(h)
			}
			s.runUntil("all repairs", time.Minute, func() bool {
				s.repair()
				return s.repaired()
			})
		}
		s.settleDown()
	})
	if refused == 0 {
		t.Fatal("no data folder was refused in any run")
	}
}
