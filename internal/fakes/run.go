package fakes

import "time"

// Run is one request that a backend server has worked on.
type Run struct {
	Request string    `json:"request"` // X-Request-Id
	Key     string    `json:"key,omitempty"`
	Path    string    `json:"path"`
	Hash    string    `json:"hash"` // SHA-256 of the body, in hex
	Backend string    `json:"backend"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended,omitzero"` // zero if the caller gave up first
	Refused bool      `json:"refused,omitempty"`
}

// RunsByKey counts the runs of each idempotency key.
func RunsByKey(list []Run) map[string]int {
	counts := map[string]int{}
	for _, r := range list {
		if r.Key != "" && !r.Refused {
			counts[r.Key]++
		}
	}
	return counts
}
