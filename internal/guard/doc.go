// Package guard limits what clients that nobody controls may make a process hold: connections, and the bytes of
// heads, bodies and answers in progress. One Budget covers all listeners of a process. Memory is taken from it before
// it is used and given back on every way out. If it is used up, clients that stand still or are the slowest lose
// their connection first; otherwise the request that asks is refused. Nothing that was passed on to a handler's role
// is cut off.
package guard
