// Package wasabidaemon assembles a router process from its components: the
// listeners, the decision loop, the gateway, and the controllers for claims,
// outcomes, the configuration and the state of backend servers.
//
// # Life cycle
//
// A daemon serves requests as soon as it has a configuration from any source; it
// waits for nothing else. Drain removes it from address answers at once. It
// accepts requests until the last address answer that contained it has expired,
// then finishes the open requests and ends. The settings limit the duration of
// the drain.
//
// # Usage
//
//	var d *wasabidaemon.Daemon
//	var err error
//	if d, err = wasabidaemon.New(wasabidaemon.Options{Settings: settings}); err != nil {
//		return err
//	}
//	go func() { <-signals; d.Drain(ctx) }()
//	return d.Run()
package wasabidaemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiheld"
	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

const (
	// drainMargin allows for the time that an address answer is in flight.
	drainMargin = wasabiridge.Second / 2
	// endTimeout limits the last writes to the platform after the last request
	// was answered, and the closing of the peer server.
	endTimeout = 10 * time.Second
	// maxStreams bounds the open requests of a connection with HTTP/2, and http2WindowBytes
	// what such a connection may send before it is read.
	maxStreams       = 100
	http2WindowBytes = 64 << 10
)

// Options configure a daemon. Settings is required. A zero value elsewhere
// selects the default component.
type Options struct {
	Settings wasabisettings.Settings
	Clock    wasabiridge.Clock
	// Log receives the log lines. Nil discards them.
	Log     io.Writer
	Runner  wasabiridge.AttemptRunner
	Placer  wasabiridge.Placer
	Limiter wasabiridge.Limiter
	// Claimer decides whether a request that must run at most once may run.
	Claimer wasabiridge.Claimer
	// Members returns the other instances in the membership view.
	Members func() []wasabiridge.Member
}

// Daemon is one router. It is safe for concurrent use.
type Daemon struct {
	options     Options
	log         zerolog.Logger
	incarnation wasabiridge.Incarnation
	started     wasabiridge.Millis
	seed        uint64
	components  components
	backends    backendStates
	config      atomic.Pointer[adoptedConfig]
	// guard bounds what the connections of all listeners take.
	guard *wasabilistener.Guard
	ports wasabilistener.Shares
	// held is nil if the settings name no memory.
	held      *wasabiheld.Keeper
	caller    *listener
	operator  *listener
	leaving   atomic.Bool
	drainOnce sync.Once
	// drained is closed when the last address answer that contained this
	// instance has expired.
	drained chan struct{}
	// tasks counts the goroutines of the controllers, which end after the last
	// request. stopTasks cancels their context.
	tasks     sync.WaitGroup
	stopTasks context.CancelFunc
}

