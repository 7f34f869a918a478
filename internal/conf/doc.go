// Package conf holds the configuration that every process works by: the teams
// and services at one revision, the deltas between revisions, and the Holder
// that keeps the highest revision a process has seen and knows until when the
// process may act on it.
package conf
