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
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	if len(data) > maxFileBytes {
		return nil, nil, errors.Wrapf(ErrSettings, "%s is larger than %d bytes", path, maxFileBytes)
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
		for _, p := range cfg.roleSettings[name].Validate() {
			problems = append(problems, Problem{Field: joinPath("roles."+name, p.Field), Value: p.Value, Want: p.Want})
		}
	}
	problems = append(problems, checkListeners(cfg)...)
	if problems = firstOfEachField(problems); len(problems) > 0 {
		return nil, problems, nil
	}
	return cfg, nil, nil
}

// fillRoles decodes each member of "roles" into the settings of that role.
func (d *decoder) fillRoles(cfg *Config, root *jsonNode, roles []Role) {
	for _, m := range root.members {
		if m.name != "roles" || m.node.kind != nodeObject {
			continue
		}
		for _, role := range m.node.members {
			d.fillRole(cfg, role, roles)
		}
	}
}

func (d *decoder) fillRole(cfg *Config, roleMember member, roles []Role) {
	path := "roles." + roleMember.name
	for _, r := range roles {
		if r.Name() != roleMember.name {
			continue
		}
		s := r.Defaults()
		d.fill(path, roleMember.node, reflect.ValueOf(s).Elem(), false)
		cfg.roleSettings[roleMember.name] = s
		return
	}
	d.addProblem(path, roleMember.node, false, "one of the roles "+strings.Join(roleNames(roles), ", "))
}

// listener is a setting that holds an address to listen at.
type listener struct {
	field string
	addr  netip.AddrPort
}

// overlaps reports whether two listeners on one host would claim the same
// address.
func (l listener) overlaps(other listener) bool {
	if l.addr.Port() == 0 || l.addr.Port() != other.addr.Port() {
		return false
	}
	a, b := l.addr.Addr(), other.addr.Addr()
	return a == b || a.IsUnspecified() || b.IsUnspecified()
}

// checkListeners reports settings whose addresses overlap.
func checkListeners(cfg *Config) []Problem {
	listeners := listenersIn("", reflect.ValueOf(cfg).Elem())
	for _, name := range cfg.RoleNames() {
		listeners = append(listeners, listenersIn("roles."+name, reflect.ValueOf(cfg.roleSettings[name]).Elem())...)
	}
	var problems []Problem
	for i, l := range listeners {
		for _, earlier := range listeners[:i] {
			if l.overlaps(earlier) {
				problems = append(problems, Problem{Field: l.field, Value: l.addr.String(), Want: "another address than " + earlier.field})
			}
		}
	}
	return problems
}

func listenersIn(path string, v reflect.Value) []listener {
	var list []listener
	for _, f := range fieldsOf(v.Type()) {
		fieldPath, value := joinPath(path, f.name), v.FieldByIndex(f.index)
		switch {
		case value.Kind() == reflect.Struct:
			list = append(list, listenersIn(fieldPath, value)...)
		case value.Kind() == reflect.String && f.isListenAddr:
			if addr, err := netip.ParseAddrPort(value.String()); err == nil {
				list = append(list, listener{field: fieldPath, addr: addr})
			}
		}
	}
	return list
}

// firstOfEachField keeps the first problem of each field: a field with a wrong
// type stays empty and would also be reported as missing.
func firstOfEachField(problems []Problem) []Problem {
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
	return fmt.Sprintf("%s: got %s, want %s", p.Field, valueOrNothing(p.Value), p.Want)
}

func valueOrNothing(value string) string {
	if value == "" {
		return "nothing"
	}
	return value
}
