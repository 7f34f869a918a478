package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/knapweedlug/knapweedlug/internal/conf"
)

// teamKeys maps API keys to teams. It is rebuilt for each configuration
// revision.
type teamKeys struct {
	revision uint64
	teams    map[string]string // by hex SHA-256 of the key
}

func newTeamKeys(cfg conf.Config) *teamKeys {
	c := &teamKeys{revision: cfg.Revision(), teams: map[string]string{}}
	for _, t := range cfg.Teams() {
		for _, k := range t.Keys {
			c.teams[strings.ToLower(k)] = t.Name
		}
	}
	return c
}

// teamOf returns the team whose key is the request's bearer token.
func (c *teamKeys) teamOf(r *http.Request) (string, bool) {
	key, ok := bearerToken(r)
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	team, ok := c.teams[hex.EncodeToString(sum[:])]
	return team, ok
}

// bearerToken returns the request's bearer token.
func bearerToken(r *http.Request) (string, bool) {
	return strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
}
