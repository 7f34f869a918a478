package state

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Command is one entry of the log: the leader's term and time, and exactly one
// payload.
type Command struct {
	Version int       `json:"version"` // of the commands' form; set by Encode
	Term    uint64    `json:"term"`    // of the leader that proposed it
	Now     time.Time `json:"now"`     // the leader's clock

	Lead    *Lead         `json:"lead,omitempty"`
	Plan    *PlanIntent   `json:"plan,omitempty"`
	Confirm *ConfirmPlan  `json:"confirm,omitempty"`
	Workers *SetWorkers   `json:"workers,omitempty"`
	Mark    *MarkWorker   `json:"mark,omitempty"`
	Place   *PlaceJob     `json:"place,omitempty"`
	Start   *StartJob     `json:"start,omitempty"`
	Report  *Report       `json:"report,omitempty"`
	Stop    *StopJob      `json:"stop,omitempty"`
	End     *EndJob       `json:"end,omitempty"`
	Claim   *ClaimRequest `json:"claim,omitempty"`
	Settle  *SettleClaim  `json:"settle,omitempty"`
	Expire  *Expire       `json:"expire,omitempty"`
}

// cmdVersion goes up with each change of the commands that an older program
// would misread or carry out differently.
const cmdVersion = 1

// Years that a leader's clock may show. Deadlines are ordered as nanoseconds
// in 64 bits, which end in 2262.
const (
	minYear = 2000
	maxYear = 2200
)

// Lead is a new leader's first command. It changes nothing but the term, from
// which on commands of former leaders are refused.
type Lead struct{}

// Encode returns the command in the form that Apply reads.
func Encode(c Command) ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if bad := c.badInput(); len(bad) > 0 {
		return nil, errors.Wrapf(ErrRefused, "%s %s", bad[0].Field, bad[0].Reason)
	}
	c.Version = cmdVersion
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "encode command")
}

// Decode reads a command that Encode wrote. One that a newer program wrote
// gives ErrVersion.
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
		return Command{}, errors.Wrap(ErrBadCommand, "trailing bytes")
	}
	return c, c.check()
}

// decodeError tells a command of a newer program from a malformed one.
func decodeError(b []byte) error {
	var head struct {
		Version int `json:"version"`
	}
	if json.Unmarshal(b, &head) == nil && head.Version > cmdVersion {
		return ErrVersion
	}
	return ErrBadCommand
}

// check verifies the header and that exactly one payload is set.
func (c Command) check() error {
	if c.Term == 0 {
		return errors.Wrap(ErrBadCommand, "term is zero")
	}
	if c.Now.IsZero() {
		return errors.Wrap(ErrBadCommand, "now is not set")
	}
	if y := c.Now.Year(); y < minYear || y > maxYear {
		return errors.Wrapf(ErrBadCommand, "now is in the year %d", y)
	}
	if n := c.payloads(); n != 1 {
		return errors.Wrapf(ErrBadCommand, "%d payloads, want exactly one", n)
	}
	return nil
}

// badInput finds what the encoding wouldn't keep as it is or would make too large.
func (c Command) badInput() []model.Refusal {
	switch {
	case c.Claim != nil:
		return c.Claim.Check()
	case c.Settle != nil:
		return c.Settle.Check()
	}
	return nil
}

func (c Command) payloads() int {
	n := 0
	for _, set := range []bool{
		c.Lead != nil, c.Plan != nil, c.Confirm != nil, c.Workers != nil,
		c.Mark != nil, c.Place != nil, c.Start != nil, c.Report != nil,
		c.Stop != nil, c.End != nil, c.Claim != nil, c.Settle != nil, c.Expire != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
