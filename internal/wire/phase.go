package wire

// Values of the phase of a Task, which says what the agent must do with it.
const (
	PhasePrepare = "prepare" // take a lease, start nothing
	PhaseRun     = "run"     // start under the lease taken before
	PhaseStop    = "stop"    // checkpoint, then stop
)

// Values of the state of a ClaimReply.
const (
	ClaimGranted  = "granted" // the claiming entry may run the request
	ClaimRunning  = "running" // another attempt may be running the request
	ClaimAnswered = "answer"  // the request ran; the reply holds its answer
	ClaimUnknown  = "unknown" // the request may have run; its answer is lost
)

// ProbePrefix is the prefix of the job id of a task with which the leader tests
// whether a worker can run tasks.
const ProbePrefix = "probe/"
