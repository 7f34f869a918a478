// Package wire is how the system's processes talk to one another: protobuf
// messages in length-prefixed frames on yamux streams, over TCP connections
// whose both ends have proved who they are.
package wire
