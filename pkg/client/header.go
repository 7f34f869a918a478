package client

// HeaderPrefix begins the headers that are meant for this system alone.
const HeaderPrefix = "X-Knap-"

// Headers of requests and answers.
const (
	HeaderUrgency  = "X-Knap-Urgency"  // urgent, normal or low; normal if absent
	HeaderDeadline = "X-Knap-Deadline" // RFC 3339, or milliseconds since 1970
	HeaderIdempotencyKey      = "X-Knap-Key"      // idempotency key; marks a request that must run at most once
	HeaderAtMostOnce     = "X-Knap-Once"     // true marks a request that must run at most once; it needs a key
	HeaderClass    = "X-Knap-Class"    // short or long, as the caller declares
	HeaderDeclaredMs     = "X-Knap-Size"     // declared work in milliseconds
	HeaderRequestID  = "X-Request-Id"    // id of the request, made up by the entry if absent
	HeaderOutcome  = "X-Knap-Outcome"  // of an answer: answer, not-run or unknown
	HeaderOperator = "X-Operator"      // name of the operator
)

// Class says whether a request is declared short or long.
type Class string

// The classes of requests.
const (
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Outcome says what became of a caller's request.
type Outcome string

// The outcomes of a caller's request.
const (
	OutcomeAnswer  Outcome = "answer"  // the backend server's whole answer
	OutcomeNotRun  Outcome = "not-run" // it didn't run and won't
	OutcomeUnknown Outcome = "unknown" // it may have run
)
