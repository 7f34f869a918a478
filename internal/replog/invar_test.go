package replog

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// checkHost checks the invariants that must hold after every step of a host.
func (s *sim) checkHost(h *simHost) {
	c := h.core
	if c.role == Leader {
		if other, ok := s.leaders[c.state.term]; ok && other != c.self {
			s.t.Fatalf("term %d has two leaders, %s and %s", c.state.term, other, c.self)
		}
		if _, ok := s.leaders[c.state.term]; !ok {
			s.checkNewLeader(h)
		}
		s.leaders[c.state.term] = c.self
	}
	if c.commit > c.log.lastIndex() {
		s.t.Fatalf("%s has commit index %d after its last index %d", h.name, c.commit, c.log.lastIndex())
	}
	if c.applied > c.commit {
		s.t.Fatalf("%s has applied index %d after its commit index %d", h.name, c.applied, c.commit)
	}
}

// checkNewLeader checks that a leader holds all entries committed in earlier
// terms. A delayed vote may still elect a leader of an old term. Such a leader
// lacks the entries committed in later terms and can't commit any itself.
func (s *sim) checkNewLeader(h *simHost) {
	for index, e := range s.chosen {
		if s.chosenIn[index] < h.core.state.term && index > h.core.log.base && !h.core.log.matches(index, e.GetTerm()) {
			s.t.Fatalf("leader %s of term %d lacks committed entry %d of term %d\n%s",
				h.name, h.core.state.term, index, e.GetTerm(), s.describe())
		}
	}
}

// checkApplied checks that all hosts apply the same entries.
func (s *sim) checkApplied(h *simHost, e *wire.LogEntry) {
	if other, ok := s.chosen[e.GetIndex()]; ok && !proto.Equal(other, e) {
		s.t.Fatalf("%s applied %v, another host applied %v", h.name, e, other)
	}
	if _, ok := s.chosen[e.GetIndex()]; !ok {
		s.chosenIn[e.GetIndex()] = h.core.state.term
	}
	s.chosen[e.GetIndex()] = e
	if other, ok := s.states[e.GetIndex()]; ok && other != h.state {
		s.t.Fatalf("%s has state %+v after entry %d, another host has %+v", h.name, h.state, e.GetIndex(), other)
	}
	s.states[e.GetIndex()] = h.state
}

// checkLogs checks the log matching property: logs with an equal entry are
// equal up to that entry.
func (s *sim) checkLogs() {
	for _, h := range s.hosts {
		if h.core == nil {
			continue
		}
		prev := h.core.log.baseTerm
		for _, e := range h.core.log.entries {
			key := [2]uint64{e.GetIndex(), e.GetTerm()}
			if s.entries[key] == e && s.prev[key] == prev {
				prev = e.GetTerm()
				continue
			}
			if other, ok := s.entries[key]; ok && (!proto.Equal(other, e) || s.prev[key] != prev) {
				s.t.Fatalf("%s holds %v after an entry of term %d, another host holds %v after term %d", h.name, e, prev, other, s.prev[key])
			}
			if _, ok := s.entries[key]; !ok {
				s.entries[key], s.prev[key] = e, prev
			}
			prev = e.GetTerm()
		}
	}
}

// checkHistory checks that the clients' operations are linearizable.
func (s *sim) checkHistory() {
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			op := input.(*simOp)
			if op.write {
				return true, op.value
			}
			return output.(string) == state.(string), state
		},
	}
	var history []porcupine.Operation
	for i, op := range s.clients {
		end := int64(op.done)
		if !op.ok {
			if !op.write {
				continue
			}
			end = math.MaxInt64 // the outcome is unknown: it may take effect at any time or never
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: op, Output: op.value, Call: int64(op.call), Return: end,
		})
	}
	if porcupine.CheckOperationsTimeout(model, history, time.Minute) == porcupine.Illegal {
		s.t.Fatalf("the clients' operations are not linearizable\n%s", s.describe())
	}
}

// checkAcknowledged checks that every acknowledged write was applied at its
// index.
func (s *sim) checkAcknowledged() {
	for _, op := range s.clients {
		if !op.write || !op.ok {
			continue
		}
		e := s.chosen[op.index]
		if e.GetTerm() != op.term || string(e.GetData()) != op.value {
			s.t.Fatalf("acknowledged write %q at index %d of term %d is lost; the entry at that index is %v", op.value, op.index, op.term, e)
		}
	}
}

// heal restores the network and the disks, and starts the hosts that are down.
func (s *sim) heal() {
	s.cut = make(map[[2]string]bool)
	s.loss, s.dup, s.delay = 0, 0, 0
	for _, h := range s.hosts {
		h.frozen = 0
		h.resume()
		if h.core == nil {
			s.boot(h)
		}
	}
}

// settleDown heals everything, waits until all hosts have applied the same
// entries and checks the history.
func (s *sim) settleDown() {
	s.heal()
	last := "last write"
	s.runUntil("all hosts have applied all entries", time.Minute, func() bool {
		l := s.leader()
		if l == nil || !l.core.hasCommittedInTerm() {
			return false
		}
		if s.clients == nil || s.clients[len(s.clients)-1].value != last {
			s.write(l, last)
			return false
		}
		for _, h := range s.hosts {
			if h.core.applied < l.core.log.lastIndex() && h.core.role != Refused {
				return false
			}
		}
		return true
	})
	s.checkAcknowledged()
	s.checkHistory()
}
