package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicell"
)

// TakeUses returns how much the servers of each pool are used, with the requests that found no
// room since the last call.
func (p *Placer) TakeUses(now wasabiridge.Millis) map[wasabiridge.PoolID]wasabicell.Use {
	out := make(map[wasabiridge.PoolID]wasabicell.Use, len(p.pools))
	for id, pl := range p.pools {
		slots, requests, unusable := 0, 0, 0
		for _, r := range pl.replicas {
			if !p.hasCapacity(now, pl, r) {
				unusable++
				continue
			}
			slots, requests = slots+r.slotCount(), requests+r.totalLoad(now).requests
		}
		use := wasabicell.Use{Refused: pl.refused, Unusable: float64(unusable) / float64(max(1, len(pl.replicas)))}
		if slots > 0 {
			use.Load = float64(requests) / float64(slots)
		}
		pl.refused = 0
		out[id] = use
	}
	return out
}
