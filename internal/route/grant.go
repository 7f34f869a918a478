package route

import (
	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// Grant allows one entry to run one request on a slot. Its id is never used
// again.
type Grant struct {
	ID    uint64
	Entry string
	Class admit.SlotClass
}

// UpdateKind says what is to be sent to an entry.
type UpdateKind string

// The kinds of steps.
const (
	UpdateGrant  UpdateKind = "grant"
	UpdateRevoke UpdateKind = "revoke"
)

// GrantUpdate is one message from the agent to an entry. A revoke takes effect at the
// agent at once, whether or not the entry has heard of it.
type GrantUpdate struct {
	Kind  UpdateKind
	Grant Grant
}

// The reasons for which an agent refuses a request. It has not run.
var (
	ErrRevoked  = errors.New("the grant is not valid any more")
	ErrReserved = errors.New("the slot is reserved for short requests")
)

// grantState is a grant as the agent accounts it.
type grantState struct {
	Grant
	running bool
	long    bool // runs a request that is long or has outlived the short class
}
