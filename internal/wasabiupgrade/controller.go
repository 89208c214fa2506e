package wasabiupgrade

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

const (
	tickEvery = 50 * time.Millisecond
	// idleFactor is how much longer the time between ticks is at an instance that observes no
	// replicas.
	idleFactor = 5
	// leaseName is the same for all pools, so that a single instance sends all orders.
	leaseName = "upgrade"
	// resultsSize is the capacity of the queue of results. At most one call is in
	// flight for each replica.
	resultsSize = 64
	// readTimeout limits one read of a replica's state.
	readTimeout = 500 * time.Millisecond
	// rankDelay is the delay, for each instance of a lower rank, after which an
	// instance contends for the lease because the outstanding upgrades make no
	// progress.
	rankDelay = 900 * wasabiridge.Millis(1)
	// Candidates is how many instances of the lowest ranks observe the replicas, so that they
	// can hold the lease. They need the updates of each other. The others neither keep a state
	// for each replica nor look at them many times a second.
	Candidates = 8
	// updateInterval is how often the replicas are compared with the list although it has not
	// changed: an earlier incarnation is accepted when it was reported for long enough.
	updateInterval = 500 * wasabiridge.Millis(1)
)

// LeaseTiming is the timing of the lease. The holder considers it valid for less time than
// the platform's limit on lease terms. A lease that an earlier incarnation of the same
// instance held is taken over immediately: that process used the same listen address, so
// it must have ended. Otherwise no instance would send orders after a restart of all
// instances until the old lease has expired.
var LeaseTiming = wasabilease.Timing{TTL: 2400, Drift: 600, Renew: 1100, Poll: 600, Reclaim: true}

// Options configures a Controller. Recorder, Epoch, Unfit, Log and Timing are optional.
type Options struct {
	Self wasabiridge.InstanceID
	// Address is the listen address of the instance. Together with Self it
	// distinguishes the instance from a successor on another machine.
	Address     string
	Incarnation wasabiridge.Incarnation
	Clock       wasabiridge.Clock
	Table       wasabiridge.Table
	Engines     wasabiridge.EngineOperator
	Recorder    wasabiridge.Recorder
	// Catalog returns the replicas that the platform lists and the target version of
	// each model. While nothing changes it returns the same list, which is not modified.
	Catalog func() ([]wasabiridge.BackendEntry, map[wasabiridge.ModelID]wasabiridge.WeightsVersion)
	// Epoch returns the newest known epoch of the store. Nil means that it has none.
	Epoch func() wasabiridge.StoreEpoch
	// Rank returns the position of this instance among the live instances, from 0.
	Rank func() int
	// Unfit reports whether the instance should not give orders, because it is shutting
	// down or has no path to the engines. It then releases the lease and does not
	// contend for it.
	Unfit func() bool
	// Send sends state updates about replicas to all instances that place requests or
	// may send the next orders, including this one. It must not block.
	Send   func(updates []wasabiridge.BackoffUpdate)
	Log    zerolog.Logger
	Timing Timing
}

// Controller runs a Machine: it holds the lease, passes it the time, the catalog and the
// results of its effects, and sends its orders to the replicas. It is safe for concurrent
// use.
type Controller struct {
	options Options
	lease   *wasabilease.Lease
	// handover is what is written for the next holder when the lease is released.
	handover atomic.Value
	times    Durations
	results  chan Event
	// stalledSince is the time since which the outstanding upgrades make no progress.
	stalledSince wasabiridge.Millis
	// loggedFencing is the fencing number of the lease that was last logged.
	loggedFencing wasabiridge.FencingNumber
	// lastOutstanding is the number of outstanding upgrades at the last check.
	lastOutstanding int
	// entries are the replicas of the last tick, and updatedAt is when they were last compared.
	entries   []wasabiridge.BackendEntry
	updatedAt wasabiridge.Millis
}

// NewController returns a Controller that is not running yet. Run runs it.
func NewController(o Options) *Controller {
	k := &Controller{options: o, results: make(chan Event, resultsSize)}
	k.handover.Store("")
	k.lease = wasabilease.New(wasabilease.Options{
		Name: leaseName, Self: wasabiridge.InstanceID(string(o.Self) + "@" + o.Address), Incarnation: o.Incarnation, Table: o.Table, Clock: o.Clock,
		Recorder: o.Recorder, Timing: LeaseTiming, Handover: func() string { return k.handover.Load().(string) },
	})
	return k
}

// Durations returns the durations of the upgrades since the start.
func (k *Controller) Durations() *Durations { return &k.times }

// Receive is called when another instance has sent a state update about a replica. It
// does not block; the update is dropped if the queue is full.
func (k *Controller) Receive(from wasabiridge.InstanceID, b wasabiridge.BackendServerID) {
	select {
	case k.results <- UpdateReceived{Backend: b, From: from}:
	default:
	}
}

