package wire

// Names of the methods that the processes call on each other.
const (
	MethodSync   = "sync"   // entry or agent to control: heartbeat
	MethodReport = "report" // agent to control: results of tasks
	MethodClaim  = "claim"  // entry to control: claim a non-idempotent request
	MethodSettle = "settle" // agent or entry to control: outcome of a claim
	MethodAPI    = "api"    // entry to control: an operator's request
	MethodRead   = "read"   // control to control: index of the log for a linearizable read
	MethodLog    = "log"    // control to control: messages of the replicated log
	MethodGrant  = "grant"  // agent to entry, stream: credits one way, demand the other
	MethodWork   = "work"   // entry to agent: one request
	MethodLeader = "leader" // any process to control: names of the leader and of all control processes
	MethodJob    = "job"    // entry or control to the leader: a call about jobs or their configuration
	// MethodReservedJob is MethodJob with a Reserve before the call.
	MethodReservedJob = "jobreserved"
	MethodAttend      = "attend" // agent to the leader, stream: reports one way, orders the other
)
