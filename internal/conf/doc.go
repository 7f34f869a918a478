// Package conf holds the configuration that every process uses: the teams and
// services at one revision, the deltas between revisions, and the Holder, which
// keeps the highest revision that a process has received and the time until which
// the process may use it.
package conf
