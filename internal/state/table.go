package state

import (
	"cmp"
	"iter"

	"github.com/google/btree"
)

// tableDegree is the degree of the B-tree behind each table: a node has at most
// twice as many children.
const tableDegree = 32

// pair is one row of a table.
type pair[K cmp.Ordered, V any] struct {
	key K
	val V
}

// table is an ordered map. Cloning takes constant time: the clones share
// structure until one of them is written.
type table[K cmp.Ordered, V any] struct {
	tree *btree.BTreeG[pair[K, V]]
}

func newTable[K cmp.Ordered, V any]() table[K, V] {
	less := func(a, b pair[K, V]) bool { return a.key < b.key }
	return table[K, V]{tree: btree.NewG(tableDegree, less)}
}

func (t table[K, V]) clone() table[K, V] { return table[K, V]{tree: t.tree.Clone()} }

func (t table[K, V]) get(k K) (V, bool) {
	p, ok := t.tree.Get(pair[K, V]{key: k})
	return p.val, ok
}

func (t table[K, V]) set(k K, v V) { t.tree.ReplaceOrInsert(pair[K, V]{key: k, val: v}) }

func (t table[K, V]) drop(k K) { t.tree.Delete(pair[K, V]{key: k}) }

func (t table[K, V]) size() int { return t.tree.Len() }

// all yields every row in key order.
func (t table[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		t.tree.Ascend(func(p pair[K, V]) bool { return yield(p.key, p.val) })
	}
}

// from yields the rows whose keys are equal to or greater than k, in key order.
func (t table[K, V]) from(k K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		t.tree.AscendGreaterOrEqual(pair[K, V]{key: k}, func(p pair[K, V]) bool {
			return yield(p.key, p.val)
		})
	}
}

// first returns the row with the smallest key, and false if the table is empty.
func (t table[K, V]) first() (K, V, bool) {
	p, ok := t.tree.Min()
	return p.key, p.val, ok
}
