// Package fakes contains fakes of the systems around the daemons: the platform,
// backend servers, and a TCP relay that can reset, delay or silence its connections.
// Tests, the demo and cmd/knapfake use it; the daemons don't.
package fakes
