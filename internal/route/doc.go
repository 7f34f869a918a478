// Package route decides when a queued request is sent and to which backend
// server. The agent beside a backend server grants its slots to the entries
// (Allocator); an entry holds the grants as credits and chooses which of them a
// request uses (Picker). The package does no I/O and reads no clock; the current
// time is an argument.
package route
