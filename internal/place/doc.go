// Package place indexes the fleet and chooses workers for gangs. The index is by rack, failure domain
// and free accelerators, so that a search doesn't look at every worker. The package has no clock and
// does no I/O.
package place
