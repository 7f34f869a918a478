package jobs

// Kind is the operation that a call requests.
type Kind string

// The kinds of calls. CallState returns the phase of a job, CallCount the number of
// pending jobs in a queue.
const (
	CallSubmit Kind = "submit"
	CallState  Kind = "state"
	CallCancel Kind = "cancel"
	CallCount  Kind = "count"
	CallPut    Kind = "putconfig"
	CallGet    Kind = "getconfig"
)

// Outcome is the result of a call.
type Outcome string

// The outcomes of calls. After Refused and NoConfig, a job submitted with the call
// never runs.
const (
	Accepted Outcome = "accepted" // the job is stored
	Told     Outcome = "told"     // the reply contains the state or the configuration text
	Counted  Outcome = "counted"  // the reply contains the number of pending jobs
	Stopped  Outcome = "stopped"  // the job is canceled or had already ended
	Stored   Outcome = "stored"   // this configuration or a newer one is in force
	NoQueue  Outcome = "noqueue"  // no queue matches the host and path
	NoKey    Outcome = "nokey"    // the key belongs to no team
	NoJob    Outcome = "nojob"    // the job is unknown, or the caller may not access it
	Clash    Outcome = "clash"    // the id is used by a different job
	Invalid  Outcome = "invalid"  // the request is malformed
	Refused  Outcome = "refused"  // there is no capacity for the job
	NoConfig Outcome = "noconfig" // no configuration has been stored yet
	// Unavailable means that no leader was reachable and no request was sent.
	Unavailable Outcome = "unavailable"
	// Uncertain means that the call may have taken effect or may still do so.
	Uncertain Outcome = "uncertain"
)
