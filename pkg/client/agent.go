package client

import "time"

// AgentState is the state of an agent.
type AgentState string

// The states of an agent.
const (
	AgentReady    AgentState = "ready"
	AgentDraining AgentState = "draining" // finishes its work and gets no more
	AgentLeaving  AgentState = "leaving"  // its backend server has announced that it is shutting down
	AgentSuspect  AgentState = "suspect"  // its heartbeat is late
)

// Agent is the process beside one backend server.
type Agent struct {
	Name      string     `json:"name"`
	Service   string     `json:"service"`
	Domain    string     `json:"domain,omitempty"`
	Backend   string     `json:"backend"` // id of its backend server
	Slots     int        `json:"slots"`
	FreeSlots int        `json:"free"`
	State     AgentState `json:"state"`
	LastSeen  time.Time  `json:"seen"` // time of its last heartbeat
}

// AgentList is the answer of GET /v1/agents.
type AgentList struct {
	Agents []Agent `json:"agents"`
}
