package state

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// State is the state machine. It is safe for concurrent use.
type State struct {
	mu         sync.Mutex
	data       *data
	cachedView *View // view of the current data; nil after data has changed
	halted     error // returned for every command once one of a newer version was read
}

// New returns an empty state machine.
func New() *State { return &State{data: newData()} }

// Apply applies the command at a log index and returns a Result. A command that
// fails changes only the term, the time and the index, with two exceptions:
// SetWorkers stores its valid entries, and the commands on plans store why a plan
// is refused, in conflict or expired. After a command of a newer version
// (ErrVersion) no further commands are applied: the program has to be replaced by
// a newer one.
func (s *State) Apply(index uint64, cmd []byte) any {
	c, err := Decode(cmd)
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, ErrVersion) && s.halted == nil {
		s.halted = err
	}
	if s.halted != nil {
		return Result{Index: index, Err: s.halted}
	}
	if index <= s.data.index {
		err = errors.Wrapf(ErrApplied, "index %d, applied up to %d", index, s.data.index)
		return Result{Index: index, Err: err}
	}
	s.cachedView = nil
	s.data.index = index
	if err != nil {
		return Result{Index: index, Err: err}
	}
	r := s.data.apply(c)
	r.Index = index
	return r
}

// View returns an immutable view of the current state, for reading without locks.
func (s *State) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedView == nil {
		s.cachedView = &View{data: s.data.clone()}
	}
	return *s.cachedView
}

// apply dispatches one command.
func (d *data) apply(c Command) Result {
	if c.Term < d.term {
		return errorResult(errors.Wrapf(ErrFenced, "term %d, current %d", c.Term, d.term))
	}
	d.term = c.Term
	d.now = c.Now.UTC()
	switch {
	case c.BeginTerm != nil:
		return Result{}
	case c.Plan != nil:
		return d.planIntent(*c.Plan)
	case c.Confirm != nil:
		return d.confirmPlan(*c.Confirm)
	case c.Workers != nil:
		return d.setWorkers(*c.Workers)
	case c.Mark != nil:
		return d.markWorker(*c.Mark)
	case c.Claim != nil:
		return d.claimRequest(*c.Claim)
	case c.Settle != nil:
		return d.settleClaim(*c.Settle)
	case c.Expire != nil:
		return d.expire(*c.Expire)
	}
	return d.applyJob(c)
}

// applyJob dispatches a command that concerns a job.
func (d *data) applyJob(c Command) Result {
	switch {
	case c.Place != nil:
		return d.placeJob(*c.Place)
	case c.Start != nil:
		return d.startJob(*c.Start)
	case c.Report != nil:
		return d.applyReport(*c.Report)
	case c.Stop != nil:
		return d.stopJob(*c.Stop)
	case c.End != nil:
		return d.endJob(*c.End)
	}
	return errorResult(ErrBadCommand)
}

// expiryAfter returns the time until which a record written now is kept.
func (d *data) expiryAfter(retention time.Duration) time.Time { return d.now.Add(retention) }
