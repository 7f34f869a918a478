package kern

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// DeriveKey returns a node's own key, the HMAC-SHA256 of its name under its
// role's master key. A listener that holds the master key can authenticate every
// node of the role, and no node can impersonate another.
func DeriveKey(master []byte, node string) []byte {
	mac := hmac.New(sha256.New, master)
	mac.Write([]byte(node))
	return mac.Sum(nil)
}

// AdminToken returns the bearer token of a process's admin listener: the
// HMAC-SHA256 of "admin" under the process's own key, in hex.
func AdminToken(key []byte) string {
	return hex.EncodeToString(DeriveKey(key, "admin"))
}
