package state

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of one Expire command, so that it doesn't block the log for long.
const (
	defaultExpire = 256
	maxExpire     = 4096
)

// Expire processes deadlines that have passed, at most Limit of them, earliest
// first. It removes ended jobs, plans and claims, and marks open plans as expired.
type Expire struct {
	Limit int `json:"limit,omitempty"` // 0 means the default
}

// The kinds of deadlines.
const (
	dueClaim = "claim"
	dueJob   = "job"
	duePlan  = "plan"
	dueOpen  = "open" // deadline for the confirmation of an open plan
)

// dueKey returns a key that sorts by deadline, then by kind and id.
func dueKey(at time.Time, kind, id string) string {
	return fmt.Sprintf("%020d %s %s", max(at.UnixNano(), 0), kind, id)
}

func (d *data) setDue(at time.Time, kind, id string) {
	d.due.set(dueKey(at, kind, id), struct{}{})
}

// parseDue splits a key that dueKey made.
func parseDue(key string) (nanos int64, kind, id string) {
	at, rest, _ := strings.Cut(key, " ")
	kind, id, _ = strings.Cut(rest, " ")
	nanos, _ = strconv.ParseInt(at, 10, 64)
	return nanos, kind, id
}

func (d *data) expire(c Expire) Result {
	limit := c.Limit
	if limit == 0 {
		limit = defaultExpire
	}
	if limit < 0 || limit > maxExpire {
		return failed(errors.Wrapf(ErrBadCommand, "limit %d, want 1 to %d", c.Limit, maxExpire))
	}
	var r Result
	for r.Expired < limit && d.expireFirst() {
		r.Expired++
	}
	r.More = d.anyDue()
	return r
}

// anyDue reports whether the earliest deadline has passed.
func (d *data) anyDue() bool {
	key, _, ok := d.due.first()
	if !ok {
		return false
	}
	at, _, _ := parseDue(key)
	return at <= d.now.UnixNano()
}

// expireFirst processes the earliest deadline if it has passed, and reports
// whether it did.
func (d *data) expireFirst() bool {
	if !d.anyDue() {
		return false
	}
	key, _, _ := d.due.first()
	d.due.drop(key)
	_, kind, id := parseDue(key)
	switch kind {
	case dueClaim:
		d.dropClaim(id)
	case dueJob:
		d.jobs.drop(id)
	case duePlan:
		d.dropPlan(id)
	case dueOpen:
		d.lapsePlan(id)
	}
	return true
}

// NextDeadline returns the earliest deadline, and false if there is none.
func (v View) NextDeadline() (time.Time, bool) {
	key, _, ok := v.data.due.first()
	if !ok {
		return time.Time{}, false
	}
	at, _, _ := parseDue(key)
	return time.Unix(0, at).UTC(), true
}
