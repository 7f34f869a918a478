// Package trace defines recorded traces of requests: JSON lines, the first of
// which is a header with the version of the format and the name of the
// cluster, and each other of which is one event. Traces are replayed against
// the decisions of package admit and checked against stated outcomes.
package trace
