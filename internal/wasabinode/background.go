package wasabinode

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconn"
	"github.com/wasabiridge/wasabiridge/internal/wasabikept"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

const (
	// countInterval is how often the instances are counted.
	countInterval = time.Second
	// cacheStoreDialTimeout bounds opening a connection to a KV cache store, and
	// cacheStoreAckTimeout how long sent bytes may stay unacknowledged on one.
	// Within a region a round trip takes milliseconds.
	cacheStoreDialTimeout = 300 * wasabiridge.Millis(1)
	cacheStoreAckTimeout  = wasabiridge.Second
)

// startBackgroundTasks starts the goroutines of the controllers and of the
// periodic tasks. They end with the context.
func (n *Node) startBackgroundTasks(ctx context.Context) {
	go n.members.Run(ctx)
	go n.catalog.Run(ctx)
	go n.upgrade.Run(ctx)
	go n.countInstances(ctx)
	go n.watchCells(ctx)
	go n.rollouts.run(ctx)
	go n.watchCacheStores(ctx)
	go n.reach.watch(ctx)
	go n.publishPlacements(ctx)
	go n.shares.watch(ctx)
	go n.quarantine.Run(ctx)
	go n.quota.Run(ctx)
	go n.streams.Run(ctx)
	go n.migrateRequests(ctx)
	go n.restore(ctx)
	go n.restoreNumberings(ctx)
	go n.held.Run(ctx)
	go n.guard.Run(ctx)
	if n.options.Settings.Hosted.Headroom {
		go n.watchHeadroom(ctx)
	}
	go n.roster.register(ctx, n.incarnation)
	if s, ok := n.options.Platform.Runner.(interface{ Sweep(context.Context) }); ok {
		go s.Sweep(ctx)
	}
}

// countInstances posts to the decision loop how many instances share the
// backend servers, and which of them serve callers, whenever either changes.
// It logs both.
func (n *Node) countInstances(ctx context.Context) {
	ticker := wasabipulse.New(countInterval)
	defer ticker.Stop()
	var posted wasabiridge.InstancesCounted
	for {
		counted := n.counted()
		if counted.Count != posted.Count {
			n.log.Info().Int("instances", counted.Count).Int("serving", len(counted.Serving)).Msg("Number of instances changed.")
		}
		if !slices.Equal(counted.Serving, posted.Serving) {
			n.log.Info().Int("serving", len(counted.Serving)).Strs("instances", names(counted.Serving)).Msg("Instances that callers are sent to changed.")
		}
		if counted.Count != posted.Count || !slices.Equal(counted.Serving, posted.Serving) {
			posted = counted
			n.loop.Post(counted)
		}
		select {
		case <-ticker.C:
			ticker.Next(countInterval)
		case <-ctx.Done():
			return
		}
	}
}

// counted returns the number of instances in the membership view, this one
// included, and the sorted identifiers of those that callers are sent to.
func (n *Node) counted() wasabiridge.InstancesCounted {
	out := wasabiridge.InstancesCounted{Count: len(n.members.Members()) + 1}
	for _, e := range n.activeEntries() {
		out.Serving = append(out.Serving, e.ID)
	}
	slices.Sort(out.Serving)
	return out
}

// maxLoggedNames bounds the names in a log line.
const maxLoggedNames = 16

func names(ids []wasabiridge.InstanceID) []string {
	var out []string
	for _, id := range ids[:min(len(ids), maxLoggedNames)] {
		out = append(out, string(id))
	}
	return out
}

// watchCacheStores polls the KV cache stores and reports to the decision loop
// which of them can be reached. An engine that is sent to an unreachable store
// loses some hundred milliseconds.
func (n *Node) watchCacheStores(ctx context.Context) {
	if !n.waitFor(ctx, wasabiridge.Day, n.hasConfig) {
		return
	}
	pool := wasabiconn.New(wasabiconn.Options{Clock: n.options.Clock, DialTimeout: cacheStoreDialTimeout, UserTimeout: cacheStoreAckTimeout})
	defer pool.Close()
	settled := false
	watch := wasabikept.New(wasabikept.Options{Prober: pool, IsServing: func() bool { return settled && n.isActive() }})
	ticker := wasabipulse.New(wasabikept.PollInterval)
	defer ticker.Stop()
	for {
		for _, polled := range watch.Poll(ctx, n.activeConfig.Load().config.CacheStores) {
			if polled.Changed {
				n.log.Info().Str("address", polled.Address).Bool("up", polled.Up).Msg("Reachability of KV cache store changed.")
			}
			n.loop.TryPost(polled.CacheStoreChecked)
		}
		if !settled {
			// With the first configuration all stores count as reachable. Otherwise an
			// instance that has just started would let engines compute prefix segments
			// that a store holds. Before the stores are polled, the task waits for other
			// instances, because only then is it known whether callers are sent to this
			// one.
			n.waitForMembers(ctx)
			settled = true
			continue
		}
		select {
		case <-ticker.C:
			ticker.Next(wasabikept.PollInterval)
		case <-ctx.Done():
			return
		}
	}
}

// metricsHandler serves the metrics, the quarantine, the quotas and the shares of this
// instance to operators. wasabictl reads the shares at a path of the operators' API.
func (n *Node) metricsHandler() http.Handler {
	router := chi.NewRouter()
	router.Mount("/quarantine", n.quarantine.Handler())
	router.Mount("/quotas", n.quota.Handler())
	router.Get("/shares", n.shares.serve)
	router.Get("/rollouts", n.rollouts.serve)
	router.Get("/v1/shares", n.shares.serve)
	router.NotFound(n.serveMetrics)
	return router
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	n.writeMetrics(w)
}
