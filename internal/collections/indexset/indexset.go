// Package indexset provides sets of small integers, such as the indices of active entries. A walk is in ascending
// order, may change the set, and its cost depends on the number of elements and not on their range. Adding an element
// that is present, or removing one that is absent, has no effect. Use package intset instead if the elements are
// needed as a slice in any order. The caller owns a set and synchronizes access; even a walk writes to the set
// (Visits).
package indexset

import (
	"iter"
	"math/bits"
	"slices"
)

const (
	levels   = 3  // the top level has a word for each 64^3 elements
	wordBits = 64 // elements, or words of the level below, that a word represents
)

// Set is a set of integers from 0. It is a bitmap with a summary bitmap of its nonzero words, and a summary bitmap of
// that one. The zero value is an empty set.
type Set struct {
	words  [levels][]uint64
	count  int
	visits int
}

// Len returns the number of elements.
func (s *Set) Len() int { return s.count }

// Visits returns the number of elements that walks have visited since the start, for tests of their cost.
func (s *Set) Visits() int { return s.visits }

// Has reports whether an integer is in the set.
func (s *Set) Has(i int) bool {
	word := i / wordBits
	return word < len(s.words[0]) && s.words[0][word]&(1<<(i%wordBits)) != 0
}

// Add adds an integer, which must not be negative.
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

// Put adds an integer if present is true, else removes it.
func (s *Set) Put(i int, present bool) {
	if present {
		s.Add(i)
	} else {
		s.Remove(i)
	}
}

// All returns the elements in ascending order. Elements may be added and removed during the walk; an element that is
// added below the current one is not visited. A walk counts its visits, so two concurrent walks are a data race.
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

// next returns the lowest set bit of a level that is not below from, or -1.
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

// scan returns the first nonzero word of the top level at or after an index, or -1.
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
