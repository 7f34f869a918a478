// Package jobs holds the jobs that callers submit: steps of tasks that depend on
// one another, the queues and teams of the configuration that they run under, and
// the state machine that keeps them on the replicated log. It decides nothing
// about where or when a task runs; see package allot.
package jobs
