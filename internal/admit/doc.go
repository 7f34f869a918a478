// Package admit implements admission control and request scheduling: it decides
// which queued request gets the next free slot and which request is refused at
// once. It does no I/O and reads no clock; the current time is an argument.
//
// A request waits in the queue of its service and team, ordered by urgency,
// class and latest start. Teams that use fewer slots than they are guaranteed go
// first; the remaining slots are shared by weight.
package admit
