// Package ranktree provides an ordered tree of items with keys. It finds the rank of an item, and the item at a rank,
// in logarithmic time. The caller owns a tree and synchronizes access; even reads write to the tree (Steps).
package ranktree

import (
	"iter"
	"slices"
)

// Tree is an order-statistic treap over items that are small integers from 0. The zero value is empty.
type Tree struct {
	nodes []node // by item plus one; index 0 represents no node
	root  int32
	steps int
}

type node struct {
	key      int
	priority uint32
	left     int32
	right    int32
	parent   int32
	size     int32 // of the subtree; 0: the item is not in the tree
}

// Len returns the number of items.
func (t *Tree) Len() int { return int(t.size(t.root)) }

// Steps returns the number of nodes visited since the start, for tests of the cost.
func (t *Tree) Steps() int { return t.steps }

// Has reports whether an item is in the tree.
func (t *Tree) Has(item int) bool { return item+1 < len(t.nodes) && t.nodes[item+1].size > 0 }

func (t *Tree) size(n int32) int32 {
	if n == 0 {
		return 0
	}
	return t.nodes[n].size
}

// Insert adds an item that is not in the tree, before items with the same key, and returns its rank.
func (t *Tree) Insert(item, key int) int {
	if missing := item + 2 - len(t.nodes); missing > 0 {
		t.nodes = append(t.nodes, make([]node, missing)...)
	}
	n := int32(item + 1)
	t.nodes[n] = node{key: key, priority: mixBits(uint32(n)), size: 1}
	rank, parent, left := 0, int32(0), false
	for at := t.root; at != 0; {
		t.steps++
		t.nodes[at].size++
		parent = at
		if left = key <= t.nodes[at].key; left {
			at = t.nodes[at].left
		} else {
			rank += int(t.size(t.nodes[at].left)) + 1
			at = t.nodes[at].right
		}
	}
	t.nodes[n].parent = parent
	switch {
	case parent == 0:
		t.root = n
	case left:
		t.nodes[parent].left = n
	default:
		t.nodes[parent].right = n
	}
	for p := t.nodes[n].parent; p != 0 && t.nodes[p].priority < t.nodes[n].priority; p = t.nodes[n].parent {
		t.rotate(n)
	}
	return rank
}

// Delete removes an item that is in the tree and returns its former rank.
func (t *Tree) Delete(item int) int {
	rank, n := t.Rank(item), int32(item+1)
	for t.nodes[n].left != 0 || t.nodes[n].right != 0 { // rotate down until it is a leaf
		child := t.nodes[n].left
		if right := t.nodes[n].right; child == 0 || right != 0 && t.nodes[right].priority > t.nodes[child].priority {
			child = right
		}
		t.rotate(child)
	}
	t.replace(t.nodes[n].parent, n, 0)
	for p := t.nodes[n].parent; p != 0; p = t.nodes[p].parent {
		t.steps++
		t.nodes[p].size--
	}
	t.nodes[n] = node{}
	return rank
}

// rotate exchanges a node with its parent.
func (t *Tree) rotate(n int32) {
	t.steps++
	p := t.nodes[n].parent
	t.replace(t.nodes[p].parent, p, n)
	t.nodes[n].parent = t.nodes[p].parent
	moved := &t.nodes[n].right
	if t.nodes[p].left == n {
		t.nodes[p].left = *moved
	} else {
		moved = &t.nodes[n].left
		t.nodes[p].right = *moved
	}
	if *moved != 0 {
		t.nodes[*moved].parent = p
	}
	*moved, t.nodes[p].parent = p, n
	t.nodes[n].size = t.nodes[p].size
	t.nodes[p].size = t.size(t.nodes[p].left) + t.size(t.nodes[p].right) + 1
}

// replace replaces the child old of parent with child.
func (t *Tree) replace(parent, old, child int32) {
	switch {
	case parent == 0:
		t.root = child
	case t.nodes[parent].left == old:
		t.nodes[parent].left = child
	default:
		t.nodes[parent].right = child
	}
}

// Rank returns the rank, starting at 0, of an item that is in the tree.
func (t *Tree) Rank(item int) int {
	n := int32(item + 1)
	rank := int(t.size(t.nodes[n].left))
	for p := t.nodes[n].parent; p != 0; n, p = p, t.nodes[p].parent {
		t.steps++
		if t.nodes[p].right == n {
			rank += int(t.size(t.nodes[p].left)) + 1
		}
	}
	return rank
}

// At returns the item at a rank, which must be less than Len.
func (t *Tree) At(rank int) int {
	n := t.root
	for {
		t.steps++
		before := int(t.size(t.nodes[n].left))
		switch {
		case rank < before:
			n = t.nodes[n].left
		case rank == before:
			return int(n) - 1
		default:
			rank -= before + 1
			n = t.nodes[n].right
		}
	}
}

// next returns the node that follows n in key order, or 0.
func (t *Tree) next(n int32) int32 {
	if down := t.nodes[n].right; down != 0 {
		for t.nodes[down].left != 0 {
			t.steps++
			down = t.nodes[down].left
		}
		return down
	}
	p := t.nodes[n].parent
	for ; p != 0 && t.nodes[p].right == n; n, p = p, t.nodes[p].parent {
		t.steps++
	}
	return p
}

// From returns all items once, starting at a rank and wrapping around.
func (t *Tree) From(rank int) iter.Seq[int] {
	return func(yield func(int) bool) {
		length := t.Len()
		if length == 0 {
			return
		}
		n := int32(t.At(rank%length) + 1)
		for range length {
			t.steps++
			if !yield(int(n) - 1) {
				return
			}
			if n = t.next(n); n == 0 {
				n = int32(t.At(0) + 1)
			}
		}
	}
}

// Clone returns a copy that shares no memory with the tree.
func (t *Tree) Clone() Tree {
	c := *t
	c.nodes = slices.Clone(c.nodes)
	return c
}

// mixBits returns a pseudorandom priority that does not depend on the insertion order: the finalizer of MurmurHash3.
func mixBits(n uint32) uint32 {
	n ^= n >> 16
	n *= 0x85ebca6b
	n ^= n >> 13
	n *= 0xc2b2ae35
	return n ^ n>>16
}
