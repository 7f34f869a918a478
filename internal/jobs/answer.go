package jobs

// Kind is what a call asks for.
type Kind string

// The kinds of calls.
const (
	CallSubmit Kind = "submit"
	CallState  Kind = "state"
	CallCancel Kind = "cancel"
	CallCount  Kind = "count"
	CallPut    Kind = "putconfig"
	CallGet    Kind = "getconfig"
)

// Outcome is the answer to a call.
type Outcome string

// The outcomes of calls. Refused and NoConfig mean that a job handed in with the
// call never runs.
const (
	Accepted Outcome = "accepted" // the job is stored
	Told     Outcome = "told"     // the state or text asked for
	Counted  Outcome = "counted"
	Stopped  Outcome = "stopped" // the job is cancelled, or had ended before
	Stored   Outcome = "stored"  // the configuration, or a newer one, is in force
	NoQueue  Outcome = "noqueue"
	NoKey    Outcome = "nokey" // the key belongs to no team
	NoJob    Outcome = "nojob"
	Clash    Outcome = "clash"   // the id belongs to another job
	Invalid  Outcome = "invalid" // the call can't be understood
	Refused  Outcome = "refused" // there is no room for the job
	NoConfig Outcome = "noconfig"
	// Unavailable means that no leader could be asked; nothing was sent.
	Unavailable Outcome = "unavailable"
	// Uncertain means that the call may have taken effect or may do so yet.
	Uncertain Outcome = "uncertain"
)
