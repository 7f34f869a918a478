package contrl

import "strings"

// apiRoute binds a verb and a path to a handler. A "*" segment matches any
// segment that isn't empty.
type apiRoute struct {
	verb   string
	path   string
	handle apiHandler
}

// apiRoutes are the routes of operators' requests that control handles.
var apiRoutes = []apiRoute{
	{"POST", "/v1/intents", apiIntent},
	{"POST", "/v1/plans/*/confirm", apiConfirm},
	{"GET", "/v1/plans/*", apiPlan},
	{"GET", "/v1/teams", apiTeams},
	{"GET", "/v1/services", apiServices},
	{"GET", "/v1/jobs", apiJobs},
	{"GET", "/v1/jobs/*", apiJob},
	{"GET", "/v1/jobs/*/explain", apiExplain},
	{"GET", "/v1/workers", apiWorkers},
	{"GET", "/v1/config", apiConfig},
	{"GET", "/v1/config/history", apiHistory},
	{"GET", "/v1/config/diff", apiDiff},
	{"GET", "/v1/config/status", apiStatus},
	{"GET", "/v1/members", apiMembers},
	{"POST", "/v1/members", apiChangeMember},
	{"GET", "/v1/agents", apiAgents},
	{"POST", "/v1/agents/*/drain", apiDrain},
	{"POST", "/v1/agents/*/undrain", apiUndrain},
	{"GET", "/v1/reports/guarantees", apiGuarantees},
	{"GET", "/v1/reports/fragmentation", apiFragmentation},
}

// findRoute returns the handler for a request and the segments that match the
// wildcards, or nil if there is no such route.
func findRoute(verb, path string) (apiHandler, []string) {
	for _, r := range apiRoutes {
		if r.verb != verb {
			continue
		}
		if params, ok := matchPath(r.path, path); ok {
			return r.handle, params
		}
	}
	return nil, nil
}

func matchPath(pattern, path string) (params []string, ok bool) {
	patternParts := strings.Split(pattern, "/")
	pathParts := strings.Split(path, "/")
	if len(patternParts) != len(pathParts) {
		return nil, false
	}
	for i := range patternParts {
		switch {
		case patternParts[i] == "*" && pathParts[i] != "":
			params = append(params, pathParts[i])
		case patternParts[i] != pathParts[i]:
			return nil, false
		}
	}
	return params, true
}
