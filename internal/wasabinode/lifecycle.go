package wasabinode

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

// openInterval is how often a node that is shutting down checks for open requests.
const openInterval = 20 * time.Millisecond

// listen opens the listeners for callers, readiness checks, metrics and the
// directory of addresses.
func (n *Node) listen() error {
	h := n.options.Settings.Hosted
	caller := wasabilistener.PortOptions{Name: "caller", Share: n.ports.Caller}
	if err := n.serve(caller, n.options.Settings.Caller.Listen, n.relay); err != nil {
		return err
	}
	ready := wasabilistener.PortOptions{Name: "ready", Share: n.ports.Auxiliary, Disposable: true}
	if err := n.serve(ready, h.Ready, n.options.Platform.Ready(n.ready)); err != nil {
		return err
	}
	metrics := wasabilistener.PortOptions{Name: "metrics", Share: n.ports.Auxiliary, Disposable: true}
	if err := n.serve(metrics, h.Metrics, n.metricsHandler()); err != nil {
		return err
	}
	directory := wasabilistener.PortOptions{Name: "directory", Share: n.ports.Directory, Disposable: true}
	return n.serve(directory, h.Directory, n.options.Platform.Directory(n.nearest))
}

// serve opens a listener for a handler, unless the address is empty. Run starts
// serving on it.
func (n *Node) serve(o wasabilistener.PortOptions, address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	o.Limits = n.callerLimits
	port := n.guard.Port(o)
	socket, err := port.Listen(address)
	if err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "node: listen on %s", address)
	}
	// The port limits heads and times as the configuration in force says.
	server := &http.Server{Handler: h, MaxHeaderBytes: math.MaxInt32, ErrorLog: wasabilog.ServerErrors(wasabilog.Part(n.log, o.Name))}
	if o.Disposable {
		server.WriteTimeout = writeTimeout
	}
	port.Attach(server)
	n.sockets = append(n.sockets, socket)
	n.servers = append(n.servers, server)
	return nil
}

// callerLimits returns the limits on callers that are in force. Until there is a
// configuration, which may allow more, the size of heads is bounded by the share of the port
// only.
func (n *Node) callerLimits() wasabilistener.Limits {
	config := n.activeConfig.Load().config
	c := config.CallerLimits
	limits := wasabilistener.Limits{HeaderTimeout: cmp.Or(c.HeaderTimeout, headerTimeout), IdleTimeout: cmp.Or(c.IdleTimeout, idleTimeout)}
	if config.Version > 0 {
		limits.HeaderBytes = cmp.Or(c.HeaderBytes, headerBytes)
	}
	return limits
}

// ready reports whether this instance accepts requests: it has a configuration
// and is not draining.
func (n *Node) ready() bool {
	return !n.leaving.Load() && n.activeConfig.Load().config.Version > 0
}

// Run serves until the node is drained. It returns nil when all requests were
// completed, and ErrUnavailable when a listener failed or requests were still
// open at the end of the grace period.
func (n *Node) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.startBackgroundTasks(ctx)
	failed := make(chan error, len(n.servers))
	for i, server := range n.servers {
		go func() { failed <- server.Serve(n.sockets[i]) }()
	}
	n.log.Info().Str("caller", n.options.Settings.Caller.Listen).Str("zone", string(n.options.Settings.Zone)).
		Uint64("incarnation", uint64(n.incarnation)).Msg("Started.")
	select {
	case err := <-failed:
		return wasabiridge.ErrUnavailable.Wrap(err, "node: listener")
	case <-n.drained:
	}
	return n.finish()
}

