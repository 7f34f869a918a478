// Package play plays a day of jobs through the decisions of package allot, on
// simulated workers and an injected clock. It shows what callers would have got,
// and what a change of the decisions is worth, without any process or network.
package play
