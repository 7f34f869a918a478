// Package wire implements the protocol between the system's processes:
// protobuf messages in length-prefixed frames on yamux streams, over TCP
// connections on which both peers have authenticated each other.
package wire
