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

// UpdateKind says whether a grant is given or revoked.
type UpdateKind string

// The kinds of GrantUpdate.
const (
	UpdateGrant  UpdateKind = "grant"
	UpdateRevoke UpdateKind = "revoke"
)

// GrantUpdate is a message from the agent to an entry about one grant. A revocation takes
// effect at the agent at once, whether or not the entry has received it.
type GrantUpdate struct {
	Kind  UpdateKind
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
