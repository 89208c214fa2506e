package wasabinode

import (
	"context"
	"sync"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicell"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

// cellInterval is how often it is checked whether the servers that this instance uses of a
// large pool are enough.
const cellInterval = 250 * time.Millisecond

// cells holds which servers of large pools this instance uses. It is safe for concurrent use.
type cells struct {
	zone wasabiridge.AvailabilityZone

	mu    sync.Mutex
	sizes map[wasabiridge.PoolID]wasabicell.Size
	// listed is the number of servers of each pool that is larger than a cell.
	listed map[wasabiridge.PoolID]int
}

func newCells(zone wasabiridge.AvailabilityZone) *cells {
	return &cells{zone: zone, sizes: map[wasabiridge.PoolID]wasabicell.Size{}}
}

// usedServers are the backend servers that this instance uses.
type usedServers struct {
	config wasabiridge.Config
	// parted are the pools of which it uses a part only.
	parted map[wasabiridge.PoolID]bool
	// weights are those that the servers serve, and those that are leaving.
	weights []wasabiridge.WeightsReported
}

// apply returns the configuration with the backend servers that this instance uses of each
// pool, without those that are leaving.
func (c *cells) apply(cfg wasabiridge.Config, entries []wasabiridge.BackendEntry) usedServers {
	out := usedServers{parted: map[wasabiridge.PoolID]bool{}}
	byPool := make(map[wasabiridge.PoolID][]*wasabiridge.BackendEntry, len(cfg.Pools))
	for _, p := range cfg.Pools {
		byPool[p.ID] = nil
	}
	for i := range entries {
		e := &entries[i]
		list, known := byPool[e.Pool]
		switch {
		case !known:
		case e.Leaving:
			out.addWeights(e)
		default:
			byPool[e.Pool] = append(list, e)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = map[wasabiridge.PoolID]int{}
	pools := make([]wasabiridge.Pool, len(cfg.Pools))
	for i, pool := range cfg.Pools {
		size, known := c.sizes[pool.ID]
		if !known {
			size = wasabicell.NewSize()
			c.sizes[pool.ID] = size
		}
		if n := len(byPool[pool.ID]); n > wasabicell.MinServers {
			c.listed[pool.ID] = n
			out.parted[pool.ID] = n > size.Servers()
		}
		pool.Backends = nil
		for _, e := range wasabicell.Select(c.zone, size.Servers(), byPool[pool.ID]) {
			pool.Backends = append(pool.Backends, e.Server)
			out.addWeights(e)
		}
		pool.Parted = out.parted[pool.ID]
		pools[i] = pool
	}
	cfg.Pools = pools
	out.config = cfg
	return out
}

// addWeights adds the weights that a server serves.
func (u *usedServers) addWeights(e *wasabiridge.BackendEntry) {
	for _, model := range sortedModels(e.Weights) {
		u.weights = append(u.weights, wasabiridge.WeightsReported{Backend: e.Server.ID, Model: model, Weights: e.Weights[model], Incarnation: e.Server.Incarnation})
	}
}

// observe takes how the servers of the pools are used. It returns the pools of which the cell
// has to change.
func (c *cells) observe(now wasabiridge.Millis, uses map[wasabiridge.PoolID]wasabicell.Use) map[wasabiridge.PoolID]wasabicell.Size {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := map[wasabiridge.PoolID]wasabicell.Size{}
	for id, use := range uses {
		before := c.sizes[id]
		if c.listed[id] == 0 {
			continue
		}
		after := before.Observe(now, use)
		c.sizes[id] = after
		if after.Servers() != before.Servers() {
			changed[id] = after
		}
	}
	return changed
}

// watchCells changes how many servers of large pools this instance uses, as its requests need.
func (n *Node) watchCells(ctx context.Context) {
	ticker := wasabipulse.New(cellInterval)
	defer ticker.Stop()
	log := wasabilog.Part(n.log, "cell")
	for {
		select {
		case <-ticker.C:
			ticker.Next(cellInterval)
		case <-ctx.Done():
			return
		}
		if len(n.activeConfig.Load().parted) == 0 {
			continue
		}
		now := n.options.Clock.Now()
		var uses map[wasabiridge.PoolID]wasabicell.Use
		n.loop.Inspect(func() { uses = n.placer.TakeUses(now) })
		changed := n.cells.observe(now, uses)
		for id, size := range changed {
			log.Info().Str("pool", string(id)).Int("servers", size.Servers()).Float64("load", uses[id].Load).Int("refused", uses[id].Refused).Float64("unusable", uses[id].Unusable).
				Msg("Number of backend servers in use changed.")
		}
		if len(changed) > 0 {
			n.adopt(n.catalog.View())
		}
	}
}
