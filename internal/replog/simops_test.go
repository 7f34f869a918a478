package replog

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/store/memdisk"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// takeSnapshot takes a snapshot on a host like Node does.
func (s *sim) takeSnapshot(h *simHost) {
	c := h.core
	term, ok := c.log.term(c.applied)
	if !ok || c.applied == 0 || c.transferring() || c.pendingRestore != nil {
		return
	}
	membership := c.history.at(c.applied)
	meta := &wire.LogSnapshot{
		Index: c.applied, Term: term, Members: membership.members.wire(), MembersIndex: membership.index,
		Id: fmt.Sprintf("%s-%d-%d", c.self, c.boot, c.applied),
	}
	state := h.state
	err := h.st.WriteSnapshot(meta, func(w io.Writer) error { return json.NewEncoder(w).Encode(state) })
	if err == nil {
		err = h.st.Compact(c.compact(meta.GetIndex()))
	}
	if err != nil {
		s.t.Fatalf("%s could not take a snapshot: %v", h.name, err)
	}
}

// write proposes a value on a host.
func (s *sim) write(h *simHost, value string) {
	if !s.isRunning(h) {
		return
	}
	h.core.advanceClock(s.localTime(h))
	index, err := h.core.propose([]byte(value))
	if err != nil {
		return
	}
	s.ops = append(s.ops, &simOp{
		isWrite: true, value: value, index: index, term: h.core.state.term, host: h, startedAt: s.now,
	})
	s.processOutputs(h)
}

// read starts a read on a host.
func (s *sim) read(h *simHost) {
	if !s.isRunning(h) || h.core.role != Leader {
		return
	}
	h.core.advanceClock(s.localTime(h))
	op := &simOp{host: h, startedAt: s.now, read: h.core.newRead(), term: h.core.state.term}
	s.ops = append(s.ops, op)
	h.reads = append(h.reads, op)
	if !h.core.hasLease(s.localTime(h)) {
		h.core.beginHeartbeatRound()
	}
	s.processOutputs(h)
}

func (s *sim) finishReads(h *simHost) {
	pending := h.reads[:0]
	for _, op := range h.reads {
		switch {
		case h.core.role != Leader || h.core.state.term != op.term:
			op.failed = true
		case h.core.readReady(op.read, s.localTime(h)):
			op.doneAt, op.succeeded, op.value = s.now, true, h.state.Value
		default:
			pending = append(pending, op)
		}
	}
	h.reads = pending
}

// leader returns the leader with the highest term, nil if there is none.
func (s *sim) leader() *simHost {
	var best *simHost
	for _, h := range s.hosts {
		if s.isRunning(h) && h.core.role == Leader && (best == nil || h.core.state.term > best.core.state.term) {
			best = h
		}
	}
	return best
}

// makeLeader makes a host the leader. All hosts must be running and connected.
func (s *sim) makeLeader(name string) *simHost {
	h := s.host(name)
	s.runUntil(name+" leads", time.Minute, func() bool {
		if l := s.leader(); l != nil && l != h {
			l.core.becomeFollower(l.core.state.term, "")
		}
		for _, o := range s.hosts {
			o.core.followerLeaseDeadline = o.core.now
			o.core.resetElectionDeadline()
		}
		if h.core.role == Follower {
			h.core.electionDeadline = h.core.now
		}
		return h.core.role == Leader && h.core.hasCommittedInTerm()
	})
	s.run(3 * DefaultHeartbeatInterval)
	return h
}

// blockLink drops all messages from one host to another.
func (s *sim) blockLink(from, to string) { s.blockedLinks[[2]string{from, to}] = true }

// isolate drops all messages between a host and the others.
func (s *sim) isolate(name string) {
	for _, h := range s.hosts {
		s.blockLink(name, h.name)
		s.blockLink(h.name, name)
	}
}

// wipeDisk crashes a host and starts it with an empty disk.
func (s *sim) wipeDisk(h *simHost) {
	s.crashHost(h)
	h.disk = memdisk.New()
	s.startHost(h)
}

// replaceWipedHosts replaces the former incarnation of each wiped host, as an
// operator would.
func (s *sim) replaceWipedHosts() {
	l := s.leader()
	if l == nil {
		return
	}
	for _, w := range l.core.waitingReplicas() {
		if m, err := l.core.members().lookup(w.Name); err == nil {
			_, _ = l.core.replace(m.Incarnation, w.Name)
			s.processOutputs(l)
		}
	}
}

// allRepaired reports whether every host is a member and the leader shows every
// repair as done.
func (s *sim) allRepaired() bool {
	l := s.leader()
	if l == nil || !l.core.hasLease(s.localTime(l)) || !l.core.hasCommittedInTerm() || l.core.history.latest().index > l.core.commit {
		return false
	}
	for _, h := range s.hosts {
		if m, err := l.core.members().lookup(h.name); err != nil || m.Incarnation != h.incarnation {
			return false
		}
	}
	for _, r := range l.core.repairStatus() {
		if !r.Done {
			return false
		}
	}
	return true
}

// stallWrites blocks all writes of a host until resumeWrites is called.
func (h *simHost) stallWrites() { h.writeDelay, h.writeStepEnds = forever, forever }

func (h *simHost) resumeWrites() { h.writeDelay, h.writeStepEnds = 0, 0 }

// runUntil advances the time until a condition holds. It fails if that takes
// longer than limit.
func (s *sim) runUntil(what string, limit time.Duration, cond func() bool) {
	for end := s.now + limit; !cond(); {
		if s.now >= end {
			s.t.Fatalf("timed out after %v waiting for: %s\n%s", limit, what, s.describe())
		}
		s.run(simTick)
	}
}

func (s *sim) describe() string {
	out := fmt.Sprintf("at %v", s.now)
	for _, h := range s.hosts {
		if h.core == nil {
			out += "\n" + h.name + " is down"
			continue
		}
		c := h.core
		out += fmt.Sprintf("\n%s (%s) %s term %d leader %s commit %d applied %d last %d saved %d voting allowed %v members %v peers",
			h.name, c.self, c.role, c.state.term, c.leader, c.commit, c.applied, c.log.lastIndex(), c.log.saved, c.join.votingAllowed, c.members())
		for _, p := range c.peerStatus() {
			out += fmt.Sprintf(" %s:%s match %d lost entries %v", p.Incarnation, p.State, p.Match, p.LostEntries)
		}
	}
	return out
}
