package wasabinode

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

const (
	// restorePoll is the time between two looks for what a restore needs.
	restorePoll = 20 * time.Millisecond
	// restoreWait is how long after the first configuration the restore waits
	// for other instances, to know whether callers are sent here at all. They
	// are known about 300 ms after a start.
	restoreWait = 300 * wasabiridge.Millis(1)
	// restoreTimeout bounds one question to a cache.
	restoreTimeout = 2 * time.Second
)

// restore asks after the start what the caches hold, with one short call a cache.
//
// The failure it guards against: all instances are restarted at once. None of
// them knows any more what was sent where, so prompts that engines hold are
// computed again at other ones, just when all callers come back.
func (n *Node) restore(ctx context.Context) {
	if !n.waitFor(ctx, wasabiridge.Day, n.knowsConfig) {
		return
	}
	n.waitFor(ctx, restoreWait, func() bool { return !n.isAlone() })
	if !n.isActive() {
		return
	}
	began := n.options.Clock.Now()
	var wg sync.WaitGroup
	var parts, failed atomic.Int64
	for address, id := range cachesOf(n.inForce.Load().config) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			held, err := n.restoreCache(ctx, id, address)
			if err != nil {
				failed.Add(1)
				n.log.Debug().Err(err).Str("address", address).Msg("Cache not listed.")
			}
			parts.Add(int64(held))
		}()
	}
	wg.Wait()
	n.log.Info().Int64("parts", parts.Load()).Int64("failed", failed.Load()).
		Int64("took_ms", int64(n.options.Clock.Now()-began)).Msg("Caches listed.")
}

// waitFor waits until something holds. It reports false when the time or the
// context ended before.
func (n *Node) waitFor(ctx context.Context, most wasabiridge.Millis, holds func() bool) bool {
	for end := n.options.Clock.Now() + most; !holds(); {
		select {
		case <-time.After(restorePoll):
		case <-ctx.Done():
			return false
		}
		if n.options.Clock.Now() >= end {
			return false
		}
	}
	return true
}

// knowsConfig reports whether a configuration is in force.
func (n *Node) knowsConfig() bool { return n.inForce.Load().config.Version > 0 }

// isActive reports whether callers are sent to this instance.
func (n *Node) isActive() bool {
	return slices.ContainsFunc(n.book.Active(), func(e wasabiridge.InstanceEntry) bool {
		return e.ID == n.options.Settings.Instance
	})
}

// cachesOf returns which engine, or store of kept cache if it is empty, tells at
// which address what it holds.
func cachesOf(cfg *wasabiridge.Config) map[string]wasabiridge.BackendServerID {
	out := map[string]wasabiridge.BackendServerID{}
	for _, pool := range cfg.Pools {
		if len(pool.Models) == 0 {
			continue
		}
		for _, b := range pool.Backends {
			out[wasabiaddress.HostPort(b.URL)] = b.ID
		}
	}
	for _, k := range cfg.KeptCaches {
		out[k.Address] = ""
	}
	return out
}

// restoreCache hands what one cache holds to the decisions, as if another
// instance had told of it. It returns how many parts that are.
func (n *Node) restoreCache(ctx context.Context, id wasabiridge.BackendServerID, address string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	held, err := n.options.Platform.Caches.ReadHeld(ctx, address)
	if err != nil {
		return 0, err
	}
	parts := make([]wasabiridge.PartNews, len(held))
	for i, h := range held {
		parts[i] = wasabiridge.PartNews{Backend: id, Key: wasabiprefix.PartKey(h.Salt, h.Part), Tokens: h.Tokens, Ready: true}
	}
	if id == "" {
		n.loop.Observe(wasabiridge.KeptCacheListed{Address: address, Parts: parts})
		return len(parts), nil
	}
	n.loop.Observe(wasabiridge.PeerPlaced{From: n.options.Settings.Instance, Parts: parts})
	return len(parts), nil
}
