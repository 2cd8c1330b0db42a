// Package intset holds sets of small integers with insertion, removal and a slice of all elements in constant time. The
// order of the elements depends only on the calls. Add and Remove must know whether the integer is there. Use package
// indexset instead where elements are walked in ascending order, changed during a walk, or added without asking. The
// caller owns a set; it has no lock.
package intset

import "slices"

// Set holds each integer at most once. The zero value is empty.
type Set struct {
	items     []int
	positions []int // by item: index into items plus one; 0: not in the set
}

// Len returns the number of items.
func (s *Set) Len() int { return len(s.items) }

// Items returns all items. The slice is valid until the next call of Add or Remove.
func (s *Set) Items() []int { return s.items }

// Add puts an item that is not in the set behind all others.
func (s *Set) Add(item int) {
	if missing := item + 1 - len(s.positions); missing > 0 {
		s.positions = append(s.positions, make([]int, missing)...)
	}
	s.items = append(s.items, item)
	s.positions[item] = len(s.items)
}

// Remove takes out an item that is in the set. The last item takes its position.
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
