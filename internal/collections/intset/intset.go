// Package intset provides sets of small integers with insertion, removal and a slice of all elements in constant
// time. The order of the elements depends only on the calls. The caller of Add and Remove must know whether the
// integer is in the set. Use package indexset instead if elements are walked in ascending order, changed during a
// walk, or added without a membership check. The caller owns a set and synchronizes access.
package intset

import "slices"

// Set contains each integer at most once. The zero value is empty.
type Set struct {
	items     []int
	positions []int // by item: index into items plus one; 0: not in the set
}

// Len returns the number of items.
func (s *Set) Len() int { return len(s.items) }

// Items returns all items. The slice is valid until the next call of Add or Remove.
func (s *Set) Items() []int { return s.items }

// Add appends an item that is not in the set.
func (s *Set) Add(item int) {
	if missing := item + 1 - len(s.positions); missing > 0 {
		s.positions = append(s.positions, make([]int, missing)...)
	}
	s.items = append(s.items, item)
	s.positions[item] = len(s.items)
}

// Remove removes an item that is in the set. The last item takes its position.
func (s *Set) Remove(item int) {
	last := len(s.items) - 1
	moved := s.items[last]
	s.items[s.positions[item]-1] = moved
	s.positions[moved] = s.positions[item]
	s.positions[item] = 0
	s.items = s.items[:last]
}

// Clone returns a copy that shares no memory with the set.
func (s *Set) Clone() Set {
	return Set{items: slices.Clone(s.items), positions: slices.Clone(s.positions)}
}
