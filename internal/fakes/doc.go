// Package fakes holds stand-ins of the systems that the daemons meet: the
// platform, backend servers, and a TCP relay whose connections can be cut, held
// up or silenced. Tests, the demo and cmd/knapfake use it; the daemons don't.
package fakes
