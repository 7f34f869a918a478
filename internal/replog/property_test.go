package replog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultActions provides the random actions of the property tests.
type faultActions struct {
	s      *sim
	t      *rapid.T
	writes int // number of writes so far
	reads  int // number of reads so far
}

// Limits on the operations of one run.
const (
	maxWrites = 80
	maxReads  = 80
)

func (f *faultActions) randomHost() *simHost { return rapid.SampledFrom(f.s.hosts).Draw(f.t, "host") }

func (f *faultActions) advanceTime() {
	steps := rapid.IntRange(1, 40).Draw(f.t, "steps")
	f.s.run(time.Duration(steps) * simTick)
}

func (f *faultActions) writeOnRandomHost() {
	if f.writes < maxWrites {
		f.writes++
		f.s.write(f.randomHost(), fmt.Sprint("w", f.writes))
	}
}

func (f *faultActions) writeOnLeader() {
	if l := f.s.leader(); l != nil && f.writes < maxWrites {
		f.writes++
		f.s.write(l, fmt.Sprint("w", f.writes))
	}
}

func (f *faultActions) readOnRandomHost() {
	if f.reads < maxReads {
		f.reads++
		f.s.read(f.randomHost())
	}
}

func (f *faultActions) readOnLeader() {
	if l := f.s.leader(); l != nil && f.reads < maxReads {
		f.reads++
		f.s.read(l)
	}
}

// leaderOrRandomHost returns the leader, or a random host if there is none.
func (f *faultActions) leaderOrRandomHost() *simHost {
	if l := f.s.leader(); l != nil {
		return l
	}
	return f.randomHost()
}

func (f *faultActions) isolateLeader() { f.s.isolate(f.leaderOrRandomHost().name) }

func (f *faultActions) crashLeader() { f.s.crashHost(f.leaderOrRandomHost()) }

func (f *faultActions) stallRandomHost() { f.randomHost().stallWrites() }

func (f *faultActions) resumeAllHosts() {
	for _, h := range f.s.hosts {
		h.resumeWrites()
	}
}

func (f *faultActions) blockRandomLink() {
	f.s.blockedLinks[[2]string{f.randomHost().name, f.randomHost().name}] = true
}

func (f *faultActions) isolateRandomHost() { f.s.isolate(f.randomHost().name) }

func (f *faultActions) healNetwork() {
	f.s.blockedLinks = make(map[[2]string]bool)
	f.s.lossRate, f.s.duplicateRate, f.s.maxExtraDelay = 0, 0, 0
}

func (f *faultActions) degradeNetwork() {
	f.s.lossRate, f.s.duplicateRate, f.s.maxExtraDelay = 0.1, 0.1, 30*time.Millisecond
}

func (f *faultActions) crashRandomHost() { f.s.crashHost(f.randomHost()) }

func (f *faultActions) crashAllHosts() {
	for _, h := range f.s.hosts {
		f.s.crashHost(h)
	}
}

func (f *faultActions) startCrashedHosts() {
	for _, h := range f.s.hosts {
		if h.core == nil {
			f.s.startHost(h)
		}
	}
}

func (f *faultActions) freezeRandomHost() {
	h := f.randomHost()
	h.frozenUntil = f.s.now + time.Duration(rapid.IntRange(1, 200).Draw(f.t, "frozen ticks"))*simTick
}

func (f *faultActions) snapshotRandomHost() {
	if h := f.randomHost(); f.s.isRunning(h) {
		f.s.takeSnapshot(h)
	}
}

// actions returns the actions to choose from. The more often one is listed, the
// more often it is chosen.
func (f *faultActions) actions() []func() {
	return []func(){
		f.advanceTime, f.advanceTime, f.advanceTime, f.writeOnRandomHost, f.writeOnLeader, f.writeOnLeader, f.writeOnLeader, f.writeOnLeader,
		f.readOnRandomHost, f.readOnLeader, f.readOnLeader, f.readOnLeader, f.readOnLeader,
		f.blockRandomLink, f.isolateRandomHost, f.isolateLeader, f.healNetwork, f.healNetwork, f.healNetwork, f.degradeNetwork,
		f.crashRandomHost, f.crashLeader, f.crashAllHosts, f.startCrashedHosts, f.startCrashedHosts, f.startCrashedHosts,
		f.freezeRandomHost, f.stallRandomHost, f.resumeAllHosts, f.resumeAllHosts, f.snapshotRandomHost,
	}
}

func (f *faultActions) perform(n int) {
	actions := f.actions()
	for range n {
		i := rapid.IntRange(0, len(actions)-1).Draw(f.t, "action")
		actions[i]()
		f.s.run(2 * simTick)
	}
}

// TestPropertyFaults checks the invariants under network faults, crashes, frozen
// hosts, stalled disks and snapshots.
func TestPropertyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "hosts")
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), n)
		s.runUntil("a first leader", time.Minute, func() bool { return s.leader() != nil })
		f := &faultActions{s: s, t: rt}
		f.perform(200)
		s.healAndCheck()
	})
}

// wipeRandomDisk wipes a host if the leader shows every earlier repair as done.
func (f *faultActions) wipeRandomDisk() {
	if f.s.allRepaired() {
		f.s.wipeDisk(f.randomHost())
		f.s.disksLost++
	}
}

// TestPropertyLostDisks wipes disks, each only after the repair of the previous
// one is done.
func TestPropertyLostDisks(t *testing.T) {
	wiped := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), 3)
		s.runUntil("a first leader", time.Minute, func() bool { return s.leader() != nil })
		f := &faultActions{s: s, t: rt}
		actions := append(f.actions(), f.wipeRandomDisk, f.wipeRandomDisk, f.wipeRandomDisk)
		for range 200 {
			i := rapid.IntRange(0, len(actions)-1).Draw(rt, "action")
			actions[i]()
			f.s.run(2 * simTick)
			s.replaceWipedHosts()
		}
		s.healFaults()
		s.runUntil("all repairs", time.Minute, func() bool {
			s.replaceWipedHosts()
			return s.allRepaired()
		})
		s.healAndCheck()
		wiped += s.disksLost
	})
	if wiped == 0 {
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
		f := &faultActions{s: s, t: rt}
		for range 3 {
			h := f.randomHost()
			backup := h.disk.Clone()
			for range 8 {
				f.writeOnLeader()
				f.advanceTime()
			}
			if rapid.Bool().Draw(rt, "restarted since") {
				s.crashHost(h)
				s.startHost(h)
				s.run(5 * DefaultElectionTimeout)
			}
			s.runUntil("all repairs", time.Minute, s.allRepaired)
			s.crashHost(h)
			h.disk = backup
			s.startHost(h)
			s.run(5 * DefaultElectionTimeout)
			if h.core.role == Refused {
				refused++
				s.wipeDisk(h)
			}
			s.runUntil("all repairs", time.Minute, func() bool {
				s.replaceWipedHosts()
				return s.allRepaired()
			})
		}
		s.healAndCheck()
	})
	if refused == 0 {
		t.Fatal("no data folder was refused in any run")
	}
}
