// Package admit decides which queued request may use the next free slot and
// which request is refused at once. The decisions are pure: there is no I/O
// and no clock, and the time is an argument.
//
// A request waits in the queue of its service and team, ordered by urgency,
// class and latest start. Teams that use less than their guaranteed slots go
// first; what is left is shared by weight.
package admit
