package client

// Codes of answers to callers, beside those of every error answer. The header
// HeaderOutcome says whether the request ran.
const (
	CodeStale    Code = "stale"    // the process can't vouch for its configuration
	CodeDraining Code = "draining" // the process is being stopped
	CodeLost     Code = "lost"     // the connection to the backend server was lost
	CodeTruncated      Code = "cut"      // the answer was cut
	CodeRunning  Code = "running"  // another attempt of the request may be running
)
