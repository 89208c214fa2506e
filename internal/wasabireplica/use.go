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
		slots, requests := 0, 0
		for _, r := range pl.replicas {
			if n := r.slotCount(); n > 0 && !r.gone && !r.leaving {
				slots, requests = slots+n, requests+r.totalLoad(now).requests
			}
		}
		use := wasabicell.Use{Refused: pl.refused}
		if slots > 0 {
			use.Load = float64(requests) / float64(slots)
		}
		pl.refused = 0
		out[id] = use
	}
	return out
}
