package kern

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// registry holds the roles that registered themselves.
type registry struct {
	mu    sync.Mutex
	roles map[string]Role
}

var registered = &registry{roles: map[string]Role{}}

// Register adds a role to the kernel. It is called from init functions, so a
// name that is taken is a fault of the program and panics.
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

// roleNames returns the names of roles in their order.
func roleNames(roles []Role) []string {
	names := make([]string, 0, len(roles))
	for _, r := range roles {
		names = append(names, r.Name())
	}
	return names
}
