package kern

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrSettings is returned for invalid settings and for wrong usage.
var ErrSettings = errors.New("settings refused")

// Load reads and validates a settings file. It returns every problem at once;
// the error is set if the file can't be read or isn't valid JSON.
func Load(path string) (*Config, []Problem, error) { return load(path, Roles()) }

func load(path string, roles []Role) (*Config, []Problem, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	defer f.Close() //nolint:errcheck // opened for reading only
	data, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	if len(data) > maxFile {
		return nil, nil, errors.Wrapf(ErrSettings, "%s is larger than %d bytes", path, maxFile)
	}
	cfg, problems, err := Parse(data, roles)
	return cfg, problems, errors.Wrapf(err, "reading %s", path)
}

// Parse decodes and validates the text of a settings file with the settings of
// the daemon and of the given roles. It returns every problem at once; the error
// is set if data isn't valid JSON.
func Parse(data []byte, roles []Role) (*Config, []Problem, error) {
	root, err := parseNode(data)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	cfg := DefaultConfig()
	d := &decoder{}
	d.fill("", root, reflect.ValueOf(cfg).Elem(), false)
	d.fillRoles(cfg, root, roles)
	problems := append(d.problems, CheckStruct(cfg)...)
	problems = append(problems, cfg.checkKeys()...)
	for _, name := range cfg.RoleNames() {
		for _, p := range cfg.settings[name].Validate() {
			problems = append(problems, Problem{Field: join("roles."+name, p.Field), Value: p.Value, Want: p.Want})
		}
	}
	problems = append(problems, checkListeners(cfg)...)
	if problems = unique(problems); len(problems) > 0 {
		return nil, problems, nil
	}
	return cfg, nil, nil
}

// fillRoles decodes each member of "roles" into the settings of that role.
func (d *decoder) fillRoles(cfg *Config, root *node, roles []Role) {
	for _, m := range root.members {
		if m.name != "roles" || m.node.kind != nodeObject {
			continue
		}
		for _, part := range m.node.members {
			d.fillRole(cfg, part, roles)
		}
	}
}

func (d *decoder) fillRole(cfg *Config, part member, roles []Role) {
	path := "roles." + part.name
	for _, r := range roles {
		if r.Name() != part.name {
			continue
		}
		s := r.Defaults()
		d.fill(path, part.node, reflect.ValueOf(s).Elem(), false)
		cfg.settings[part.name] = s
		return
	}
	d.add(path, part.node, false, "one of the roles "+strings.Join(roleNames(roles), ", "))
}

// listener is a setting that holds an address to listen at.
type listener struct {
	field string
	addr  netip.AddrPort
}

// overlaps reports whether two listeners on one host would claim the same
// address.
func (l listener) overlaps(o listener) bool {
	if l.addr.Port() == 0 || l.addr.Port() != o.addr.Port() {
		return false
	}
	a, b := l.addr.Addr(), o.addr.Addr()
	return a == b || a.IsUnspecified() || b.IsUnspecified()
}

// checkListeners reports settings whose addresses overlap.
func checkListeners(cfg *Config) []Problem {
	all := listenersIn("", reflect.ValueOf(cfg).Elem())
	for _, name := range cfg.RoleNames() {
		all = append(all, listenersIn("roles."+name, reflect.ValueOf(cfg.settings[name]).Elem())...)
	}
	var problems []Problem
	for i, l := range all {
		for _, o := range all[:i] {
			if l.overlaps(o) {
				problems = append(problems, Problem{Field: l.field, Value: l.addr.String(), Want: "another address than " + o.field})
			}
		}
	}
	return problems
}

func listenersIn(path string, v reflect.Value) []listener {
	var list []listener
	for _, f := range fieldsOf(v.Type()) {
		at, fv := join(path, f.name), v.FieldByIndex(f.index)
		switch {
		case fv.Kind() == reflect.Struct:
			list = append(list, listenersIn(at, fv)...)
		case fv.Kind() == reflect.String && f.listens:
			if addr, err := netip.ParseAddrPort(fv.String()); err == nil {
				list = append(list, listener{field: at, addr: addr})
			}
		}
	}
	return list
}

// unique keeps the first problem of each field: a field with a wrong type stays
// empty and would also be reported as missing.
func unique(problems []Problem) []Problem {
	seen := map[string]bool{}
	var kept []Problem
	for _, p := range problems {
		if seen[p.Field] {
			continue
		}
		seen[p.Field] = true
		kept = append(kept, p)
	}
	return kept
}

// String returns a one-line description of the problem.
func (p Problem) String() string {
	return fmt.Sprintf("%s: got %s, want %s", p.Field, orEmpty(p.Value), p.Want)
}

func orEmpty(value string) string {
	if value == "" {
		return "nothing"
	}
	return value
}
