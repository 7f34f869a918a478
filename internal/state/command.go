package state

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Command is one log entry. It holds the leader's term and time, and exactly one
// payload.
type Command struct {
	Version int       `json:"version"` // version of the encoding; set by Encode
	Term    uint64    `json:"term"`    // term of the leader that proposed it
	Now     time.Time `json:"now"`     // time on the leader's clock

	BeginTerm *BeginTerm    `json:"lead,omitempty"`
	Plan      *PlanIntent   `json:"plan,omitempty"`
	Confirm   *ConfirmPlan  `json:"confirm,omitempty"`
	Workers   *SetWorkers   `json:"workers,omitempty"`
	Mark      *MarkWorker   `json:"mark,omitempty"`
	Place     *PlaceJob     `json:"place,omitempty"`
	Start     *StartJob     `json:"start,omitempty"`
	Report    *Report       `json:"report,omitempty"`
	Stop      *StopJob      `json:"stop,omitempty"`
	End       *EndJob       `json:"end,omitempty"`
	Claim     *ClaimRequest `json:"claim,omitempty"`
	Settle    *SettleClaim  `json:"settle,omitempty"`
	Expire    *Expire       `json:"expire,omitempty"`
}

// cmdVersion is the version of the commands. It is raised with each change that
// an older program would misread or apply differently.
const cmdVersion = 1

// Range of years accepted from a leader's clock. Deadlines are ordered as 64-bit
// nanoseconds since 1970, which overflow in 2262.
const (
	minYear = 2000
	maxYear = 2200
)

// BeginTerm is the first command of a new leader. It only raises the term, so that
// commands of earlier leaders are rejected.
type BeginTerm struct{}

// Encode validates the command and returns it in the encoding that Apply reads.
func Encode(c Command) ([]byte, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if refusals := c.checkInput(); len(refusals) > 0 {
		return nil, errors.Wrapf(ErrRefused, "%s %s", refusals[0].Field, refusals[0].Reason)
	}
	c.Version = cmdVersion
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "encode command")
}

// Decode decodes a command that Encode wrote. It returns ErrVersion for a command
// that a newer program wrote.
func Decode(b []byte) (Command, error) {
	var c Command
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return Command{}, errors.Wrapf(decodeError(b), "decode: %v", err)
	}
	if c.Version > cmdVersion {
		return Command{}, errors.Wrapf(ErrVersion, "command of version %d", c.Version)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Command{}, errors.Wrap(ErrBadCommand, "trailing data")
	}
	return c, c.validate()
}

// decodeError returns ErrVersion for a command of a newer program, and
// ErrBadCommand for a malformed one.
func decodeError(b []byte) error {
	var head struct {
		Version int `json:"version"`
	}
	if json.Unmarshal(b, &head) == nil && head.Version > cmdVersion {
		return ErrVersion
	}
	return ErrBadCommand
}

// validate checks the term, the time, and that exactly one payload is set.
func (c Command) validate() error {
	if c.Term == 0 {
		return errors.Wrap(ErrBadCommand, "term is zero")
	}
	if c.Now.IsZero() {
		return errors.Wrap(ErrBadCommand, "now is not set")
	}
	if y := c.Now.Year(); y < minYear || y > maxYear {
		return errors.Wrapf(ErrBadCommand, "now is in the year %d", y)
	}
	if n := c.payloadCount(); n != 1 {
		return errors.Wrapf(ErrBadCommand, "%d payloads, want exactly one", n)
	}
	return nil
}

// checkInput returns refusals for values that JSON would alter (invalid UTF-8) or
// that would make the command too large.
func (c Command) checkInput() []model.Refusal {
	switch {
	case c.Claim != nil:
		return c.Claim.Check()
	case c.Settle != nil:
		return c.Settle.Check()
	}
	return nil
}

func (c Command) payloadCount() int {
	n := 0
	for _, set := range []bool{
		c.BeginTerm != nil, c.Plan != nil, c.Confirm != nil, c.Workers != nil,
		c.Mark != nil, c.Place != nil, c.Start != nil, c.Report != nil,
		c.Stop != nil, c.End != nil, c.Claim != nil, c.Settle != nil, c.Expire != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
