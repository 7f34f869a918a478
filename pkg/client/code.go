package client

// Codes that only answers to callers have. The header HeaderOutcome says whether
// the request ran.
const (
	CodeStale     Code = "stale"    // the configuration of the process may be outdated
	CodeDraining  Code = "draining" // the process is shutting down
	CodeLost      Code = "lost"     // the connection to the backend server was lost
	CodeTruncated Code = "cut"      // the backend server's answer was cut short
	CodeRunning   Code = "running"  // another attempt of the request may be running
)