// New opens the listeners and starts the decision loop. It returns ErrInvalid for
// settings that cannot be used and ErrUnavailable for an address that it cannot
// listen on.
func New(o Options) (*Daemon, error) {
	if o.Clock == nil {
		o.Clock = wasabiclock.System()
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	d := &Daemon{
		options:     o,
		incarnation: wasabiridge.Incarnation(o.Clock.Now()),
		started:     o.Clock.Now(),
		seed:        uint64(o.Settings.Seed),
		drained:     make(chan struct{}),
	}
	if d.seed == 0 {
		d.seed = rand.Uint64()
	}
	d.log = wasabilog.New(o.Log, o.Settings.LogLevel).With().Str(wasabilog.InstanceField, string(o.Settings.Instance)).Logger()
	d.guard = wasabilistener.NewGuard(wasabilistener.Options{Clock: o.Clock, Log: wasabilog.Part(d.log, "listener")})
	d.ports = wasabilistener.Divide(wasabilistener.Descriptors(o.Settings.Descriptors), o.Settings.ConnectionBytes())
	d.held = wasabiheld.New(wasabiheld.Options{Limit: o.Settings.HeldBytes(), Clock: o.Clock, Log: wasabilog.Part(d.log, "held")})
	d.config.Store(&adoptedConfig{})
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.assemble(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen() error {
	s := d.options.Settings
	var err error
	if d.caller, err = d.newListener("caller", d.ports.Caller, s.Caller); err != nil {
		return err
	}
	if d.operator, err = d.newListener("operator", d.ports.Directory, s.Operator.Listener); err != nil {
		d.close()
	}
	return err
}

// close closes the listeners and the components.
func (d *Daemon) close() {
	d.caller.close()
	d.operator.close()
	d.components.close()
}

// startTask runs a task in a goroutine. The task must return when the context is
// done, which happens after the last request.
func (d *Daemon) startTask(ctx context.Context, task func(context.Context)) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		task(ctx)
	}()
}

// URL returns the URL of the callers' listener.
func (d *Daemon) URL() string {
	return d.caller.url
}

// InstanceEntry returns this instance as an entry of the platform's list of instances.
func (d *Daemon) InstanceEntry() wasabiridge.InstanceEntry {
	return d.self()
}

// OperatorURL returns the URL of the operators' listener, or the empty string
// when the listener is off.
func (d *Daemon) OperatorURL() string {
	if d.operator == nil {
		return ""
	}
	return d.operator.url
}

// Timeline returns the time line that this instance records.
func (d *Daemon) Timeline() *wasabitimeline.Log {
	return d.components.timeline
}

// Run serves until the daemon is drained. It returns nil when all requests were
// finished, and ErrUnavailable when open requests were aborted because the drain
// limit expired or when the callers' listener failed.
func (d *Daemon) Run() error {
	var ctx context.Context
	ctx, d.stopTasks = context.WithCancel(context.Background())
	d.startTasks(ctx)
	server := d.newServer("caller", d.caller.port, d.components.gateway)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(d.caller.socket) }()
	operator := d.serveOperators()
	d.log.Info().Str("url", d.caller.url).Msg("Serving callers.")
	select {
	case err := <-failed:
		return wasabiridge.ErrUnavailable.Wrap(err, "daemon: caller listener")
	case <-d.drained:
	}
	err := d.finish(server)
	if operator != nil {
		_ = operator.Close()
	}
	return err
}

func (d *Daemon) newServer(part string, port *wasabilistener.Port, h http.Handler) *http.Server {
	limits := d.options.Settings.Limits.WithDefaults()
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: limits.HeaderTimeout.Duration(),
		IdleTimeout:       limits.IdleTimeout.Duration(),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: http2WindowBytes, MaxReceiveBufferPerStream: http2WindowBytes},
		// The gateway rejects headers beyond HeaderBytes itself, with an error
		// response of the API. This limit only stops headers far larger than
		// that.
		MaxHeaderBytes: 2 * limits.HeaderBytes,
		ErrorLog:       wasabilog.ServerErrors(wasabilog.Part(d.log, part)),
	}
	port.Attach(server)
	return server
}

// Drain starts to drain the daemon. It returns at once; Run returns when the last
// request has been answered. Further calls have no effect, so that an operator or
// a supervisor that repeats the call does not abort a stream.
func (d *Daemon) Drain(context.Context) error {
	d.drainOnce.Do(func() {
		d.leaving.Store(true)
		d.components.book.Drain()
		if d.components.peers.members != nil {
			d.components.peers.members.Leave(context.Background())
		}
		d.components.timeline.Record(wasabiridge.TimelineEvent{Kind: wasabiridge.EventLifecycle, Cause: "leaving"})
		d.log.Info().Msg("Draining; accepting requests until the address answers have expired.")
		wait := d.options.Settings.Drain.WithDefaults().AnswerLifetime + drainMargin
		time.AfterFunc(wait.Duration(), func() { close(d.drained) })
	})
	return nil
}

// finish waits for the open requests and stops the components. Requests that are
// still open when the drain limit expires are aborted, and finish returns
// ErrUnavailable.
func (d *Daemon) finish(server *http.Server) error {
	drain := d.options.Settings.Drain.WithDefaults()
	ctx, cancel := context.WithTimeout(context.Background(), (drain.Limit - drain.AnswerLifetime).Duration())
	defer cancel()
	// A caller that does not complete its request must not hold the drain back.
	limits := d.options.Settings.Limits.WithDefaults()
	d.guard.End(min((drain.Limit-drain.AnswerLifetime)/2, max(limits.HeaderTimeout, limits.BodyTimeout)))
	err := server.Shutdown(ctx)
	if err != nil {
		d.log.Error().Int("open", d.components.gateway.OpenRequests()).Msg("Drain limit expired; aborting the open requests.")
		_ = server.Close()
		err = wasabiridge.ErrUnavailable.New("daemon: drain limit passed with open requests")
	}
	d.components.gateway.Wait()
	d.finishTasks()
	d.components.close()
	d.log.Info().Msg("Ended.")
	return err
}
