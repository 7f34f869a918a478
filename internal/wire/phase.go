package wire

// Phases of a Task.
const (
	PhasePrepare = "prepare" // take a lease, start nothing
	PhaseRun  = "run"     // start under the lease that is held
	PhaseStop = "stop"    // checkpoint, then stop
)

// States of a ClaimReply.
const (
	ClaimGranted = "granted" // the asker may run the request
	ClaimRunning = "running" // another attempt may be running it
	ClaimAnswered  = "answer"  // it ran; the answer is in the reply
	ClaimUnknown = "unknown" // it may have run; the answer is lost
)

// ProbePrefix begins the name of a task by which the leader tries a worker.
const ProbePrefix = "probe/"
