package fakes

import "time"

// Run is the record of one request at a backend server.
type Run struct {
	Request string    `json:"request"` // X-Request-Id
	Key     string    `json:"key,omitempty"`
	Path    string    `json:"path"`
	Hash    string    `json:"hash"` // SHA-256 of the body, in hex
	Backend string    `json:"backend"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended,omitzero"` // zero if the caller gave up before the end
	Refused bool      `json:"refused,omitempty"`
}

// RunsByKey returns the number of runs of each idempotency key. Refused requests don't count.
func RunsByKey(list []Run) map[string]int {
	counts := map[string]int{}
	for _, r := range list {
		if r.Key != "" && !r.Refused {
			counts[r.Key]++
		}
	}
	return counts
}
