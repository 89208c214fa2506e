package wasabidaemon

import (
	"sync"

	"github.com/wasabiridge/wasabiridge"
)

// backendStates keeps the latest reported state of each backend server for the
// operators' API. It has no effect on routing. The zero value is empty and safe
// for concurrent use.
type backendStates struct {
	mu   sync.Mutex
	seen map[wasabiridge.BackendServerID]wasabiridge.BackendStatus
}

// update records an event about a backend server. Other events are ignored.
func (b *backendStates) update(e wasabiridge.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen == nil {
		b.seen = map[wasabiridge.BackendServerID]wasabiridge.BackendStatus{}
	}
	switch e := e.(type) {
	case wasabiridge.LoadReported:
		r := e.Report
		b.seen[r.Backend] = wasabiridge.BackendStatus{
			Incarnation: r.Incarnation, Weights: r.Weights,
			Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving,
		}
	case wasabiridge.BackendLost:
		s := b.seen[e.Backend]
		s.Lost = true
		b.seen[e.Backend] = s
	case wasabiridge.BackendLeaving:
		s := b.seen[e.Backend]
		s.Leaving = true
		b.seen[e.Backend] = s
	}
}

// list returns the status of all backend servers of a configuration, in its
// order. A server that is in several pools is returned once for each.
func (b *backendStates) list(cfg *wasabiridge.Config) []wasabiridge.BackendStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := []wasabiridge.BackendStatus{}
	for _, pool := range cfg.Pools {
		for _, server := range pool.Backends {
			s := b.seen[server.ID]
			s.Backend, s.Pool, s.Zone, s.Limit = server.ID, pool.ID, server.Zone, server.Slots
			all = append(all, s)
		}
	}
	return all
}
