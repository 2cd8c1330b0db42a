package distribution

// The digest of a service is the sum of the hashes of its live entries: the same in any order, and kept up as entries come and
// go. Deletions are not in it, since holders prune them at different moments; a holder that lacks a deletion has the live entry
// in its digest.

// Parameters of FNV-1a, 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// ServiceDigest returns the digest of a service; 0 if it has no entries.
func (s *Store) ServiceDigest(service string) uint64 {
	if of := s.services[service]; of != nil {
		return of.digest
	}
	return 0
}

// TotalDigest returns the sum of all services' digests.
func (s *Store) TotalDigest() uint64 { return s.digest }

// removeDigest takes an item out of the digests.
func (s *Store) removeDigest(of *service, name string, id itemID, it item) {
	if it.deleted {
		return
	}
	h := hashEntry(name, id, s.origins.names[it.origin], it.clock, it.sequence)
	of.digest -= h
	s.digest -= h
}

// hashEntry is FNV-1a over key and version, mixed so that sums of similar entries don't collide.
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

// hashText adds a text and a terminator, which is no byte of UTF-8.
func hashText(h uint64, text string) uint64 {
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * fnvPrime
	}
	return (h ^ 0xff) * fnvPrime
}

// hashNumber adds the bytes of a number, the lowest first.
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
