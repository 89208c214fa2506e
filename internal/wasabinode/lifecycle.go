package wasabinode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

// listen opens the listeners for callers, the directory and the checks.
func (n *Node) listen() error {
	h := n.options.Settings.Hosted
	if err := n.serve("caller", n.options.Settings.Caller.Listen, n.relay); err != nil {
		return err
	}
	if err := n.serve("ready", h.Ready, n.options.Platform.Ready(n.ready)); err != nil {
		return err
	}
	if err := n.serve("metrics", h.Metrics, n.metricsHandler()); err != nil {
		return err
	}
	return n.serve("directory", h.Directory, n.options.Platform.Directory(n.nearest))
}

// serve opens a listener, unless its address is empty.
func (n *Node) serve(part, address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	socket, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "node: listen on %s", address)
	}
	n.sockets = append(n.sockets, wasabilistener.New(socket))
	n.servers = append(n.servers, &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: wasabilog.ServerErrors(wasabilog.Part(n.log, part)),
	})
	return nil
}

// ready reports whether requests are taken.
func (n *Node) ready() bool {
	return !n.leaving.Load() && n.inForce.Load().config.Version > 0
}

// Run serves until the node is drained. It returns nil when no request was
// cut.
func (n *Node) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.startDuties(ctx)
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

// Reload takes the bounds of new settings. What only counts at the start, such
// as addresses, stays as it is, and the log says so.
func (n *Node) Reload(s wasabisettings.Settings) {
	if s.Hosted == nil {
		n.log.Error().Msg("Settings without a section hosted are not taken.")
		return
	}
	terms := s.Hosted.Bounds.Terms()
	n.terms.Store(&terms)
	n.log.Info().Int64("key_life_ms", int64(terms.KeyLife)).Int64("config_life_ms", int64(terms.ConfigLife)).
		Bool("restart_needed", s.Caller.Listen != n.options.Settings.Caller.Listen || s.Hosted.Store != n.options.Settings.Hosted.Store).
		Msg("Settings reloaded.")
}

// Drain makes the node leave. It returns at once; Run returns when the last
// request is answered. A second call changes nothing.
func (n *Node) Drain() {
	n.once.Do(func() {
		n.leaving.Store(true)
		n.book.Leave()
		n.members.Leave(context.Background())
		n.timeline.Record(wasabiridge.TimelineEvent{Kind: wasabiridge.EventLifecycle, Cause: "leaving"})
		n.log.Info().Int("open", n.relay.Open()).Msg("Leaving; still accepting.")
		time.AfterFunc(acceptFor(n.bounds.Grace).Duration(), func() { close(n.drained) })
	})
}

// acceptFor is how long after it began to leave a node takes requests, of the time that
// it has to end.
//
// The failure it guards against: a long request comes late, is taken, and is cut when the
// process must end. Its caller would have been served elsewhere.
func acceptFor(grace wasabiridge.Millis) wasabiridge.Millis {
	return min(acceptMost, wasabiridge.Millis(drainShare*float64(grace)))
}

// finish ends the process after its last request.
func (n *Node) finish() error {
	rest := n.bounds.Grace - acceptFor(n.bounds.Grace) - endMargin
	ctx, cancel := context.WithTimeout(context.Background(), rest.Duration())
	defer cancel()
	var err error
	if failed := n.servers[0].Shutdown(ctx); failed != nil {
		n.log.Error().Int("open", n.relay.Open()).Msg("Time to end passed; open requests are cut.")
		err = wasabiridge.ErrUnavailable.Wrap(failed, "node: ended with open requests")
	}
	n.close()
	n.log.Info().Msg("Ended.")
	return err
}

// close ends what holds goroutines or connections.
func (n *Node) close() {
	for _, server := range n.servers {
		_ = server.Close()
	}
	for _, socket := range n.sockets {
		_ = socket.Close()
	}
	if n.client != nil {
		_ = n.client.Close()
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
