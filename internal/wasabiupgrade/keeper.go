package wasabiupgrade

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

const (
	tickEvery = 50 * time.Millisecond
	// leaseName is one for all pools, so that one instance orders everything.
	leaseName = "upgrade"
	// resultsSize bounds the results that wait. There is at most one call
	// under way for each replica.
	resultsSize = 64
	// readTimeout bounds one reading of a replica.
	readTimeout = 500 * time.Millisecond
	// rankWait is how long work must lie undone for each rank before this
	// instance's own, until it contends too.
	rankWait = 900 * wasabiridge.Millis(1)
)

// LeaseTiming is the pace of the lease. The holder believes for less than the
// platform's bound on turns. What an earlier life of the same instance held is
// taken at once: it had the same listener, and so is over. Without that, after a
// restart of all instances nobody gives orders until the lease of one of them has
// ended.
var LeaseTiming = wasabilease.Timing{TTL: 2400, Drift: 600, Renew: 1100, Poll: 600, Reclaim: true}

// Options are the parts of a Keeper. Log and Timing may be left out.
type Options struct {
	Self wasabiridge.InstanceID
	// Address is where the instance listens. With its name it tells it from a
	// successor on another machine.
	Address     string
	Incarnation wasabiridge.Incarnation
	Clock       wasabiridge.Clock
	Table       wasabiridge.Table
	Engines     wasabiridge.EngineOperator
	Recorder    wasabiridge.Recorder
	// Catalog returns what the platform lists and which weights are wanted.
	Catalog func() ([]wasabiridge.BackendEntry, map[wasabiridge.ModelID]wasabiridge.WeightsVersion)
	// Rank is this instance's place among the living ones.
	Rank func() int
	// Leaving reports whether the instance is about to go. It then gives the
	// lease back, so that the next one need not wait for its end. Nil means
	// never.
	Leaving func() bool
	// Tell tells the instances that place requests or may give orders next, this
	// one included. It must not block.
	Tell   func(news []wasabiridge.RestNews)
	Log    zerolog.Logger
	Timing Timing
}

// Keeper drives a Machine with a clock, the lease and the replicas. It is safe
// for concurrent use.
type Keeper struct {
	options Options
	lease   *wasabilease.Lease
	times   Times
	results chan Event
	// idleSince is when work began to lie undone.
	undone wasabiridge.Millis
	seen   int
}

// NewKeeper returns a keeper. Run starts it.
func NewKeeper(o Options) *Keeper {
	return &Keeper{
		options: o,
		results: make(chan Event, resultsSize),
		lease: wasabilease.New(wasabilease.Options{
			Name: leaseName, Self: wasabiridge.InstanceID(string(o.Self) + "@" + o.Address), Incarnation: o.Incarnation, Table: o.Table, Clock: o.Clock,
			Recorder: o.Recorder, Timing: LeaseTiming,
		}),
	}
}

// Times returns how long upgrades took since the start.
func (k *Keeper) Times() *Times { return &k.times }

// Hear takes that another instance told of a replica.
func (k *Keeper) Hear(b wasabiridge.BackendServerID) {
	select {
	case k.results <- Heard{Backend: b}:
	default:
	}
}

// Run drives the machine until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.lease.Run(ctx)
	m := NewMachine(k.options.Timing)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		var e Event
		select {
		case <-ctx.Done():
			return
		case e = <-k.results:
		case <-ticker.C:
			entries, wanted := k.options.Catalog()
			e = Ticked{Entries: entries, Wanted: wanted, Grant: k.lease.Grant()}
		}
		now := k.options.Clock.Now()
		var told []wasabiridge.RestNews
		for _, effect := range slices.Clone(m.Handle(now, e)) {
			if tell, ok := effect.(Tell); ok {
				told = append(told, tell.News)
			} else {
				k.carryOut(ctx, effect)
			}
		}
		k.tell(told)
		k.lease.Contend(k.wants(now, m.Outstanding()))
	}
}

// wants reports whether this instance should hold the lease: while there is
// work, the lowest rank at once, and the others when the work lies undone.
func (k *Keeper) wants(now wasabiridge.Millis, outstanding int) bool {
	if outstanding == 0 || outstanding < k.seen || k.undone == 0 {
		k.undone = now
	}
	k.seen = outstanding
	if outstanding == 0 || k.options.Leaving != nil && k.options.Leaving() {
		return false
	}
	return k.lease.Grant().Fencing != 0 || now-k.undone >= wasabiridge.Millis(k.options.Rank())*rankWait
}

func (k *Keeper) carryOut(ctx context.Context, e Effect) {
	switch e := e.(type) {
	case SendOrder:
		go k.send(ctx, e)
	case ReadState:
		go k.read(ctx, e)
	case Upgraded:
		k.times.add(e)
		k.options.Log.Info().Str("backend", string(e.Backend)).Str("model", string(e.Model)).Uint64("weights", uint64(e.Weights)).
			Int64("rested_ms", int64(e.Rested)).Int64("loaded_ms", int64(e.Loaded)).Msg("Replica upgraded.")
	}
}

// tell hands on what one event brought, in one message.
func (k *Keeper) tell(news []wasabiridge.RestNews) {
	if len(news) == 0 {
		return
	}
	for _, n := range news {
		k.options.Log.Info().Str("backend", string(n.Backend)).Int64("resting_ms", int64(n.Resting)).Int64("easing_ms", int64(n.Easing)).
			Uint64("weights", uint64(n.Weights)).Uint64("fencing", uint64(k.lease.Grant().Fencing)).Msg("Replica told of.")
	}
	k.options.Tell(news)
}

// send gives an order, unless its time was used up on the way here. The lease
// covers an order only until then.
func (k *Keeper) send(ctx context.Context, e SendOrder) {
	result := Ordered{Backend: e.Server.ID, Model: e.Order.Model, Fencing: e.Order.Fencing}
	defer func() { k.post(ctx, result) }()
	rest := e.Before - k.options.Clock.Now()
	if rest <= 0 {
		result.Refused = true
		return
	}
	timed, cancel := context.WithTimeout(ctx, rest.Duration())
	defer cancel()
	err := k.options.Engines.SendOrder(timed, e.Server, e.Order)
	result.Fenced = errorx.IsOfType(err, wasabiridge.ErrFenced)
	result.Unsure = errorx.IsOfType(err, wasabiridge.ErrOutcomeUnknown) || errorx.IsOfType(err, wasabiridge.ErrConflict)
	result.Refused = errorx.IsOfType(err, wasabiridge.ErrNotFound) || errorx.IsOfType(err, wasabiridge.ErrUnavailable)
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	k.options.Log.Info().Str("backend", string(e.Server.ID)).Uint64("weights", uint64(e.Order.Weights)).
		Uint64("fencing", uint64(e.Order.Fencing)).Str("outcome", outcome).Msg("Order given.")
}

func (k *Keeper) read(ctx context.Context, e ReadState) {
	timed, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, err := k.options.Engines.ReadState(timed, e.Server)
	k.post(ctx, StateRead{Backend: e.Server.ID, Model: e.Model, State: state, Failed: err != nil})
}

func (k *Keeper) post(ctx context.Context, e Event) {
	select {
	case k.results <- e:
	case <-ctx.Done():
	}
}
