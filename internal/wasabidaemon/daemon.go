// Package wasabidaemon joins all parts of a router into one process: the
// listeners, the loop of decisions, the gateway and the controllers that keep
// claims, outcomes, configuration and the picture of the backend servers.
//
// # Life
//
// A daemon serves as soon as it knows a configuration from any source; it
// waits for nothing else. On Drain it takes itself out of address answers at
// once, goes on accepting requests until the last answer that named it has
// expired, then finishes what it has and ends. Settings bound the whole.
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
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

const (
	// drainMargin covers the time an address answer is on its way.
	drainMargin = wasabiridge.Second / 2
	// endTimeout bounds how long the last writes to the platform may take
	// after the last request was answered.
	endTimeout = 10 * time.Second
)

// Options are the parts of a daemon. Settings are needed; every other zero
// value stands for the usual part.
type Options struct {
	Settings wasabisettings.Settings
	Clock    wasabiridge.Clock
	// Log is where log lines go. Nil drops them.
	Log     io.Writer
	Runner  wasabiridge.AttemptRunner
	Placer  wasabiridge.Placer
	Limiter wasabiridge.Limiter
	// Claimer decides on requests that run at most once.
	Claimer wasabiridge.Claimer
	// Members returns what is known of the other instances.
	Members func() []wasabiridge.Member
}

// Daemon is one router. It is safe for concurrent use.
type Daemon struct {
	options     Options
	log         zerolog.Logger
	incarnation wasabiridge.Incarnation
	started     wasabiridge.Millis
	seed        uint64
	parts       parts
	board       board
	config      atomic.Pointer[inForce]
	caller      *listener
	operator    *listener
	leaving     atomic.Bool
	drain       sync.Once
	// drained is closed when the last answer that named this instance has
	// expired.
	drained chan struct{}
	// duties are the goroutines of the controllers. They end after the last
	// request.
	duties sync.WaitGroup
	end    context.CancelFunc
}

// New opens the listeners and starts the decisions. It reports ErrInvalid for
// settings that cannot be used and ErrUnavailable for an address that is
// taken.
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
	d.config.Store(&inForce{})
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.join(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen() error {
	s := d.options.Settings
	var err error
	if d.caller, err = d.newListener("caller", s.Caller); err != nil {
		return err
	}
	if d.operator, err = d.newListener("operator", s.Operator.Listener); err != nil {
		d.close()
	}
	return err
}

// close gives up what New has opened.
func (d *Daemon) close() {
	d.caller.close()
	d.operator.close()
	d.parts.close()
}

// start runs a duty until the daemon ends.
func (d *Daemon) start(ctx context.Context, duty func(context.Context)) {
	d.duties.Add(1)
	go func() {
		defer d.duties.Done()
		duty(ctx)
	}()
}

// URL returns where callers reach this instance.
func (d *Daemon) URL() string {
	return d.caller.url
}

// Entry describes this instance as the platform's list would.
func (d *Daemon) Entry() wasabiridge.InstanceEntry {
	return d.self()
}

// OperatorURL returns where operators reach this instance, or nothing when
// the listener is off.
func (d *Daemon) OperatorURL() string {
	if d.operator == nil {
		return ""
	}
	return d.operator.url
}

// Timeline returns the time line of this instance.
func (d *Daemon) Timeline() *wasabitimeline.Log {
	return d.parts.timeline
}

// Run serves until the daemon is drained. It returns nil when no request was
// cut.
func (d *Daemon) Run() error {
	var ctx context.Context
	ctx, d.end = context.WithCancel(context.Background())
	d.startDuties(ctx)
	server := d.newServer("caller", d.parts.gateway)
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

func (d *Daemon) newServer(part string, h http.Handler) *http.Server {
	limits := d.options.Settings.Limits.WithDefaults()
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: limits.HeaderTimeout.Duration(),
		IdleTimeout:       limits.IdleTimeout.Duration(),
		// The gateway turns down large headers itself, in the shape of the
		// API. This limit holds against what is larger by far.
		MaxHeaderBytes: 2 * limits.HeaderBytes,
		ErrorLog:       wasabilog.ServerErrors(wasabilog.Part(d.log, part)),
	}
}

// Drain makes the daemon leave. It returns at once; Run returns when the last
// request is answered. A second call changes nothing: an impatient operator
// or supervisor must not cut a stream.
func (d *Daemon) Drain(context.Context) error {
	d.drain.Do(func() {
		d.leaving.Store(true)
		d.parts.book.Leave()
		if d.parts.peers.members != nil {
			d.parts.peers.members.Leave(context.Background())
		}
		d.parts.timeline.Record(wasabiridge.TimelineEvent{Kind: wasabiridge.EventLifecycle, Cause: "leaving"})
		d.log.Info().Msg("Leaving; still accepting.")
		wait := d.options.Settings.Drain.WithDefaults().AnswerLifetime + drainMargin
		time.AfterFunc(wait.Duration(), func() { close(d.drained) })
	})
	return nil
}

// finish ends the process after its last request. Requests that are open when
// the limit passes are cut and reported.
func (d *Daemon) finish(server *http.Server) error {
	drain := d.options.Settings.Drain.WithDefaults()
	ctx, cancel := context.WithTimeout(context.Background(), (drain.Limit - drain.AnswerLifetime).Duration())
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		d.log.Error().Int("open", d.parts.gateway.Open()).Msg("Drain limit passed; open requests are cut.")
		_ = server.Close()
		err = wasabiridge.ErrUnavailable.New("daemon: drain limit passed with open requests")
	}
	d.parts.gateway.Wait()
	d.endDuties()
	d.parts.close()
	d.log.Info().Msg("Ended.")
	return err
}
