package replog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faults are the actions of the property tests.
type faults struct {
	s      *sim
	t      *rapid.T
	writes int
	reads  int
}

const (
	maxWrites = 40
	maxReads  = 40
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

func (f *faults) cutPair() {
	f.s.cut[[2]string{f.host().name, f.host().name}] = true
}

func (f *faults) isolate() {
	h := f.host()
	for _, o := range f.s.hosts {
		f.s.cut[[2]string{h.name, o.name}] = true
		f.s.cut[[2]string{o.name, h.name}] = true
	}
}

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
	h.frozen = f.s.now + time.Duration(rapid.IntRange(1, 300).Draw(f.t, "frozen"))*simTick
}

func (f *faults) snapshot() {
	if h := f.host(); f.s.up(h) {
		f.s.snapshot(h)
	}
}

// actions gives frequent actions more places.
func (f *faults) actions() []func() {
	return []func(){
		f.pass, f.pass, f.pass, f.write, f.writeLeader, f.writeLeader, f.writeLeader, f.read, f.read, f.read,
		f.cutPair, f.isolate, f.heal, f.heal, f.noise, f.crash, f.boot, f.boot, f.crashAll, f.freeze, f.snapshot,
	}
}

func (f *faults) play(n int) {
	actions := f.actions()
	for range n {
		i := rapid.IntRange(0, len(actions)-1).Draw(f.t, "action")
		actions[i]()
		f.pass()
	}
}

func TestPropertyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "hosts")
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), n)
		s.runUntil("a first leader", time.Minute, func() bool { return s.leader() != nil })
		f := &faults{s: s, t: rt}
		f.play(60)
		s.settleDown()
	})
}
