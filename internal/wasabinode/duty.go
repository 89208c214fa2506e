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
)

const (
	// countInterval is how often the number of instances is looked at.
	countInterval = time.Second
	// keptTimeout is how long a connection to a store of kept cache may take to
	// open, keptSilence how long one may be silent. Within a region a round trip
	// takes milliseconds.
	keptTimeout = 300 * wasabiridge.Millis(1)
	keptSilence = wasabiridge.Second
)

// startDuties starts the goroutines of the controllers.
func (n *Node) startDuties(ctx context.Context) {
	go n.members.Run(ctx)
	go n.catalog.Run(ctx)
	go n.upgrade.Run(ctx)
	go n.countInstances(ctx)
	go n.watchKept(ctx)
	go n.share(ctx)
	go n.quarantine.Run(ctx)
	go n.quota.Run(ctx)
	go n.moveAnswers(ctx)
	go n.restore(ctx)
	go n.roster.sign(ctx, n.incarnation)
	if s, ok := n.options.Platform.Runner.(interface{ Sweep(context.Context) }); ok {
		go s.Sweep(ctx)
	}
}

// countInstances tells the decisions how many instances share the backend
// servers.
func (n *Node) countInstances(ctx context.Context) {
	ticker := time.NewTicker(countInterval)
	defer ticker.Stop()
	var told wasabiridge.InstancesCounted
	for {
		counted := n.counted()
		if counted.Count != told.Count {
			n.log.Info().Int("instances", counted.Count).Int("serving", len(counted.Serving)).Msg("Instances counted.")
		}
		if counted.Count != told.Count || !slices.Equal(counted.Serving, told.Serving) {
			told = counted
			n.loop.Post(counted)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// counted returns the instances as they are seen now.
func (n *Node) counted() wasabiridge.InstancesCounted {
	out := wasabiridge.InstancesCounted{Count: len(n.members.Members()) + 1}
	for _, e := range n.activeEntries() {
		out.Serving = append(out.Serving, e.ID)
	}
	slices.Sort(out.Serving)
	return out
}

// watchKept tells the decisions which stores of kept cache can be reached. An
// engine that is sent to one that cannot loses some hundred milliseconds.
func (n *Node) watchKept(ctx context.Context) {
	if !n.waitFor(ctx, wasabiridge.Day, n.knowsConfig) {
		return
	}
	pool := wasabiconn.New(wasabiconn.Options{Clock: n.options.Clock, DialTimeout: keptTimeout, Silence: keptSilence})
	defer pool.Close()
	settled := false
	watch := wasabikept.New(wasabikept.Options{Reacher: pool, Active: func() bool { return settled && n.isActive() }})
	ticker := time.NewTicker(wasabikept.Interval)
	defer ticker.Stop()
	for {
		for _, seen := range watch.Look(ctx, n.inForce.Load().config.KeptCaches) {
			if seen.Changed {
				n.log.Info().Str("address", seen.Address).Bool("up", seen.Up).Msg("Store of kept cache seen.")
			}
			n.loop.Observe(seen.KeptCacheSeen)
		}
		if !settled {
			// With the first configuration all stores count as reachable: an instance
			// that has just started would have parts computed that they hold. The first
			// look waits for other instances, to know whether callers are sent here.
			n.waitFor(ctx, restoreWait, func() bool { return !n.isAlone() })
			settled = true
			continue
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// metricsHandler serves what operators see of a running instance.
func (n *Node) metricsHandler() http.Handler {
	router := chi.NewRouter()
	router.Mount("/quarantine", n.quarantine.Handler())
	router.Mount("/quotas", n.quota.Handler())
	router.NotFound(n.serveMetrics)
	return router
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	n.writeMetrics(w)
}
