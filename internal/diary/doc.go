// Package diary reads the log lines of a day back: what became of each caller's
// job, what waited and why, and where the time went. It needs nothing but logs.
package diary
