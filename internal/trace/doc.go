// Package trace defines the file format of recorded requests. A trace consists of
// JSON lines: first a header with the version of the format and the name of the
// cluster, then one event a line. Traces are replayed through the decisions of
// package admit to check their outcomes.
package trace
