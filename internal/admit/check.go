package admit

import (
	"strconv"
	"time"
)

// check validates a request and returns its service, its account and its urgency
// level.
func (q *Queue) check(r Request, now time.Time) (*serviceQueue, *account, int, error) {
	s := q.services[r.Service]
	if s == nil {
		return nil, nil, 0, refuse(ErrUnknownService, "service", r.Service)
	}
	a := q.accounts[r.Team]
	if a == nil {
		return nil, nil, 0, refuse(ErrUnknownTeam, "team", r.Team)
	}
	if s.allowedTeams != nil && !s.allowedTeams[r.Team] {
		return nil, nil, 0, refuse(ErrNotAllowed, "team", r.Team)
	}
	level, ok := urgencyLevel(r.Urgency)
	if !ok {
		return nil, nil, 0, refuse(ErrInvalidValue, "urgency", string(r.Urgency))
	}
	return s, a, level, q.checkFields(r, now)
}

func (q *Queue) checkFields(r Request, now time.Time) error {
	switch {
	case r.ID == "":
		return refuse(ErrInvalidValue, "id", r.ID)
	case r.DeclaredClass != "" && r.DeclaredClass != Short && r.DeclaredClass != Long:
		return refuse(ErrInvalidValue, "class", string(r.DeclaredClass))
	case r.DeclaredMs < 0 || r.DeclaredMs > maxDeclaredMs:
		return refuse(ErrInvalidValue, "size", strconv.FormatInt(r.DeclaredMs, 10))
	case len(r.Key) > MaxKeyLen:
		return refuse(ErrKeyTooLong, "key", r.Key)
	case r.Key == "" && !r.Idempotent:
		return refuse(ErrKeyMissing, "key", "")
	case !r.Deadline.IsZero() && !r.Deadline.After(now):
		return refuse(ErrDeadlinePassed, "deadline", r.Deadline.Format(time.RFC3339Nano))
	}
	if _, ok := q.running[r.ID]; ok || q.queued[r.ID] != nil {
		return refuse(ErrDuplicateID, "id", r.ID)
	}
	return nil
}

// maxDeclaredMs is the longest run time in milliseconds that may be declared: one week.
const maxDeclaredMs = 7 * 24 * 3_600_000
