// Package load measures routing policies against each other. A small event
// loop drives the decisions of packages admit and route, and the baselines,
// with the same recorded arrivals. It models slots, speeds and a constant
// network delay and nothing else: no failures, no connections, no processes.
package load
