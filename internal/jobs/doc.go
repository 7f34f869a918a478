// Package jobs defines the jobs that callers submit, whose steps of tasks depend on
// one another, the configuration of queues, services and teams, and the replicated
// state machine that stores them. Package allot decides where and when tasks run.
package jobs
