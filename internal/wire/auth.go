package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const (
	// Version is the protocol version of this build.
	Version = 1
	// OldestVersion is the oldest protocol version that this build accepts.
	OldestVersion = 1

	nonceSize        = 16
	handshakeTimeout = 2 * time.Second
)

// Sentinel errors of the handshake.
var (
	ErrRefused             = errors.New("connection refused by peer")
	ErrUnauthenticated     = errors.New("peer did not prove its identity")
	ErrIncompatibleVersion = errors.New("protocol versions are too far apart")
	ErrOtherCluster        = errors.New("peer belongs to another cluster")
)

// Peer describes the process at the other end of a connection.
type Peer struct {
	Role        string `json:"role"`
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation"`
	Addr        string `json:"addr"`
}

// Identity is what a process tells its peers about itself, and the keys with
// which it proves its own identity and verifies theirs.
type Identity struct {
	Cluster     string
	Role        string
	Name        string
	Domain      string
	Region      string
	Incarnation string
	Key         []byte            // this node's own key, derived from its role's master key
	MasterKeys  map[string][]byte // master key of each role that may dial in
}

// computeProof returns the proof of one side: an HMAC with the node's key over
// the side, the content of the Hello and both nonces, so that a proof is valid
// for one connection only.
func computeProof(key []byte, side string, hello *Hello, nonce []byte) []byte {
	h := hmac.New(sha256.New, key)
	parts := []string{side, hello.Cluster, hello.Role, hello.Name, hello.Domain, hello.Region, hello.Incarnation}
	for _, p := range parts {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	h.Write(hello.Nonce)
	h.Write(nonce)
	return h.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	return nonce
}

// handshakeClient performs the dialling side of the handshake: it verifies the
// proof of the listening side and then sends its own.
func handshakeClient(c net.Conn, id Identity) (Peer, error) {
	hello := &Hello{
		Version: Version, Cluster: id.Cluster, Role: id.Role, Name: id.Name, Domain: id.Domain,
		Region: id.Region, Incarnation: id.Incarnation, Nonce: newNonce(),
	}
	if err := WriteMessage(c, hello); err != nil {
		return Peer{}, err
	}
	var challenge Challenge
	if err := ReadMessage(c, &challenge, MaxHandshakeBytes); err != nil {
		return Peer{}, errors.Wrap(err, "read challenge")
	}
	if challenge.Code != "" {
		return Peer{}, errors.Wrapf(ErrRefused, "%s: %s", challenge.Code, challenge.Text)
	}
	if !hmac.Equal(challenge.Proof, computeProof(id.Key, "listen", hello, challenge.Nonce)) {
		return Peer{}, errors.Wrapf(ErrUnauthenticated, "proof of listener %q is not valid", challenge.Name)
	}
	if err := WriteMessage(c, &Proof{Proof: computeProof(id.Key, "dial", hello, challenge.Nonce)}); err != nil {
		return Peer{}, err
	}
	var result Challenge
	if err := ReadMessage(c, &result, MaxHandshakeBytes); err != nil {
		return Peer{}, errors.Wrap(err, "read result of handshake")
	}
	if result.Code != "" {
		return Peer{}, errors.Wrapf(ErrRefused, "%s: %s", result.Code, result.Text)
	}
	return Peer{Role: challenge.Role, Name: challenge.Name, Domain: challenge.Domain, Addr: c.RemoteAddr().String()}, nil
}

// handshakeServer performs the listening side of the handshake: it sends its
// own proof and then verifies that of the dialling side. If it refuses the
// peer, it tells it why.
func handshakeServer(c net.Conn, id Identity) (Peer, error) {
	var hello Hello
	if err := ReadMessage(c, &hello, MaxHandshakeBytes); err != nil {
		return Peer{}, sendRefusal(c, "malformed", err)
	}
	if hello.Version < OldestVersion || hello.Version > Version {
		return Peer{}, sendRefusal(c, "version", errors.Wrapf(ErrIncompatibleVersion, "peer speaks %d, this side %d to %d", hello.Version, OldestVersion, Version))
	}
	if hello.Cluster != id.Cluster {
		return Peer{}, sendRefusal(c, "cluster", errors.Wrapf(ErrOtherCluster, "cluster %q, this side %q", hello.Cluster, id.Cluster))
	}
	masterKey, ok := id.MasterKeys[hello.Role]
	if !ok || hello.Name == "" || len(hello.Nonce) != nonceSize {
		return Peer{}, sendRefusal(c, "role", errors.Wrapf(ErrUnauthenticated, "role %q may not connect here", hello.Role))
	}
	key := kern.DeriveKey(masterKey, hello.Name)
	nonce := newNonce()
	challenge := &Challenge{Name: id.Name, Role: id.Role, Domain: id.Domain, Nonce: nonce, Proof: computeProof(key, "listen", &hello, nonce)}
	if err := WriteMessage(c, challenge); err != nil {
		return Peer{}, err
	}
	var proof Proof
	if err := ReadMessage(c, &proof, MaxHandshakeBytes); err != nil {
		return Peer{}, errors.Wrap(err, "read proof")
	}
	if !hmac.Equal(proof.Proof, computeProof(key, "dial", &hello, nonce)) {
		return Peer{}, sendRefusal(c, "identity", errors.Wrapf(ErrUnauthenticated, "%s %q", hello.Role, hello.Name))
	}
	peer := Peer{
		Role: hello.Role, Name: hello.Name, Domain: hello.Domain, Region: hello.Region,
		Incarnation: hello.Incarnation, Addr: c.RemoteAddr().String(),
	}
	return peer, WriteMessage(c, &Challenge{})
}

func sendRefusal(c net.Conn, code string, err error) error {
	_ = WriteMessage(c, &Challenge{Code: code, Text: err.Error()})
	return err
}
