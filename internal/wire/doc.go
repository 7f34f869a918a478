// Package wire holds the protobuf messages that processes of the system
// exchange.
package wire
