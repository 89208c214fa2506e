package wasabirelay

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// choosePool shares requests among pools by weight. The same request goes to
// the same pool at every instance.
func choosePool(split []wasabiridge.PoolShare, id wasabiridge.RequestID) wasabiridge.PoolID {
	sum := uint64(0)
	for _, s := range split {
		sum += uint64(max(s.Weight, 0))
	}
	if sum == 0 {
		return split[0].Pool
	}
	at := xxhash.Sum64String(string(id)) % sum
	for _, s := range split {
		weight := uint64(max(s.Weight, 0))
		if at < weight {
			return s.Pool
		}
		at -= weight
	}
	return split[len(split)-1].Pool
}
