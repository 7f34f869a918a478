package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/knapweedlug/knapweedlug/internal/conf"
)

// callers maps API keys to teams. It is rebuilt for each configuration
// revision.
type callers struct {
	revision uint64
	teams    map[string]string // by hex SHA-256 of the key
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

// bearer returns the request's bearer token.
func bearer(r *http.Request) (string, bool) {
	return strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
}
