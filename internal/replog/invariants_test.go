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
		if other, ok := s.leaderByTerm[c.state.term]; ok && other != c.self {
			s.t.Fatalf("term %d has two leaders, %s and %s", c.state.term, other, c.self)
		}
		if _, ok := s.leaderByTerm[c.state.term]; !ok {
			s.checkNewLeader(h)
		}
		s.leaderByTerm[c.state.term] = c.self
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
	for index, e := range s.appliedEntries {
		if s.appliedInTerm[index] < h.core.state.term && index > h.core.log.base && !h.core.log.matches(index, e.GetTerm()) {
			s.t.Fatalf("leader %s of term %d lacks committed entry %d of term %d\n%s",
				h.name, h.core.state.term, index, e.GetTerm(), s.describe())
		}
	}
}

// checkApplied checks that all hosts apply the same entries.
func (s *sim) checkApplied(h *simHost, e *wire.LogEntry) {
	if other, ok := s.appliedEntries[e.GetIndex()]; ok && !proto.Equal(other, e) {
		s.t.Fatalf("%s applied %v, another host applied %v", h.name, e, other)
	}
	if _, ok := s.appliedEntries[e.GetIndex()]; !ok {
		s.appliedInTerm[e.GetIndex()] = h.core.state.term
	}
	s.appliedEntries[e.GetIndex()] = e
	if other, ok := s.stateAfter[e.GetIndex()]; ok && other != h.state {
		s.t.Fatalf("%s has state %+v after entry %d, another host has %+v", h.name, h.state, e.GetIndex(), other)
	}
	s.stateAfter[e.GetIndex()] = h.state
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
			if s.seenEntries[key] == e && s.prevTerm[key] == prev {
				prev = e.GetTerm()
				continue
			}
			if other, ok := s.seenEntries[key]; ok && (!proto.Equal(other, e) || s.prevTerm[key] != prev) {
				s.t.Fatalf("%s holds %v after an entry of term %d, another host holds %v after term %d", h.name, e, prev, other, s.prevTerm[key])
			}
			if _, ok := s.seenEntries[key]; !ok {
				s.seenEntries[key], s.prevTerm[key] = e, prev
			}
			prev = e.GetTerm()
		}
	}
}

// checkLinearizable checks that the clients' operations are linearizable.
func (s *sim) checkLinearizable() {
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			op := input.(*simOp)
			if op.isWrite {
				return true, op.value
			}
			return output.(string) == state.(string), state
		},
	}
	var history []porcupine.Operation
	for i, op := range s.ops {
		end := int64(op.doneAt)
		if !op.succeeded {
			if !op.isWrite {
				continue
			}
			end = math.MaxInt64 // the outcome is unknown: it may take effect at any time or never
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: op, Output: op.value, Call: int64(op.startedAt), Return: end,
		})
	}
	if porcupine.CheckOperationsTimeout(model, history, time.Minute) == porcupine.Illegal {
		s.t.Fatalf("the clients' operations are not linearizable\n%s", s.describe())
	}
}

// checkAcknowledged checks that every acknowledged write was applied at its
// index.
func (s *sim) checkAcknowledged() {
	for _, op := range s.ops {
		if !op.isWrite || !op.succeeded {
			continue
		}
		e := s.appliedEntries[op.index]
		if e.GetTerm() != op.term || string(e.GetData()) != op.value {
			s.t.Fatalf("acknowledged write %q at index %d of term %d is lost; the entry at that index is %v", op.value, op.index, op.term, e)
		}
	}
}

// healFaults restores the network and the disks, and starts the hosts that are
// down.
func (s *sim) healFaults() {
	s.blockedLinks = make(map[[2]string]bool)
	s.lossRate, s.duplicateRate, s.maxExtraDelay = 0, 0, 0
	for _, h := range s.hosts {
		h.frozenUntil = 0
		h.resumeWrites()
		if h.core == nil {
			s.startHost(h)
		}
	}
}

// healAndCheck heals everything, waits until all hosts have applied the same
// entries and checks the history.
func (s *sim) healAndCheck() {
	s.healFaults()
	last := "last write"
	s.runUntil("all hosts have applied all entries", time.Minute, func() bool {
		l := s.leader()
		if l == nil || !l.core.hasCommittedInTerm() {
			return false
		}
		if s.ops == nil || s.ops[len(s.ops)-1].value != last {
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
	s.checkLinearizable()
}
