package jobs

// CallKind is the operation that a call requests.
type CallKind string

// The kinds of calls. CallState returns the phase of a job, CallCount the number of
// pending jobs in a queue.
const (
	CallSubmit    CallKind = "submit"
	CallState     CallKind = "state"
	CallCancel    CallKind = "cancel"
	CallCount     CallKind = "count"
	CallPutConfig CallKind = "putconfig"
	CallGetConfig CallKind = "getconfig"
	// CallEvacuate and CallWithdraw have the name of a failure domain as their path.
	CallEvacuate    CallKind = "evacuate"
	CallWithdraw    CallKind = "withdraw"
	CallEvacuations CallKind = "evacuations" // in force
)

// CallOutcome is the result of a call.
type CallOutcome string

// The outcomes of calls. After Refused and NoConfig, a job submitted with the call
// never runs.
const (
	Accepted   CallOutcome = "accepted" // the job is stored
	Answered   CallOutcome = "told"     // the reply contains the state or the configuration text
	Counted    CallOutcome = "counted"  // the reply contains the number of pending jobs
	Stopped    CallOutcome = "stopped"  // the job is canceled or had already ended
	Stored     CallOutcome = "stored"   // this configuration or a newer one is in force
	NoQueue    CallOutcome = "noqueue"  // no queue matches the host and path
	UnknownKey CallOutcome = "nokey"    // the key belongs to no team
	NoJob      CallOutcome = "nojob"    // the job is unknown, or the caller may not access it
	Conflict   CallOutcome = "clash"    // the id is used by a different job
	Invalid    CallOutcome = "invalid"  // the request is malformed
	Refused    CallOutcome = "refused"  // there is no capacity for the job
	NoConfig   CallOutcome = "noconfig" // no configuration has been stored yet
	NoDomain   CallOutcome = "nodomain" // no such failure domain
	// Unavailable means that no leader was reachable and no request was sent.
	Unavailable CallOutcome = "unavailable"
	// Uncertain means that the call may have taken effect or may still do so.
	Uncertain CallOutcome = "uncertain"
)

// Refusal is the body of a reply with the outcome Refused, as JSON.
type Refusal struct {
	Reason  string `json:"reason"`
	RetryMs int64  `json:"retry"` // time left until the caller may come back
}
