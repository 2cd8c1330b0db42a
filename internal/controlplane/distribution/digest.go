package distribution

// A service's digest is the sum of its live entries' hashes: in any order the same, and kept as entries come and go.
// Deleted entries are not in it: holders forget them at different moments, and one that lacks a deletion has the live entry
// in its digest.

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashEntry is FNV-1a over the key and the version, its bits mixed so that sums of near ones do not meet.
func hashEntry(serviceName string, id itemID, origin Origin, clock, sequence uint64) uint64 {
	h := uint64(fnvOffset)
	h = hashText(h, serviceName)
	h = (h ^ uint64(id.kind)) * fnvPrime
	h = hashText(h, id.name)
	h = hashText(h, string(origin))
	h = hashNumber(h, clock)
	h = hashNumber(h, sequence)
	return mixBits(h)
}

// hashText adds a text and its end.
func hashText(h uint64, text string) uint64 {
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * fnvPrime
	}
	return (h ^ 0xff) * fnvPrime // no byte of UTF-8
}

func hashNumber(h, n uint64) uint64 {
	for range 8 {
		h = (h ^ n&0xff) * fnvPrime
		n >>= 8
	}
	return h
}

// mixBits is the finalizer of splitmix64.
func mixBits(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
