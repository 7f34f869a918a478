package kern

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// registry holds the registered roles by name.
type registry struct {
	mu    sync.Mutex
	roles map[string]Role
}

var registered = &registry{roles: map[string]Role{}}

// Register adds a role. It is called from init functions and panics if the name
// is taken, because that is a bug in the program.
func Register(r Role) {
	registered.mu.Lock()
	defer registered.mu.Unlock()
	if _, taken := registered.roles[r.Name()]; taken {
		panic(fmt.Sprintf("kern: role %q registered twice", r.Name()))
	}
	registered.roles[r.Name()] = r
}

// Roles returns the registered roles, ordered by name.
func Roles() []Role {
	registered.mu.Lock()
	defer registered.mu.Unlock()
	list := make([]Role, 0, len(registered.roles))
	for _, name := range slices.Sorted(maps.Keys(registered.roles)) {
		list = append(list, registered.roles[name])
	}
	return list
}

// roleNames returns the names of the roles in the given order.
func roleNames(roles []Role) []string {
	names := make([]string, 0, len(roles))
	for _, r := range roles {
		names = append(names, r.Name())
	}
	return names
}
