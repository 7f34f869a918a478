package route

import (
	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// Grant allows one entry to run one request on a slot. Grant ids are never reused.
type Grant struct {
	ID    uint64
	Entry string
	Class admit.SlotClass
}

// StepKind says whether a grant is given or revoked.
type StepKind string

// The kinds of Step.
const (
	StepGrant  StepKind = "grant"
	StepRevoke StepKind = "revoke"
)

// Step is a message from the agent to an entry about one grant. A revocation takes
// effect at the agent at once, whether or not the entry has received it.
type Step struct {
	Kind  StepKind
	Grant Grant
}

// The reasons for which an agent refuses a request. A refused request has not run.
var (
	ErrRevoked  = errors.New("the grant is not valid any more")
	ErrReserved = errors.New("the slot is reserved for short requests")
)

// grantState is the state of a grant at the agent.
type grantState struct {
	Grant
	running bool
	long    bool // the running request is long or has exceeded the short limit
}
