package kern

import (
	"encoding/hex"
	"maps"
	"slices"
)

// Config is a whole settings file.
type Config struct {
	Cluster string         `json:"cluster" help:"name of the cluster; processes of another cluster are refused" validate:"required,name"`
	Node    NodeConfig     `json:"node"    help:"who this process is"`
	Admin   AdminConfig    `json:"admin"   help:"the operators' HTTP listener of this process"`
	Log     LogConfig      `json:"log"     help:"JSON-line log on standard output"`
	Drain   DrainConfig    `json:"drain"   help:"graceful stop on SIGTERM, SIGINT or POST /drain"`
	Trusted bool           `json:"trusted" help:"the network between processes is trusted and no keys are used; refused together with keys"`
	Keys    KeysConfig     `json:"keys"    help:"shared keys, each in hex"`
	Roles   map[string]any `json:"roles"   help:"roles of this process, each with its own settings" validate:"min=1"`

	settings map[string]Settings
}

// NodeConfig says who a process is.
type NodeConfig struct {
	Name   string `json:"name"   help:"name of this process, unique in the cluster" validate:"required,name"`
	Domain string `json:"domain" help:"failure domain of this host" validate:"required,name"`
	Region string `json:"region" help:"region of this host" validate:"required,name"`
}

// AdminConfig sets the operators' listener of one process.
type AdminConfig struct {
	Listen string `json:"listen" help:"IP address and port for /metrics, /dump, /log/level, /drain and /healthz; port 0 takes a free one" validate:"required,ipport"`
}

// LogConfig sets the log.
type LogConfig struct {
	Level string `json:"level" help:"lowest level written: debug, info, warn or error; changed at run time with knapctl loglevel" validate:"oneof=debug info warn error"`
	LinesPerSecond int    `json:"lines" help:"lines a second that are written at most; what is left out is counted in a line of its own" validate:"min=10,max=1000000"`
}

// DrainConfig sets the graceful stop.
type DrainConfig struct {
	TimeoutSeconds int `json:"seconds" help:"seconds that running work is given to finish" validate:"min=1,max=3600"`
}

// KeysConfig holds the shared keys in hex.
type KeysConfig struct {
	Self  string            `json:"self"  help:"this node's own key, from knapctl key derive; the admin token is derived from it" validate:"omitempty,hexkey" secret:"true"`
	Roles map[string]string `json:"roles" help:"master key of each role whose nodes may connect to this process" validate:"dive,hexkey" secret:"true"`
}

// defaultLines is a tenth of what a 0.2 core writes, at 10 µs a line.
const defaultLines = 2000

// DefaultConfig returns the settings that hold where a file is silent.
func DefaultConfig() *Config {
	return &Config{
		Node:     NodeConfig{Domain: "local", Region: "local"},
		Admin:    AdminConfig{Listen: "127.0.0.1:0"},
		Log:      LogConfig{Level: "info", LinesPerSecond: defaultLines},
		Drain:    DrainConfig{TimeoutSeconds: 30},
		settings: map[string]Settings{},
	}
}

// Role returns the settings of one role, or nil if the file doesn't name it.
func (c *Config) Role(name string) Settings { return c.settings[name] }

// RoleNames returns the names of the roles in the file, in order.
func (c *Config) RoleNames() []string { return slices.Sorted(maps.Keys(c.settings)) }

// Identity returns the identity of this process.
func (c *Config) Identity() Node {
	return Node{Cluster: c.Cluster, Name: c.Node.Name, Domain: c.Node.Domain, Region: c.Node.Region}
}

// checkKeys finds keys that are missing, and keys beside a trusted network.
func (c *Config) checkKeys() []Problem {
	switch {
	case c.Trusted && (c.Keys.Self != "" || len(c.Keys.Roles) > 0):
		return []Problem{{Field: "trusted", Value: "true", Want: "false where keys are given"}}
	case !c.Trusted && c.Keys.Self == "":
		return []Problem{{Field: "keys.self", Want: "a value"}}
	}
	return nil
}

// Secrets returns the keys as raw bytes. The settings must have passed Load. On
// a trusted network every role's master key is empty.
func (c *Config) Secrets() Keys {
	if c.Trusted {
		k := Keys{Self: DeriveKey(nil, c.Node.Name), Role: map[string][]byte{}}
		for _, name := range roleNames(Roles()) {
			k.Role[name] = nil
		}
		return k
	}
	k := Keys{Self: rawKey(c.Keys.Self), Role: make(map[string][]byte, len(c.Keys.Roles))}
	for role, key := range c.Keys.Roles {
		k.Role[role] = rawKey(key)
	}
	return k
}

// rawKey decodes a key that Load has checked.
func rawKey(s string) []byte {
	b, err := hex.DecodeString(s)
	if err != nil {
		return nil
	}
	return b
}
