package client

// Paths of the HTTP interface of callers and operators.
const (
	PathCall          = "/v1/call/" // followed by the service
	PathIntents       = "/v1/intents"
	PathPlans         = "/v1/plans/" // followed by the plan's id, and /confirm
	PathTeams         = "/v1/teams"
	PathServices      = "/v1/services"
	PathJobs          = "/v1/jobs" // followed by the job's id, and /explain
	PathWorkers       = "/v1/workers"
	PathConfig        = "/v1/config"
	PathConfigHistory = "/v1/config/history"
	PathConfigDiff    = "/v1/config/diff"
	PathConfigStatus  = "/v1/config/status"
	PathMembers       = "/v1/members"
	PathAgents        = "/v1/agents" // followed by the agent's name, and /drain or /undrain
	PathGuarantees    = "/v1/reports/guarantees"
	PathFragmentation = "/v1/reports/fragmentation"
)
