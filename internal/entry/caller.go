package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/knapweedlug/knapweedlug/internal/conf"
)

// callers finds the team of a caller's key. It is built anew for each
// configuration revision.
type callers struct {
	revision uint64
	teams    map[string]string // hex SHA-256 of a key to its team
}

func newCallers(cfg conf.Config) *callers {
	c := &callers{revision: cfg.Revision(), teams: map[string]string{}}
	for _, t := range cfg.Teams() {
		for _, k := range t.Keys {
			c.teams[strings.ToLower(k)] = t.Name
		}
	}
	return c
}

// team returns the team that the request's bearer key belongs to.
func (c *callers) team(r *http.Request) (string, bool) {
	key, ok := bearer(r)
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	team, ok := c.teams[hex.EncodeToString(sum[:])]
	return team, ok
}

func bearer(r *http.Request) (string, bool) {
	return strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
}
