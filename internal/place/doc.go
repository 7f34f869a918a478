// Package place keeps an index of the fleet and chooses workers for gangs. The
// index answers by rack, failure domain and free accelerators, so that a
// choice doesn't look at every worker. It has no clock and does no I/O.
package place
