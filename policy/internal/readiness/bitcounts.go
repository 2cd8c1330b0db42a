package readiness

import "math/bits"

// wordBits is the maximum number of labels and of placements: one for each bit of a word.
const wordBits = 64

// bitCounts holds one word for each server and, by bit, the number of ready servers with the bit set.
type bitCounts struct {
	words []uint64
	ready [wordBits]int
}

func (c *bitCounts) set(server int, word uint64, ready bool) {
	if ready {
		AddToBits(&c.ready, c.words[server], -1)
		AddToBits(&c.ready, word, 1)
	}
	c.words[server] = word
}

// count returns the sum of the counts of a word's bits.
func (c *bitCounts) count(word uint64) (count int) {
	for ; word != 0; word &= word - 1 {
		count += c.ready[bits.TrailingZeros64(word)]
	}
	return count
}

// AddToBits adds change to the count of each bit that is set in a word.
func AddToBits(counts *[wordBits]int, word uint64, change int) {
	for ; word != 0; word &= word - 1 {
		counts[bits.TrailingZeros64(word)] += change
	}
}
