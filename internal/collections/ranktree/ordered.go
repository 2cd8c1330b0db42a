// Package ranktree keeps items in the order of their keys and finds an item's place, and the item at a place, in a time
// that grows with the logarithm of their number.
package ranktree

import (
	"iter"
	"slices"
)

// Tree is an order-statistic treap over items that are small integers from zero on. The zero value is empty.
type Tree struct {
	nodes []node // by item, from one on; 0 stands for none
	root  int32
	steps int
}

type node struct {
	key                 int
	priority            uint32
	left, right, parent int32
	size                int32 // of the subtree; 0: the item is not in
}

// Len is the number of items.
func (x *Tree) Len() int { return int(x.size(x.root)) }

// Steps is how many nodes were come to so far: what the index has cost, for tests that count.
func (x *Tree) Steps() int { return x.steps }

// Has tells whether an item is in.
func (x *Tree) Has(item int) bool { return item+1 < len(x.nodes) && x.nodes[item+1].size > 0 }

func (x *Tree) size(n int32) int32 {
	if n == 0 {
		return 0
	}
	return x.nodes[n].size
}

// Insert puts in an item that is not there, before others of the same key, and returns its place.
func (x *Tree) Insert(item, key int) int {
	if missing := item + 2 - len(x.nodes); missing > 0 {
		x.nodes = append(x.nodes, make([]node, missing)...)
	}
	n := int32(item + 1)
	x.nodes[n] = node{key: key, priority: mixed(uint32(n)), size: 1}
	place, parent, left := 0, int32(0), false
	for at := x.root; at != 0; {
		x.steps++
		x.nodes[at].size++
		parent = at
		if left = key <= x.nodes[at].key; left {
			at = x.nodes[at].left
		} else {
			place += int(x.size(x.nodes[at].left)) + 1
			at = x.nodes[at].right
		}
	}
	x.nodes[n].parent = parent
	switch {
	case parent == 0:
		x.root = n
	case left:
		x.nodes[parent].left = n
	default:
		x.nodes[parent].right = n
	}
	for p := x.nodes[n].parent; p != 0 && x.nodes[p].priority < x.nodes[n].priority; p = x.nodes[n].parent {
		x.rotate(n)
	}
	return place
}

// Delete takes out an item that is there and returns the place that it had.
func (x *Tree) Delete(item int) int {
	place, n := x.Rank(item), int32(item+1)
	for x.nodes[n].left != 0 || x.nodes[n].right != 0 { // down until it is a leaf
		child := x.nodes[n].left
		if right := x.nodes[n].right; child == 0 || right != 0 && x.nodes[right].priority > x.nodes[child].priority {
			child = right
		}
		x.rotate(child)
	}
	x.replace(x.nodes[n].parent, n, 0)
	for p := x.nodes[n].parent; p != 0; p = x.nodes[p].parent {
		x.steps++
		x.nodes[p].size--
	}
	x.nodes[n] = node{}
	return place
}

// rotate lifts a node above its parent.
func (x *Tree) rotate(n int32) {
	x.steps++
	p := x.nodes[n].parent
	x.replace(x.nodes[p].parent, p, n)
	x.nodes[n].parent = x.nodes[p].parent
	moved := &x.nodes[n].right
	if x.nodes[p].left == n {
		x.nodes[p].left = *moved
	} else {
		moved = &x.nodes[n].left
		x.nodes[p].right = *moved
	}
	if *moved != 0 {
		x.nodes[*moved].parent = p
	}
	*moved, x.nodes[p].parent = p, n
	x.nodes[n].size = x.nodes[p].size
	x.nodes[p].size = x.size(x.nodes[p].left) + x.size(x.nodes[p].right) + 1
}

// replace has another child stand where one stood.
func (x *Tree) replace(parent, was, child int32) {
	switch {
	case parent == 0:
		x.root = child
	case x.nodes[parent].left == was:
		x.nodes[parent].left = child
	default:
		x.nodes[parent].right = child
	}
}

// Rank is the place of an item that is there, from zero on.
func (x *Tree) Rank(item int) int {
	n := int32(item + 1)
	place := int(x.size(x.nodes[n].left))
	for p := x.nodes[n].parent; p != 0; n, p = p, x.nodes[p].parent {
		x.steps++
		if x.nodes[p].right == n {
			place += int(x.size(x.nodes[p].left)) + 1
		}
	}
	return place
}

// At is the item at a place, which must be less than Len.
func (x *Tree) At(place int) int {
	n := x.root
	for {
		x.steps++
		before := int(x.size(x.nodes[n].left))
		switch {
		case place < before:
			n = x.nodes[n].left
		case place == before:
			return int(n) - 1
		default:
			place -= before + 1
			n = x.nodes[n].right
		}
	}
}

// next is the node behind one, or 0.
func (x *Tree) next(n int32) int32 {
	if down := x.nodes[n].right; down != 0 {
		for x.nodes[down].left != 0 {
			x.steps++
			down = x.nodes[down].left
		}
		return down
	}
	p := x.nodes[n].parent
	for ; p != 0 && x.nodes[p].right == n; n, p = p, x.nodes[p].parent {
		x.steps++
	}
	return p
}

// From walks all items once, from a place on and round to it.
func (x *Tree) From(place int) iter.Seq[int] {
	return func(yield func(int) bool) {
		length := x.Len()
		if length == 0 {
			return
		}
		n := int32(x.At(place%length) + 1)
		for range length {
			x.steps++
			if !yield(int(n) - 1) {
				return
			}
			if n = x.next(n); n == 0 {
				n = int32(x.At(0) + 1)
			}
		}
	}
}

// Clone shares no memory with the index.
func (x *Tree) Clone() Tree {
	c := *x
	c.nodes = slices.Clone(c.nodes)
	return c
}

// mixed makes a priority that has nothing to do with the order of items: the finalizer of MurmurHash3.
func mixed(n uint32) uint32 {
	n ^= n >> 16
	n *= 0x85ebca6b
	n ^= n >> 13
	n *= 0xc2b2ae35
	return n ^ n>>16
}
