// Package intset keeps small integers in no order of their own, with insertion and removal in constant time.
package intset

import "slices"

// Set holds each integer once at most. The zero value is empty.
type Set struct {
	items []int
	place []int // in items, and one, by item; 0: not there
}

// Len is the number of items.
func (b *Set) Len() int { return len(b.items) }

// Items is all of them. It holds until the next call of Add or Remove.
func (b *Set) Items() []int { return b.items }

// Add puts in an item that is not there, behind all others.
func (b *Set) Add(item int) {
	if missing := item + 1 - len(b.place); missing > 0 {
		b.place = append(b.place, make([]int, missing)...)
	}
	b.items = append(b.items, item)
	b.place[item] = len(b.items)
}

// Remove takes out an item that is there. The last one takes its place.
func (b *Set) Remove(item int) {
	last := len(b.items) - 1
	moved := b.items[last]
	b.items[b.place[item]-1] = moved
	b.place[moved] = b.place[item]
	b.place[item] = 0
	b.items = b.items[:last]
}

// Clone shares no memory with the bag.
func (b *Set) Clone() Set { return Set{items: slices.Clone(b.items), place: slices.Clone(b.place)} }
