package client

import "time"

// AgentState is where an agent stands.
type AgentState string

// The states of an agent.
const (
	AgentReady    AgentState = "ready"
	AgentDraining AgentState = "draining" // finishes its work and gets no more
	AgentLeaving  AgentState = "leaving"  // its backend server has said that it leaves
	AgentSuspect  AgentState = "suspect"  // its heartbeat is late
)

// Agent is the process beside one backend server.
type Agent struct {
	Name    string     `json:"name"`
	Service string     `json:"service"`
	Domain  string     `json:"domain,omitempty"`
	Backend string     `json:"backend"` // id of its backend server
	Slots   int        `json:"slots"`
	FreeSlots    int        `json:"free"` // slots
	State   AgentState `json:"state"`
	LastSeen    time.Time  `json:"seen"`
}

// AgentList is the answer of GET /v1/agents.
type AgentList struct {
	Agents []Agent `json:"agents"`
}
