// Package wasabidaemon joins all parts of a router into one process: the
// listeners, the loop of decisions, the gateway, and whatever else Options
// name.
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
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
	"github.com/wasabiridge/wasabiridge/internal/wasabigateway"
	"github.com/wasabiridge/wasabiridge/internal/wasabilimit"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplace"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

// Options are the parts of a daemon. Settings are needed; every other zero
// value stands for the usual part.
type Options struct {
	Settings wasabisettings.Settings
	Clock    wasabiridge.Clock
	// Log is where log lines go. Nil drops them.
	Log    io.Writer
	Runner wasabiridge.AttemptRunner
	Placer wasabiridge.Placer
	// Limiter decides when requests may go.
	Limiter wasabiridge.Limiter
	// Claimer decides on requests that run at most once. Nil refuses them as
	// not run.
	Claimer  wasabiridge.Claimer
	Outcomes wasabiridge.OutcomeRecorder
	// Members returns what is known of the other instances.
	Members func() []wasabiridge.Member
}

// Daemon is one router. It is safe for concurrent use.
type Daemon struct {
	options     Options
	log         zerolog.Logger
	incarnation wasabiridge.Incarnation
	timeline    *wasabitimeline.Log
	loop        *wasabiloop.Loop
	book        *wasabiaddress.Book
	gateway     *wasabigateway.Gateway
	config      atomic.Pointer[wasabiridge.Config]
	caller      *listener
	leaving     atomic.Bool
	drain       sync.Once
	// drained is closed when the last answer that named this instance has
	// expired.
	drained chan struct{}
}

// New opens the listeners and starts the decisions. It reports ErrInvalid for
// settings that cannot be used and ErrUnavailable for an address that is
// taken.
func New(o Options) (*Daemon, error) {
	o = o.withDefaults()
	d := &Daemon{
		options:     o,
		incarnation: wasabiridge.Incarnation(o.Clock.Now()),
		drained:     make(chan struct{}),
	}
	d.log = wasabilog.New(o.Log, o.Settings.LogLevel).With().Str(wasabilog.InstanceField, string(o.Settings.Instance)).Logger()
	d.config.Store(&wasabiridge.Config{})
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.join()
	if err := d.loadConfig(); err != nil {
		d.loop.Close()
		d.caller.close()
		return nil, err
	}
	return d, nil
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = wasabiclock.System()
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	if o.Runner == nil {
		o.Runner = wasabibackend.New(wasabibackend.Options{})
	}
	if o.Placer == nil {
		o.Placer = wasabiplace.New(wasabiplace.Options{Seed: o.seed(), Zone: o.Settings.Zone})
	}
	if o.Limiter == nil {
		o.Limiter = wasabilimit.New(wasabilimit.Options{Instances: 1})
	}
	return o
}

// seed returns the start of the random choices.
func (o Options) seed() uint64 {
	if o.Settings.Seed != 0 {
		return uint64(o.Settings.Seed)
	}
	return rand.Uint64()
}

func (d *Daemon) listen() error {
	var err error
	o := listenerOptions{settings: d.options.Settings.Caller, clock: d.options.Clock, log: wasabilog.Part(d.log, "caller")}
	if d.caller, err = newListener(o); err != nil {
		return err
	}
	return nil
}

// join makes the parts know each other.
func (d *Daemon) join() {
	s := d.options.Settings
	d.timeline = wasabitimeline.New(wasabitimeline.Options{Instance: s.Instance, Clock: d.options.Clock})
	core := wasabicore.New(wasabicore.Options{
		Placer:       d.options.Placer,
		Limiter:      d.options.Limiter,
		Instance:     s.Instance,
		FirstAttempt: wasabiridge.AttemptID(d.incarnation) << attemptBits,
	})
	d.loop = wasabiloop.New(wasabiloop.Options{
		Decider:  core,
		Clock:    d.options.Clock,
		Recorder: d.timeline,
		Ring:     s.Limits.Ring,
	})
	d.book = wasabiaddress.New(wasabiaddress.Options{
		Self: wasabiridge.InstanceEntry{
			ID: s.Instance, Zone: s.Zone, Region: s.Region,
			CallerURL: d.caller.url, PeerAddress: s.Peer.Address,
		},
		Members:  d.options.Members,
		Lifetime: s.Drain.WithDefaults().AnswerLifetime,
		Ticket:   d.ticket(),
	})
	d.gateway = wasabigateway.New(wasabigateway.Options{
		Instance:    s.Instance,
		Incarnation: d.incarnation,
		Clock:       d.options.Clock,
		Log:         wasabilog.Part(d.log, "gateway"),
		Loop:        d.loop,
		Runner:      d.options.Runner,
		Config:      d.Config,
		Claimer:     d.options.Claimer,
		Outcomes:    d.options.Outcomes,
		Recorder:    d.timeline,
		Addresses:   d.book,
		Limits:      s.Limits,
		Leaving:     d.leaving.Load,
	})
}