// Run runs the controller until the context is cancelled. It releases the lease after a replica
// has rejected its fencing number, and contends for it again. If no other instance holds it, as
// after a malformed response, it gets the lease under a higher number.
func (k *Controller) Run(ctx context.Context) {
	go k.lease.Run(ctx)
	m := NewMachine(k.options.Self, k.options.Timing)
	ticker := wasabipulse.New(tickEvery)
	defer ticker.Stop()
	for {
		var e Event
		select {
		case <-ctx.Done():
			return
		case e = <-k.results:
		case <-ticker.C:
			e = k.tick()
			interval := tickEvery
			if len(k.entries) == 0 {
				interval *= idleFactor
			}
			ticker.Next(interval)
		}
		now := k.options.Clock.Now()
		var updates []wasabiridge.BackoffUpdate
		for _, effect := range slices.Clone(m.Handle(now, e)) {
			if send, ok := effect.(SendUpdate); ok {
				updates = append(updates, send.Update)
			} else {
				k.carryOut(ctx, effect)
			}
		}
		k.notify(updates)
		k.logLease(m.Outstanding())
		if k.options.Epoch != nil {
			k.lease.ObserveEpoch(k.options.Epoch())
		}
		wanted := k.wantsLease(now, m.Outstanding()) && !m.IsRejected()
		if !wanted && k.lease.Grant().Fencing != 0 {
			k.handover.Store(m.Handover(now))
		}
		k.lease.Contend(wanted)
	}
}

// tick returns the event of a tick. An instance that need not observe the replicas passes none
// on.
func (k *Controller) tick() Ticked {
	out := Ticked{Grant: k.lease.Grant()}
	var entries []wasabiridge.BackendEntry
	if out.Grant.Fencing != 0 || k.options.Rank() < Candidates {
		entries, out.Targets = k.options.Catalog()
	}
	now := k.options.Clock.Now()
	same := len(entries) == len(k.entries) && (len(entries) == 0 || &entries[0] == &k.entries[0])
	if out.Unchanged = same && now-k.updatedAt < updateInterval; out.Unchanged {
		return out
	}
	out.Entries, k.entries, k.updatedAt = entries, entries, now
	return out
}

// logLease logs when this instance gets or loses the lease.
func (k *Controller) logLease(outstanding int) {
	fencing := k.lease.Grant().Fencing
	if fencing == k.loggedFencing {
		return
	}
	k.options.Log.Info().Uint64("fencing", uint64(fencing)).Uint64("fencing_before", uint64(k.loggedFencing)).
		Int("outstanding", outstanding).Msg("Lease for orders has changed.")
	k.loggedFencing = fencing
}

// wantsLease reports whether this instance should hold or contend for the lease. While
// upgrades are outstanding, the instance of the lowest rank contends immediately, and the
// others only if the upgrades make no progress for their rank's delay.
func (k *Controller) wantsLease(now wasabiridge.Millis, outstanding int) bool {
	if outstanding == 0 || outstanding < k.lastOutstanding || k.stalledSince == 0 {
		k.stalledSince = now
	}
	k.lastOutstanding = outstanding
	if outstanding == 0 || k.options.Unfit != nil && k.options.Unfit() {
		return false
	}
	return k.lease.Grant().Fencing != 0 || now-k.stalledSince >= wasabiridge.Millis(k.options.Rank())*rankDelay
}

func (k *Controller) carryOut(ctx context.Context, e Effect) {
	switch e := e.(type) {
	case SendOrder:
		go k.send(ctx, e)
	case ReadState:
		go k.read(ctx, e)
	case Succeeded:
		k.options.Log.Info().Err(e.Err).Uint64("fencing_before", uint64(e.Previous.Fencing)).Str("holder_before", string(e.Previous.Holder)).
			Int("orders", e.Orders).Msg("Orders of an earlier holder taken over.")
	case Upgraded:
		k.times.add(e)
		k.options.Log.Info().Str("backend", string(e.Backend)).Str("model", string(e.Model)).Uint64("weights", uint64(e.Weights)).
			Int64("rested_ms", int64(e.Backoff)).Int64("loaded_ms", int64(e.LoadTime)).Msg("Replica upgraded.")
	}
}

// notify logs the state updates that one event caused, and sends them in one message.
func (k *Controller) notify(updates []wasabiridge.BackoffUpdate) {
	if len(updates) == 0 {
		return
	}
	for _, u := range updates {
		k.options.Log.Info().Str("backend", string(u.Backend)).Int64("resting_ms", int64(u.Backoff)).Int64("easing_ms", int64(u.Drain)).
			Uint64("weights", uint64(u.Weights)).Uint64("fencing", uint64(k.lease.Grant().Fencing)).Msg("Replica state announced.")
	}
	k.options.Send(updates)
}

// send sends an order, unless its latest send time has passed. The lease is only
// guaranteed to be held until then.
func (k *Controller) send(ctx context.Context, e SendOrder) {
	result := OrderResult{Backend: e.Server.ID, Model: e.Order.Model, Fencing: e.Order.Fencing}
	defer func() { k.post(ctx, result) }()
	remaining := e.Before - k.options.Clock.Now()
	if remaining <= 0 {
		result.Refused = true
		return
	}
	timed, cancel := context.WithTimeout(ctx, remaining.Duration())
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
		Uint64("fencing", uint64(e.Order.Fencing)).Str("outcome", outcome).Msg("Upgrade order sent.")
}

func (k *Controller) read(ctx context.Context, e ReadState) {
	timed, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, err := k.options.Engines.ReadState(timed, e.Server)
	k.post(ctx, StateResult{Backend: e.Server.ID, Model: e.Model, State: state, Failed: err != nil})
}

func (k *Controller) post(ctx context.Context, e Event) {
	select {
	case k.results <- e:
	case <-ctx.Done():
	}
}
