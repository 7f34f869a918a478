// Package allot decides which waiting tasks start on which workers, and which runs are stopped to free
// resources for them. It does no I/O: equal inputs give equal plans.
//
// It is designed for a load in which urgent gangs of a few seconds compete with long batch work that
// fills the fleet, with bursts above the capacity of the fleet.
package allot