// attemptBits leaves room for the attempts of one life: identifiers of a later
// life, which starts at least a millisecond later, never meet those of an
// earlier one as long as a life makes fewer than 2^20 attempts a millisecond.
const attemptBits = 20

func (d *Daemon) ticket() func(wasabiridge.ClientAccountID) string {
	if d.options.Claimer == nil {
		return nil
	}
	return d.options.Claimer.Ticket
}

// Config returns the configuration in force. Its version is zero when none is
// known.
func (d *Daemon) Config() wasabiridge.Config {
	return *d.config.Load()
}

// Adopt puts a configuration in force. An older one than that in force is
// ignored.
func (d *Daemon) Adopt(cfg wasabiridge.Config) {
	for {
		current := d.config.Load()
		if cfg.Version <= current.Version {
			return
		}
		if d.config.CompareAndSwap(current, &cfg) {
			break
		}
	}
	d.loop.Post(wasabiridge.ConfigAdopted{Config: cfg})
	d.log.Info().Uint64("version", uint64(cfg.Version)).Msg("Configuration adopted.")
}

// URL returns where callers reach this instance.
func (d *Daemon) URL() string {
	return d.caller.url
}

// Run serves until the daemon is drained. It returns nil when no request was
// cut.
func (d *Daemon) Run() error {
	limits := d.options.Settings.Limits.WithDefaults()
	server := &http.Server{
		Handler:           d.gateway,
		ReadHeaderTimeout: limits.HeaderTimeout.Duration(),
		IdleTimeout:       limits.IdleTimeout.Duration(),
		// The gateway turns down large headers itself, in the shape of the
		// API. This limit holds against what is larger by far.
		MaxHeaderBytes: 2 * limits.HeaderBytes,
		ErrorLog:       errorLog(wasabilog.Part(d.log, "caller")),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(d.caller.socket) }()
	d.log.Info().Str("url", d.caller.url).Msg("Serving callers.")
	select {
	case err := <-failed:
		return wasabiridge.ErrUnavailable.Wrap(err, "daemon: caller listener")
	case <-d.drained:
	}
	return d.finish(server)
}

// Drain makes the daemon leave. It returns at once; Run returns when the last
// request is answered. A second call changes nothing.
func (d *Daemon) Drain(context.Context) error {
	d.drain.Do(func() {
		d.leaving.Store(true)
		d.book.Leave()
		d.timeline.Record(wasabiridge.TimelineEvent{Kind: wasabiridge.EventLifecycle, Cause: "leaving"})
		d.log.Info().Msg("Leaving; still accepting.")
		wait := d.options.Settings.Drain.WithDefaults().AnswerLifetime + drainMargin
		time.AfterFunc(wait.Duration(), func() { close(d.drained) })
	})
	return nil
}

// drainMargin covers the time an answer is on its way to its caller.
const drainMargin = wasabiridge.Second / 2

// finish ends the process after its last request. Requests that are open when
// the limit passes are cut and reported.
func (d *Daemon) finish(server *http.Server) error {
	drain := d.options.Settings.Drain.WithDefaults()
	ctx, cancel := context.WithTimeout(context.Background(), (drain.Limit - drain.AnswerLifetime).Duration())
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		_ = server.Close()
		d.log.Error().Int("open", d.gateway.Open()).Msg("Drain limit passed; open requests were cut.")
		err = wasabiridge.ErrUnavailable.New("daemon: drain limit passed with open requests")
	}
	d.gateway.Wait()
	d.loop.Close()
	d.log.Info().Msg("Ended.")
	return err
}

// Timeline returns the time line of this instance.
func (d *Daemon) Timeline() *wasabitimeline.Log {
	return d.timeline
}
