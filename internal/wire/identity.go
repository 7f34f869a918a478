package wire

import "github.com/knapweedlug/knapweedlug/internal/kern"

// NewIdentity returns the identity of a role of this process. incarnation is
// a random id, new with each start of the process, by which peers distinguish a
// restart from a reconnect.
func NewIdentity(node kern.Node, role string, keys kern.Keys, incarnation string) Identity {
	return Identity{
		Cluster:     node.Cluster,
		Role:        role,
		Name:        node.Name,
		Domain:      node.Domain,
		Region:      node.Region,
		Incarnation: incarnation,
		Key:         keys.Self,
		MasterKeys:  keys.Role,
	}
}
