package wire

// Methods that the processes call on one another.
const (
	MethodSync   = "sync"   // entry or agent to control: heartbeat
	MethodReport = "report" // agent to control: what became of tasks
	MethodClaim  = "claim"  // entry to control: claim a non-idempotent request
	MethodSettle = "settle" // agent or entry to control: outcome of a claim
	MethodAPI    = "api"    // entry to control: an operator's request
	MethodRead   = "read"   // control to control: linearizable read index
	MethodLog    = "log"    // control to control: messages of the replicated log
	MethodGrant  = "grant"  // agent to entry: credits and demand
	MethodWork   = "work"   // entry to agent: one request
	MethodLeader = "leader" // anyone to control: who leads, and which control processes there are
	MethodJob    = "job"    // entry or control to the leader: a call about jobs or their configuration
	MethodAttend = "attend" // agent to the leader: reports one way, orders the other
)
