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
	defaultExpireLimit = 256
	maxExpireLimit     = 4096
)

// Expire processes deadlines that have passed, at most Limit of them, earliest
// first. It removes ended jobs, plans and claims, and marks open plans as
// expired.
type Expire struct {
	Limit int `json:"limit,omitempty"` // 0 means the default
}

// The kinds of deadlines.
const (
	deadlineClaim    = "claim"
	deadlineJob      = "job"
	deadlinePlan     = "plan"
	deadlineOpenPlan = "open" // deadline for the confirmation of an open plan
)

// timeKey returns a key that sorts by a time, then by kind and id. It holds the
// nanoseconds since 1970; an earlier time counts as 1970, since a minus sign would
// break the order.
func timeKey(t time.Time, kind, id string) string {
	return fmt.Sprintf("%020d %s %s", max(t.UnixNano(), 0), kind, id)
}

func (d *data) setDeadline(deadline time.Time, kind, id string) {
	d.deadlines.set(timeKey(deadline, kind, id), struct{}{})
}

// parseTimeKey splits a key that timeKey made.
func parseTimeKey(key string) (nanos int64, kind, id string) {
	nanosText, rest, _ := strings.Cut(key, " ")
	kind, id, _ = strings.Cut(rest, " ")
	nanos, _ = strconv.ParseInt(nanosText, 10, 64)
	return nanos, kind, id
}

func (d *data) expire(c Expire) Result {
	limit := c.Limit
	if limit == 0 {
		limit = defaultExpireLimit
	}
	if limit < 0 || limit > maxExpireLimit {
		return errorResult(errors.Wrapf(ErrBadCommand, "limit %d, want 1 to %d", c.Limit, maxExpireLimit))
	}
	var r Result
	for r.Expired < limit && d.expireEarliest() {
		r.Expired++
	}
	r.More = d.anyDeadlinePassed()
	return r
}

// anyDeadlinePassed reports whether the earliest deadline has passed.
func (d *data) anyDeadlinePassed() bool {
	key, _, ok := d.deadlines.first()
	if !ok {
		return false
	}
	nanos, _, _ := parseTimeKey(key)
	return nanos <= d.now.UnixNano()
}

// expireEarliest processes the earliest deadline if it has passed, and reports
// whether it did.
func (d *data) expireEarliest() bool {
	if !d.anyDeadlinePassed() {
		return false
	}
	key, _, _ := d.deadlines.first()
	d.deadlines.drop(key)
	_, kind, id := parseTimeKey(key)
	switch kind {
	case deadlineClaim:
		d.dropClaim(id)
	case deadlineJob:
		d.jobs.drop(id)
	case deadlinePlan:
		d.dropPlan(id)
	case deadlineOpenPlan:
		d.expirePlan(id)
	}
	return true
}

// NextDeadline returns the earliest deadline, and false if there is none.
func (v View) NextDeadline() (time.Time, bool) {
	key, _, ok := v.data.deadlines.first()
	if !ok {
		return time.Time{}, false
	}
	nanos, _, _ := parseTimeKey(key)
	return time.Unix(0, nanos).UTC(), true
}
