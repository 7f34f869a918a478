// Package allot decides which waiting tasks start on which workers, and which
// runs are stopped to make room. It is free of input and output: the same
// snapshot leads to the same plan.
//
// It answers a load in which urgent gangs of a few seconds meet long batch work
// that fills the fleet, with bursts above what the fleet can do.
package allot
