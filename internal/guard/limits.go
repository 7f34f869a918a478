package guard

const (
	// connBytes is what an open connection costs: its buffers and the stacks of its goroutines.
	connBytes = 16 << 10
	// smallBytes is up to what a connection may use the part of the budget that is reserved for small requests.
	smallBytes = connBytes + 32<<10
	// minOwnFiles descriptors are kept for the process's own files and connections, where there are twice as many.
	minOwnFiles = 300
	// handshakeShare is one over the part of the descriptors that unproved peers may use.
	handshakeShare = 16
	minHandshakes  = 16
	maxHandshakes  = 256
	// fallbackMemory is assumed for a host whose memory isn't told.
	fallbackMemory = 256 << 20
	// fallbackFiles is assumed where the number of descriptors is neither told nor limited.
	fallbackFiles = 4096
)

// Limits are what a process may hold for clients.
type Limits struct {
	Bytes  int64 // of connections, heads, bodies and answers in progress
	Conns  int   // open connections
	Client int   // open connections from one address; 0 means no limit
	// Handshakes is the number of connections from other processes that haven't proved who they are.
	Handshakes int
}

// NewLimits returns the limits of a process that has this memory in bytes and this many descriptors. For an unknown
// value, 0, a small host is assumed.
func NewLimits(memory int64, files int) Limits {
	if memory <= 0 {
		memory = fallbackMemory
	}
	if files <= 0 {
		files = fallbackFiles
	}
	own := max(files/4, min(files/2, minOwnFiles))
	l := Limits{Bytes: memory / 4}
	l.Conns = int(min(int64(files-own), l.Bytes/2/connBytes))
	l.Handshakes = min(max(files/handshakeShare, minHandshakes), maxHandshakes)
	return l
}

// WithClient returns the limits with a limit of connections from one address.
func (l Limits) WithClient(n int) Limits {
	l.Client = n
	return l
}

// unreserved is the part of the budget that large requests may use.
func (l Limits) unreserved() int64 { return l.Bytes / 4 * 3 }
