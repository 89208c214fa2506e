package wasabidaemon

import (
	"sync"

	"github.com/wasabiridge/wasabiridge"
)

// board keeps the last news of each backend server for operators. It decides
// nothing. The zero value is empty and safe for concurrent use.
type board struct {
	mu   sync.Mutex
	seen map[wasabiridge.BackendServerID]wasabiridge.BackendStatus
}

// take notes one piece of news.
func (b *board) take(e wasabiridge.Event) {
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

// list describes the servers of a configuration in its order.
func (b *board) list(cfg *wasabiridge.Config) []wasabiridge.BackendStatus {
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
