// Package load compares routing policies in a discrete-event simulation. It runs
// the code of packages admit and route, and the baselines, on the same arrivals.
// It models slots, speeds and a constant network delay and nothing else: no
// failures, no connections, no processes.
package load
