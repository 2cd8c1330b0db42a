// Package indexset holds sets of small integers, such as the indices of what is in use now. A walk is in ascending order,
// may change the set, and costs what the set holds and not the range that its elements are from; adding or removing an
// integer that is or isn't there is harmless. Use package intset instead where the elements are wanted as a slice and
// their order does not matter. The caller owns a set; it has no lock, and even a walk writes to it (Visits).
package indexset

import (
	"iter"
	"math/bits"
	"slices"
)

const (
	levels   = 3  // the top one has a word for each 64^3 elements
	wordBits = 64 // elements, or words of the level below, that a word stands for
)

// Set is a set of integers from zero on. It is a bitmap with a bitmap above it that says which of its words are not
// zero, and another above that. The zero value is an empty set.
type Set struct {
	words  [levels][]uint64
	count  int
	visits int
}

// Len returns the number of elements.
func (s *Set) Len() int { return s.count }

// Visits returns how many elements walks have visited so far: their cost, for tests that count.
func (s *Set) Visits() int { return s.visits }

// Has reports whether an integer is in the set.
func (s *Set) Has(i int) bool {
	word := i / wordBits
	return word < len(s.words[0]) && s.words[0][word]&(1<<(i%wordBits)) != 0
}

// Add adds an integer, which must not be below zero.
func (s *Set) Add(i int) {
	if s.Has(i) {
		return
	}
	s.count++
	for level := range s.words {
		word := i / wordBits
		if missing := word + 1 - len(s.words[level]); missing > 0 {
			s.words[level] = append(s.words[level], make([]uint64, missing)...)
		}
		s.words[level][word] |= 1 << (i % wordBits)
		i = word
	}
}

// Remove removes an integer if it is in the set.
func (s *Set) Remove(i int) {
	if !s.Has(i) {
		return
	}
	s.count--
	for level := range s.words {
		word := i / wordBits
		s.words[level][word] &^= 1 << (i % wordBits)
		if s.words[level][word] != 0 {
			return
		}
		i = word
	}
}

// Put adds an integer if isIn, else removes it.
func (s *Set) Put(i int, isIn bool) {
	if isIn {
		s.Add(i)
	} else {
		s.Remove(i)
	}
}

// All returns the elements in ascending order. Elements may be added and removed during the walk; one that is added
// below the current one is not visited. A walk counts its visits, so two at the same time are a data race.
func (s *Set) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for i := s.next(0, 0); i >= 0; i = s.next(0, i+1) {
			s.visits++
			if !yield(i) {
				return
			}
		}
	}
}

// next returns the least bit of a level that is set and not below from, or -1.
func (s *Set) next(level, from int) int {
	word := from / wordBits
	if word >= len(s.words[level]) {
		return -1
	}
	if rest := s.words[level][word] >> (from % wordBits); rest != 0 {
		return from + bits.TrailingZeros64(rest)
	}
	if level < levels-1 {
		word = s.next(level+1, word+1)
	} else {
		word = s.scan(word + 1)
	}
	if word < 0 {
		return -1
	}
	return word*wordBits + bits.TrailingZeros64(s.words[level][word])
}

// scan returns the first word of the top level from an index on that is not zero, or -1.
func (s *Set) scan(from int) int {
	for word := from; word < len(s.words[levels-1]); word++ {
		if s.words[levels-1][word] != 0 {
			return word
		}
	}
	return -1
}

// Clone returns a copy that shares no memory with the set.
func (s *Set) Clone() Set {
	c := *s
	for level := range c.words {
		c.words[level] = slices.Clone(c.words[level])
	}
	return c
}
