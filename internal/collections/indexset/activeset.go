// Package indexset keeps sets of small integers, such as the indices of what is in use just now, so that a walk over
// them costs what they hold and not the range that they are from.
package indexset

import (
	"iter"
	"math/bits"
	"slices"
)

const (
	levels   = 3  // of words; the top one has a word for each 64^3 elements
	wordBits = 64 // elements, or words of the level below, that a word stands for
)

// Set is a set of integers from zero on. It is a bitmap with a bitmap above it that tells which of its words hold
// anything, and one more above that. The zero value is an empty set.
type Set struct {
	words  [levels][]uint64
	count  int
	visits int
}

// Len is the number of elements.
func (s *Set) Len() int { return s.count }

// Visits is how many elements walks have come to so far: what walks cost, for tests that count.
func (s *Set) Visits() int { return s.visits }

// Has tells whether an integer is an element.
func (s *Set) Has(i int) bool {
	word := i / wordBits
	return word < len(s.words[0]) && s.words[0][word]&(1<<(i%wordBits)) != 0
}

// Add takes in an integer, which is not below zero.
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

// Remove takes out an integer, if it is there.
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

// Put takes an integer in or out.
func (s *Set) Put(i int, in bool) {
	if in {
		s.Add(i)
	} else {
		s.Remove(i)
	}
}

// All walks the elements in ascending order. Elements may be added and removed on the way; one that is added behind
// the walk is not met.
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

// next is the least bit of a level that is set and not below from, or -1.
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

// scan is the first word of the top level, from one on, that is not zero, or -1.
func (s *Set) scan(from int) int {
	for word := from; word < len(s.words[levels-1]); word++ {
		if s.words[levels-1][word] != 0 {
			return word
		}
	}
	return -1
}

// Clone shares no memory with the set.
func (s *Set) Clone() Set {
	c := *s
	for level := range c.words {
		c.words[level] = slices.Clone(c.words[level])
	}
	return c
}
