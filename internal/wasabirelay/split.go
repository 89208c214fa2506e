package wasabirelay

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// choosePool selects a pool at random in proportion to the weights. The choice depends
// only on the split and the request identifier, so all instances choose the same pool
// for a request.
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
