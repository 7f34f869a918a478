package state

import (
	"fmt"
	"iter"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Limits of claims.
const (
	MaxKeyBytes    = 256      // bytes of a request key and of the other strings of a claim
	MaxAnswerBytes = 64 << 10 // bytes of an answer's body
	MaxHeaderBytes = 8 << 10  // bytes of an answer's headers, names and values
)

// ClaimState is the state of a claim.
type ClaimState string

// The states of a claim.
const (
	ClaimInFlight ClaimState = "flight"   // an attempt may be running
	ClaimAnswered ClaimState = "answered" // an attempt ran and its answer is known
	ClaimNotRun   ClaimState = "notrun"   // no attempt ran; a new one may be granted
	ClaimUnknown  ClaimState = "unknown"  // an attempt may have run; no further attempt is granted
)

// Header is one header line of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is the response of a backend server.
type Answer struct {
	Status      int      `json:"status"` // HTTP status code
	Header      []Header `json:"header,omitempty"`
	Body        []byte   `json:"body,omitempty"`
	BodyDropped bool     `json:"dropped,omitempty"` // the body was too large to keep
}

// Claim records which attempt may run a non-idempotent request, and the outcome.
type Claim struct {
	Team      string     `json:"team"`
	Key       string     `json:"key"`
	Service   string     `json:"service"`
	BodyHash  string     `json:"body"` // hash of the request's body
	State     ClaimState `json:"state"`
	Epoch     uint64     `json:"epoch"`   // log index at which the last attempt was granted
	Entry     string     `json:"entry"`   // entry process of that attempt
	Attempt   string     `json:"attempt"` // id of that attempt
	Answer    *Answer    `json:"answer,omitempty"`
	GrantedAt time.Time  `json:"claimed"`  // when that attempt was granted
	Deadline  time.Time  `json:"deadline"` // when the claim is removed
}

// ClaimRequest asks for permission to run a non-idempotent request once.
type ClaimRequest struct {
	Team     string `json:"team"`
	Service  string `json:"service"`
	Key      string `json:"key"`
	BodyHash string `json:"body"`    // hash of the request's body
	Entry    string `json:"entry"`   // entry process that asks
	Attempt  string `json:"attempt"` // unique id; a command proposed twice is granted as one attempt
}

// SettleClaim records the outcome of an attempt. ClaimNotRun is only for attempts
// that can no longer start.
type SettleClaim struct {
	Team   string     `json:"team"`
	Key    string     `json:"key"`
	Epoch  uint64     `json:"epoch"` // epoch under which the attempt was granted
	State  ClaimState `json:"state"` // answered, notrun or unknown
	Answer *Answer    `json:"answer,omitempty"`
}

// ClaimResult says whether the attempt may run, and holds the current claim.
type ClaimResult struct {
	Granted bool
	Claim   Claim
}

func claimKey(team, key string) string { return team + "\x00" + key }

// Check returns a refusal for each invalid field of the request.
func (c ClaimRequest) Check() []model.Refusal {
	var refusals []model.Refusal
	for _, f := range []struct{ field, value string }{
		{"team", c.Team},
		{"service", c.Service},
		{"key", c.Key},
		{"body", c.BodyHash},
		{"entry", c.Entry},
		{"attempt", c.Attempt},
	} {
		if f.value == "" {
			refusals = append(refusals, model.Refusal{Field: f.field, Reason: "is missing"})
		}
		if len(f.value) > MaxKeyBytes {
			refusals = append(refusals, tooLongRefusal(f.field, f.value, MaxKeyBytes))
		}
		if !utf8.ValidString(f.value) {
			refusals = append(refusals, newRefusal(f.field, f.value, "is not valid UTF-8"))
		}
	}
	return refusals
}

// Check returns a refusal for each invalid field of the outcome.
func (c SettleClaim) Check() []model.Refusal {
	switch c.State {
	case ClaimNotRun, ClaimUnknown:
		if c.Answer != nil {
			return []model.Refusal{{Field: "answer", Reason: "is only for answered claims"}}
		}
		return nil
	case ClaimAnswered:
		if c.Answer == nil {
			return []model.Refusal{{Field: "answer", Reason: "is missing"}}
		}
		return c.Answer.check()
	}
	return []model.Refusal{{Field: "state", Value: string(c.State), Reason: "is not answered, notrun or unknown"}}
}

func (a Answer) check() []model.Refusal {
	var refusals []model.Refusal
	if a.Status < 100 || a.Status > 599 {
		refusals = append(refusals, newRefusal("answer.status", a.Status, "is not an HTTP status"))
	}
	if len(a.Body) > MaxAnswerBytes {
		refusals = append(refusals, newRefusal("answer.body", len(a.Body), "is too long to keep, in bytes"))
	}
	size := 0
	for i, h := range a.Header {
		size += len(h.Name) + len(h.Value)
		if !utf8.ValidString(h.Name + h.Value) {
			refusals = append(refusals, newRefusal(fmt.Sprintf("answer.header[%d]", i), h.Name, "is not valid UTF-8"))
		}
	}
	if size > MaxHeaderBytes {
		refusals = append(refusals, newRefusal("answer.header", size, "is too long to keep, in bytes"))
	}
	return refusals
}

// claimRequest grants the first attempt. It grants another attempt only if the
// last one is known not to have run.
func (d *data) claimRequest(c ClaimRequest) Result {
	if refusals := c.Check(); len(refusals) > 0 {
		return refusedResult(refusals)
	}
	old, ok := d.claims.get(claimKey(c.Team, c.Key))
	if !ok {
		return d.createClaim(c)
	}
	if old.BodyHash != c.BodyHash || old.Service != c.Service {
		return errorResult(errors.Wrapf(ErrKeyReused, "key %q of team %q", c.Key, c.Team))
	}
	if old.State == ClaimNotRun {
		return d.grantAttempt(*old, c)
	}
	sameAttempt := old.State == ClaimInFlight && old.Entry == c.Entry && old.Attempt == c.Attempt
	return Result{Claim: &ClaimResult{Granted: sameAttempt, Claim: *old}}
}

// createClaim creates a claim, which is kept for the KeepDays of its service, and
// grants the first attempt.
func (d *data) createClaim(c ClaimRequest) Result {
	if _, ok := d.config.Team(c.Team); !ok {
		return refusedResult([]model.Refusal{{Field: "team", Value: c.Team, Reason: "is not a team"}})
	}
	s, ok := d.config.Service(c.Service)
	if !ok {
		return refusedResult([]model.Refusal{{Field: "service", Value: c.Service, Reason: "is not a service"}})
	}
	if s.KeepDays == 0 {
		return refusedResult([]model.Refusal{{
			Field: "service", Value: c.Service,
			Reason: "keeps no answers (keepdays is 0), so it takes no non-idempotent requests",
		}})
	}
	deadline := d.expiryAfter(time.Duration(s.KeepDays) * 24 * time.Hour)
	d.setDeadline(deadline, deadlineClaim, claimKey(c.Team, c.Key))
	return d.grantAttempt(Claim{
		Team: c.Team, Key: c.Key, Service: s.Name, BodyHash: c.BodyHash, Deadline: deadline,
	}, c)
}

func (d *data) grantAttempt(cl Claim, c ClaimRequest) Result {
	cl.State = ClaimInFlight
	cl.Epoch = d.index
	cl.Entry = c.Entry
	cl.Attempt = c.Attempt
	cl.GrantedAt = d.now
	d.putClaim(cl)
	return Result{Claim: &ClaimResult{Granted: true, Claim: cl}}
}

// settleClaim records the outcome of the current attempt. The first outcome is
// final, except that an unknown outcome may later be replaced by an answer.
func (d *data) settleClaim(c SettleClaim) Result {
	if refusals := c.Check(); len(refusals) > 0 {
		return refusedResult(refusals)
	}
	old, ok := d.claims.get(claimKey(c.Team, c.Key))
	if !ok {
		return errorResult(errors.Wrapf(ErrNotFound, "claim on key %q of team %q", c.Key, c.Team))
	}
	if c.Epoch != old.Epoch {
		return errorResult(errors.Wrapf(ErrFenced, "claim epoch %d, current %d", c.Epoch, old.Epoch))
	}
	cl := *old
	if cl.State != ClaimInFlight && (cl.State != ClaimUnknown || c.State != ClaimAnswered) {
		return Result{Err: errors.Wrapf(ErrSettled, "outcome is %s", cl.State), Claim: &ClaimResult{Claim: cl}}
	}
	cl.State = c.State
	cl.Answer = c.Answer
	d.putClaim(cl)
	return Result{Claim: &ClaimResult{Claim: cl}}
}

// putClaim stores a claim and updates the index of claims in flight.
func (d *data) putClaim(cl Claim) {
	id := claimKey(cl.Team, cl.Key)
	d.claims.set(id, &cl)
	key := timeKey(cl.GrantedAt, deadlineClaim, id)
	if cl.State == ClaimInFlight {
		d.inFlight.set(key, struct{}{})
		return
	}
	d.inFlight.drop(key)
}

func (d *data) dropClaim(id string) {
	if cl, ok := d.claims.get(id); ok {
		d.inFlight.drop(timeKey(cl.GrantedAt, deadlineClaim, id))
		d.claims.drop(id)
	}
}

// ClaimsInFlight yields the claims that were granted before a time and have no
// outcome yet, oldest first. The caller records the outcome as unknown if the entry
// process of a claim no longer exists.
func (v View) ClaimsInFlight(before time.Time) iter.Seq[*Claim] {
	return func(yield func(*Claim) bool) {
		for key := range v.data.inFlight.all() {
			nanos, _, id := parseTimeKey(key)
			if nanos >= before.UnixNano() {
				return
			}
			if cl, ok := v.data.claims.get(id); ok && !yield(cl) {
				return
			}
		}
	}
}