// Reload applies the bounds of new settings. Settings that are read only at the
// start, such as addresses, keep their values; the log line reports whether a
// restart is needed for them.
func (n *Node) Reload(s wasabisettings.Settings) {
	if s.Hosted == nil {
		n.log.Error().Msg("Settings not applied: they have no section hosted.")
		return
	}
	terms := s.Hosted.Bounds.Resolve()
	n.terms.Store(&terms)
	n.log.Info().Int64("key_life_ms", int64(terms.RevokedKeyLifetime)).Int64("config_life_ms", int64(terms.ConfigPropagationTime)).
		Bool("restart_needed", s.Caller.Listen != n.options.Settings.Caller.Listen || s.Hosted.Store != n.options.Settings.Hosted.Store ||
			s.Hosted.ZoneCrossing != n.options.Settings.Hosted.ZoneCrossing).
		Msg("Settings reloaded.")
}

// Drain starts to shut the node down. It returns at once; Run returns when the
// last request is completed or the grace period is over. Further calls have no
// effect.
func (n *Node) Drain() {
	n.once.Do(func() {
		now := n.options.Clock.Now()
		n.shutdown.Store(&wasabirelay.Shutdown{AcceptUntil: now + acceptFor(n.bounds.ShutdownGrace), End: now + n.bounds.ShutdownGrace - endMargin})
		n.leaving.Store(true)
		n.book.Drain()
		n.members.Leave(context.Background())
		n.timeline.Record(wasabiridge.TimelineEvent{Kind: wasabiridge.EventLifecycle, Cause: "leaving"})
		n.log.Info().Int("open", n.relay.Open()).Msg("Leaving; still accepting.")
		time.AfterFunc(acceptFor(n.bounds.ShutdownGrace).Duration(), func() { close(n.drained) })
	})
}

// shutdownTimes returns when the node stops accepting requests and ends, if it is shutting down.
func (n *Node) shutdownTimes() wasabirelay.Shutdown {
	if s := n.shutdown.Load(); s != nil {
		return *s
	}
	return wasabirelay.Shutdown{}
}

// acceptFor returns how long a draining node keeps accepting requests, given the
// grace period in which the process must end.
//
// The failure it guards against: a long request arrives late, is accepted, and is
// aborted when the process must end. Another instance could have completed it.
func acceptFor(grace wasabiridge.Millis) wasabiridge.Millis {
	return min(maxAccept, wasabiridge.Millis(drainShare*float64(grace)))
}

// finish waits for the open requests within the grace period and then closes the
// node.
func (n *Node) finish() error {
	remaining := n.bounds.ShutdownGrace - acceptFor(n.bounds.ShutdownGrace) - endMargin
	ctx, cancel := context.WithTimeout(context.Background(), remaining.Duration())
	defer cancel()
	// A caller that does not complete its request must not hold the shutdown back.
	n.guard.End(remaining / 2)
	var err error
	failed := n.servers[0].Shutdown(ctx)
	if failed == nil {
		failed = n.waitForwarded(ctx)
	}
	if failed != nil {
		n.log.Error().Int("open", n.relay.Open()).Msg("Grace period over; aborting open requests.")
		err = wasabiridge.ErrUnavailable.Wrap(failed, "node: grace period ended with open requests")
	}
	n.close()
	n.log.Info().Msg("Ended.")
	return err
}

// waitForwarded waits for the requests that other instances have passed on to this one.
func (n *Node) waitForwarded(ctx context.Context) error {
	ticker := time.NewTicker(openInterval)
	defer ticker.Stop()
	for n.relay.Open() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// isUnfit reports whether this instance should not give orders to engines: it is shutting
// down, or has no path to them.
func (n *Node) isUnfit() bool { return n.leaving.Load() || n.reach.enginesLost() }

// close closes the listeners, the peer connections and the decision loop. Parts
// that New did not reach are nil and skipped.
func (n *Node) close() {
	for _, server := range n.servers {
		_ = server.Close()
	}
	for _, socket := range n.sockets {
		_ = socket.Close()
	}
	for _, client := range []*wasabipeer.Client{n.client, n.forwards} {
		if client != nil {
			_ = client.Close()
		}
	}
	if n.server != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_ = n.server.Close(ctx)
	}
	if n.loop != nil {
		n.loop.Close()
	}
}
