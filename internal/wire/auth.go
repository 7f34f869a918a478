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
	// Version is the protocol that this build speaks.
	Version = 1
	// OldestVersion is the oldest protocol that this build still accepts.
	OldestVersion = 1

	nonceSize        = 16
	handshakeTimeout = 2 * time.Second
)

// Sentinel errors of the handshake.
var (
	ErrRefused = errors.New("connection refused by peer")
	ErrUnauthenticated   = errors.New("peer did not prove its identity")
	ErrIncompatibleVersion = errors.New("protocol versions are too far apart")
	ErrOtherCluster = errors.New("peer belongs to another cluster")
)

// Peer is who is at the other end of a connection.
type Peer struct {
	Role        string `json:"role"`
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation"`
	Addr        string `json:"addr"`
}

// Identity is who this process is to its peers.
type Identity struct {
	Cluster     string
	Role        string
	Name        string
	Domain      string
	Region      string
	Incarnation string
	Key         []byte            // this node's own key, derived from its role's master key
	MasterKeys     map[string][]byte // master key of each role that may dial in
}

// prove returns the proof of one side. Both nonces and all that the dialling
// side claims are covered, so that a proof fits one connection only.
func prove(key []byte, side string, hello *Hello, nonce []byte) []byte {
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

// handshakeClient proves this process to the listening side and checks the
// listening side's proof.
func handshakeClient(c net.Conn, id Identity) (Peer, error) {
	hello := &Hello{
		Version: Version, Cluster: id.Cluster, Role: id.Role, Name: id.Name, Domain: id.Domain,
		Region: id.Region, Incarnation: id.Incarnation, Nonce: newNonce(),
	}
	if err := WriteMessage(c, hello); err != nil {
		return Peer{}, err
	}
	var ch Challenge
	if err := ReadMessage(c, &ch, MaxHandshakeBytes); err != nil {
		return Peer{}, errors.Wrap(err, "read challenge")
	}
	if ch.Code != "" {
		return Peer{}, errors.Wrapf(ErrRefused, "%s: %s", ch.Code, ch.Text)
	}
	if !hmac.Equal(ch.Proof, prove(id.Key, "listen", hello, ch.Nonce)) {
		return Peer{}, errors.Wrapf(ErrUnauthenticated, "listener %q", ch.Name)
	}
	if err := WriteMessage(c, &Proof{Proof: prove(id.Key, "dial", hello, ch.Nonce)}); err != nil {
		return Peer{}, err
	}
	var done Challenge
	if err := ReadMessage(c, &done, MaxHandshakeBytes); err != nil {
		return Peer{}, errors.Wrap(err, "read welcome")
	}
	if done.Code != "" {
		return Peer{}, errors.Wrapf(ErrRefused, "%s: %s", done.Code, done.Text)
	}
	return Peer{Role: ch.Role, Name: ch.Name, Domain: ch.Domain, Addr: c.RemoteAddr().String()}, nil
}

// handshakeServer checks who dials in. A refusal is told to the peer.
func handshakeServer(c net.Conn, id Identity) (Peer, error) {
	var hello Hello
	if err := ReadMessage(c, &hello, MaxHandshakeBytes); err != nil {
		return Peer{}, refuse(c, "malformed", err)
	}
	if hello.Version < OldestVersion || hello.Version > Version {
		return Peer{}, refuse(c, "version", errors.Wrapf(ErrIncompatibleVersion, "peer speaks %d, this side %d to %d", hello.Version, OldestVersion, Version))
	}
	if hello.Cluster != id.Cluster {
		return Peer{}, refuse(c, "cluster", errors.Wrapf(ErrOtherCluster, "cluster %q, this side %q", hello.Cluster, id.Cluster))
	}
	master, ok := id.MasterKeys[hello.Role]
	if !ok || hello.Name == "" || len(hello.Nonce) != nonceSize {
		return Peer{}, refuse(c, "role", errors.Wrapf(ErrUnauthenticated, "role %q may not connect here", hello.Role))
	}
	key := kern.DeriveKey(master, hello.Name)
	nonce := newNonce()
	ch := &Challenge{Name: id.Name, Role: id.Role, Domain: id.Domain, Nonce: nonce, Proof: prove(key, "listen", &hello, nonce)}
	if err := WriteMessage(c, ch); err != nil {
		return Peer{}, err
	}
	var proof Proof
	if err := ReadMessage(c, &proof, MaxHandshakeBytes); err != nil {
		return Peer{}, errors.Wrap(err, "read proof")
	}
	if !hmac.Equal(proof.Proof, prove(key, "dial", &hello, nonce)) {
		return Peer{}, refuse(c, "identity", errors.Wrapf(ErrUnauthenticated, "%s %q", hello.Role, hello.Name))
	}
	p := Peer{
		Role: hello.Role, Name: hello.Name, Domain: hello.Domain, Region: hello.Region,
		Incarnation: hello.Incarnation, Addr: c.RemoteAddr().String(),
	}
	return p, WriteMessage(c, &Challenge{})
}

func refuse(c net.Conn, code string, err error) error {
	_ = WriteMessage(c, &Challenge{Code: code, Text: err.Error()})
	return err
}
