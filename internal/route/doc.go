// Package route decides where and when a queued request is sent. An agent
// beside each backend server grants credits for its slots to the entries
// (Split); an entry chooses which of its credits a request uses (Picker). The
// decisions are pure: there is no I/O and no clock, and the time is an
// argument.
package route
