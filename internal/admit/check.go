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
		return nil, nil, 0, refuse(ErrBadValue, "urgency", string(r.Urgency))
	}
	return s, a, level, q.checkFields(r, now)
}

func (q *Queue) checkFields(r Request, now time.Time) error {
	switch {
	case r.ID == "":
		return refuse(ErrBadValue, "id", r.ID)
	case r.Declared != "" && r.Declared != Short && r.Declared != Long:
		return refuse(ErrBadValue, "class", string(r.Declared))
	case r.SizeMs < 0 || r.SizeMs > maxDeclaredMs:
		return refuse(ErrBadValue, "size", strconv.FormatInt(r.SizeMs, 10))
	case len(r.Key) > KeyMax:
		return refuse(ErrKeyTooLong, "key", r.Key)
	case r.Key == "" && !r.Idempotent:
		return refuse(ErrKeyMissing, "key", "")
	case !r.Deadline.IsZero() && !r.Deadline.After(now):
		return refuse(ErrDeadlinePast, "deadline", r.Deadline.Format(time.RFC3339Nano))
	}
	if _, ok := q.running[r.ID]; ok || q.queued[r.ID] != nil {
		return refuse(ErrDuplicate, "id", r.ID)
	}
	return nil
}

// maxDeclaredMs is the longest run time in milliseconds that may be declared: one week.
const maxDeclaredMs = 7 * 24 * 3_600_000
