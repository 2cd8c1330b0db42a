package distribution

// The digest of a service is the sum of the hashes of its live entries, so it is independent of their order and is updated
// incrementally. Deletions are excluded, because stores prune them at different times; a store that lacks a deletion still
// includes the live entry in its digest.

// Parameters of FNV-1a, 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// ServiceDigest returns the digest of a service; 0 if it has no entries.
func (s *Store) ServiceDigest(service string) uint64 {
	if svc := s.services[service]; svc != nil {
		return svc.digest
	}
	return 0
}

// TotalDigest returns the sum of all services' digests.
func (s *Store) TotalDigest() uint64 { return s.digest }

// removeDigest subtracts an item's hash from the digests.
func (s *Store) removeDigest(svc *service, name string, id itemID, it item) {
	if it.deleted {
		return
	}
	h := hashEntry(name, id, s.origins.names[it.origin], it.clock, it.sequence)
	svc.digest -= h
	s.digest -= h
}

// hashEntry returns the FNV-1a hash of key and version, with its bits mixed so that sums of similar entries don't collide.
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

// hashText hashes a text and a terminator, a byte that does not occur in UTF-8.
func hashText(h uint64, text string) uint64 {
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * fnvPrime
	}
	return (h ^ 0xff) * fnvPrime
}

// hashNumber hashes the bytes of a number in little-endian order.
func hashNumber(h, n uint64) uint64 {
	for range 8 {
		h = (h ^ n&0xff) * fnvPrime
		n >>= 8
	}
	return h
}

// mixBits applies the finalizer of splitmix64.
func mixBits(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
