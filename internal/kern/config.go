package kern

import (
	"encoding/hex"
	"maps"
	"slices"
)

// Config holds the contents of a settings file.
type Config struct {
	Cluster string         `json:"cluster" help:"name of the cluster; processes of another cluster are refused" validate:"required,name"`
	Node    NodeConfig     `json:"node"    help:"identity of this process"`
	Admin   AdminConfig    `json:"admin"   help:"the operators' HTTP listener of this process"`
	Log     LogConfig      `json:"log"     help:"log on standard output, one JSON object per line"`
	Drain   DrainConfig    `json:"drain"   help:"graceful stop on SIGTERM, SIGINT or POST /drain"`
	Limits  LimitsConfig   `json:"limits"  help:"what this host has, for limits on what clients may make the process hold"`
	Trusted bool           `json:"trusted" help:"trust the network between processes and use no keys; can't be combined with keys"`
	Keys    KeysConfig     `json:"keys"    help:"shared keys, each in hex"`
	Roles   map[string]any `json:"roles"   help:"roles of this process, each with its own settings" validate:"min=1"`

	roleSettings map[string]Settings
}

// NodeConfig identifies a process and the host that it runs on.
type NodeConfig struct {
	Name   string `json:"name"   help:"name of this process, unique in the cluster" validate:"required,name"`
	Domain string `json:"domain" help:"failure domain of this host" validate:"required,name"`
	Region string `json:"region" help:"region of this host" validate:"required,name"`
}

// AdminConfig configures the HTTP server for operators of one process.
type AdminConfig struct {
	Listen string `json:"listen" help:"IP address and port for /metrics, /dump, /log/level, /drain and /healthz; port 0 selects a free port" validate:"required,ipport"`
}

// LogConfig configures the log.
type LogConfig struct {
	Level          string `json:"level" help:"lowest level written: debug, info, warn or error; can be changed at run time with knapctl loglevel" validate:"oneof=debug info warn error"`
	LinesPerSecond int    `json:"lines" help:"maximum number of lines written per second; a separate line reports how many were dropped" validate:"min=10,max=1000000"`
}

// DrainConfig configures the graceful stop.
type DrainConfig struct {
	TimeoutSeconds int `json:"seconds" help:"time limit in seconds for running work to finish" validate:"min=1,max=3600"`
}

// LimitsConfig describes the resources of the host.
type LimitsConfig struct {
	MemoryMiB int `json:"memory" help:"memory that the process may use in MiB; clients may make it hold a quarter; 0 means unknown, and 256 is assumed for clients" validate:"omitempty,min=16,max=1048576"`
	Files     int `json:"files"  help:"descriptors that the process may open; a quarter, and at least 300 if there are 600, is kept for its own connections and files; 0 means the system's limit" validate:"omitempty,min=64,max=16777216"`
	Client    int `json:"client" help:"connections from one address; 0 means no limit; a balancer in front of the callers is one address" validate:"min=0,max=16777216"`
}

// KeysConfig holds the shared keys, each in hex.
type KeysConfig struct {
	Self  string            `json:"self"  help:"this node's own key, from knapctl key derive; the admin token is derived from it" validate:"omitempty,hexkey" secret:"true"`
	Roles map[string]string `json:"roles" help:"master key of each role whose nodes may connect to this process" validate:"dive,hexkey" secret:"true"`
}

// defaultLinesPerSecond is a tenth of the lines per second that 0.2 of a core
// can write at 10 µs a line.
const defaultLinesPerSecond = 2000

// DefaultConfig returns the settings that apply where a file doesn't set them.
func DefaultConfig() *Config {
	return &Config{
		Node:         NodeConfig{Domain: "local", Region: "local"},
		Admin:        AdminConfig{Listen: "127.0.0.1:0"},
		Log:          LogConfig{Level: "info", LinesPerSecond: defaultLinesPerSecond},
		Drain:        DrainConfig{TimeoutSeconds: 30},
		roleSettings: map[string]Settings{},
	}
}

// Role returns the settings of one role, or nil if the file doesn't contain it.
func (c *Config) Role(name string) Settings { return c.roleSettings[name] }

// RoleNames returns the names of the roles in the file, in alphabetical order.
func (c *Config) RoleNames() []string { return slices.Sorted(maps.Keys(c.roleSettings)) }

// Identity returns the identity of this process.
func (c *Config) Identity() Node {
	return Node{Cluster: c.Cluster, Name: c.Node.Name, Domain: c.Node.Domain, Region: c.Node.Region}
}

// checkKeys reports a missing key, and keys that are given although the network
// is trusted.
func (c *Config) checkKeys() []Problem {
	switch {
	case c.Trusted && (c.Keys.Self != "" || len(c.Keys.Roles) > 0):
		return []Problem{{Field: "trusted", Value: "true", Want: "false if keys are given"}}
	case !c.Trusted && c.Keys.Self == "":
		return []Problem{{Field: "keys.self", Want: "a value"}}
	}
	return nil
}

// Secrets returns the keys as raw bytes. The settings must have passed Load. If
// the network is trusted, every role's master key is empty.
func (c *Config) Secrets() Keys {
	if c.Trusted {
		keys := Keys{Self: DeriveKey(nil, c.Node.Name), Role: map[string][]byte{}}
		for _, name := range roleNames(Roles()) {
			keys.Role[name] = nil
		}
		return keys
	}
	keys := Keys{Self: rawKey(c.Keys.Self), Role: make(map[string][]byte, len(c.Keys.Roles))}
	for role, key := range c.Keys.Roles {
		keys.Role[role] = rawKey(key)
	}
	return keys
}

// rawKey decodes a hex key that Load has already validated.
func rawKey(s string) []byte {
	b, err := hex.DecodeString(s)
	if err != nil {
		return nil
	}
	return b
}
