package dispatch

import (
	"hash/maphash"

	"fernvane/policy"
)

// maxUsedIDs is how many client IDs of requests that may have run are stored, the latest ones.
const maxUsedIDs = 16 << 10

// usedIDs stores the client IDs of the latest requests that may have run and must not run again, as hashes.
type usedIDs struct {
	seed   maphash.Seed
	hashes map[uint64]struct{}
	order  []uint64 // of hashes; a ring once it has maxUsedIDs elements
	oldest int      // index in the full ring
}

func newUsedIDs() usedIDs {
	return usedIDs{seed: maphash.MakeSeed(), hashes: map[uint64]struct{}{}}
}

func (u *usedIDs) contains(id []byte) bool {
	_, ok := u.hashes[maphash.Bytes(u.seed, id)]
	return ok
}

// add stores an ID and discards the oldest one if there are too many.
func (u *usedIDs) add(id string) {
	hash := maphash.String(u.seed, id)
	if _, ok := u.hashes[hash]; ok {
		return
	}
	u.hashes[hash] = struct{}{}
	if len(u.order) < maxUsedIDs {
		u.order = append(u.order, hash)
		return
	}
	delete(u.hashes, u.order[u.oldest])
	u.order[u.oldest] = hash
	u.oldest = (u.oldest + 1) % maxUsedIDs
}

// mayHaveRun reports whether a server may have executed the request, or may yet.
func (r *Request) mayHaveRun() bool { return r.possibleRuns > 0 }

// rememberID stores the client ID of a settled request that must not run again.
func (r *Request) rememberID() {
	mustNotRepeat := r.dispatcher.settings.TrafficTypes[r.trafficType].Idempotency != policy.Idempotent
	if mustNotRepeat && r.mayHaveRun() {
		r.dispatcher.requests.usedIDs.add(r.clientID)
	}
}
