package wasabimember

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
)

const (
	tick = 50 * time.Millisecond
	// inboxSize bounds the events that wait for the machine. When it is full,
	// heartbeats of others are refused and answers dropped, as if the network
	// had lost them; everything else waits.
	inboxSize = 256
	// outboxSize bounds the heartbeats that are under way. When it is full,
	// further ones are dropped, as if the network had lost them.
	outboxSize = 64
	// exchangeTimeout bounds the wait for an answer. It lies above the time
	// between distant regions and above one retransmission.
	exchangeTimeout = 900 * time.Millisecond
	// listInterval is the time between two reads of the platform's list, and
	// listRetry the time after the first read that failed.
	listInterval = 10 * time.Second
	listRetry    = 500 * time.Millisecond
	// refreshInterval is how old the published members may be in what does
	// not concern who is alive, such as their configuration.
	refreshInterval = wasabiridge.Second
)

// KeeperOptions set up a Keeper.
type KeeperOptions struct {
	Self        wasabiridge.InstanceEntry
	Incarnation wasabiridge.Incarnation
	// Seed makes the random choices differ between instances.
	Seed  uint64
	Clock wasabiridge.Clock
	// List is the platform's list. Nil means that there is none.
	List  wasabiridge.InstanceList
	Peers wasabiridge.PeerClient
	Log   zerolog.Logger
	// Recorder takes the time line. Nil means none.
	Recorder wasabiridge.Recorder
	// OnHeard is called for each heartbeat of another instance. The member's
	// Config is in force there and can be fetched at its PeerAddress.
	OnHeard func(m wasabiridge.Member)
	// OnBackendsLeaving is called once for each leaving backend server of
	// which another instance tells.
	OnBackendsLeaving func(backends []wasabiridge.BackendServerID)
	// HybridNow tells the time that goes into heartbeats, and ObserveHybrid
	// takes that of others, for the order of the time line. Nil means none.
	HybridNow     func() wasabiridge.Millis
	ObserveHybrid func(at wasabiridge.Millis)
}

// Keeper drives a Machine with a clock, the platform's list and the peers. It
// is safe for concurrent use. The callbacks of its options are called by its
// own goroutine and must not block.
type Keeper struct {
	options KeeperOptions
	machine *Machine
	summary Summary
	inbox   chan delivery
	outbox  chan struct{}
	// done is closed when Run ends, so that nobody waits at a full inbox.
	done     chan struct{}
	view     atomic.Pointer[view]
	refusals atomic.Uint64
	losses   atomic.Uint64
}

// view is what the keeper publishes.
type view struct {
	alive, members []wasabiridge.Member
	at             wasabiridge.Millis
}

// delivery is an event for the machine and where its Reply goes.
type delivery struct {
	event Event
	reply chan wasabiridge.Heartbeat
}

// NewKeeper returns a keeper that knows its own instance only. Run starts it.
func NewKeeper(o KeeperOptions) *Keeper {
	k := &Keeper{
		options: o,
		machine: New(o.Clock.Now(), Options{Self: o.Self, Incarnation: o.Incarnation, Seed: o.Seed}),
		inbox:   make(chan delivery, inboxSize),
		outbox:  make(chan struct{}, outboxSize),
		done:    make(chan struct{}),
	}
	k.publish(o.Clock.Now())
	return k
}

// Run drives the machine until the context ends. It is called once.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.done)
	if k.options.List != nil {
		go k.readList(ctx)
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.handle(ctx, delivery{event: Ticked{}})
		case d := <-k.inbox:
			k.handle(ctx, d)
		}
	}
}

func (k *Keeper) handle(ctx context.Context, d delivery) {
	now := k.options.Clock.Now()
	changed := now-k.view.Load().at >= refreshInterval
	for _, e := range k.machine.Handle(now, d.event) {
		switch e := e.(type) {
		case Exchange:
			k.exchange(ctx, e)
		case Reply:
			d.reply <- k.stamp(e.Heartbeat)
		case Changed:
			changed = true
			k.record(now, e.Member)
		case Heard:
			if k.options.OnHeard != nil {
				k.options.OnHeard(e.Member)
			}
		case BackendsLeaving:
			if k.options.OnBackendsLeaving != nil {
				k.options.OnBackendsLeaving(e.Backends)
			}
		}
	}
	if changed {
		k.publish(now)
	}
	k.summary.Write(now, k.options.Log, len(k.view.Load().members))
}

func (k *Keeper) publish(now wasabiridge.Millis) {
	k.view.Store(&view{alive: k.machine.Alive(), members: k.machine.Members(), at: now})
}

func (k *Keeper) stamp(h wasabiridge.Heartbeat) wasabiridge.Heartbeat {
	if k.options.HybridNow != nil {
		h.SentAt = k.options.HybridNow()
	}
	return h
}

func (k *Keeper) observe(h wasabiridge.Heartbeat) {
	if k.options.ObserveHybrid != nil && h.SentAt != 0 {
		k.options.ObserveHybrid(h.SentAt)
	}
}

func (k *Keeper) record(now wasabiridge.Millis, m wasabiridge.Member) {
	k.summary.Add(now, m)
	if k.options.Recorder == nil {
		return
	}
	k.options.Recorder.Record(wasabiridge.TimelineEvent{
		Instance: k.options.Self.ID, Kind: wasabiridge.EventMemberChanged,
		Cause: string(m.ID) + " " + stateOf(m), Value: int64(m.Sequence),
	})
}

// exchange sends a heartbeat. An answer comes back as an event; a failure
// needs none.
func (k *Keeper) exchange(ctx context.Context, e Exchange) {
	select {
	case k.outbox <- struct{}{}:
	default:
		k.losses.Add(1)
		return
	}
	h := k.stamp(e.Heartbeat)
	go func() {
		defer func() { <-k.outbox }()
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		var answer wasabiridge.Heartbeat
		var err error
		if answer, err = k.options.Peers.Exchange(ctx, e.Address, h); err != nil {
			k.options.Log.Debug().Err(err).Str("member", string(e.To)).Msg("No answer.")
			return
		}
		k.observe(answer)
		select {
		case k.inbox <- delivery{event: Answered{Heartbeat: answer}}:
		default:
			k.losses.Add(1)
		}
	}()
}

// HandleExchange answers a heartbeat of another instance.
func (k *Keeper) HandleExchange(ctx context.Context, h wasabiridge.Heartbeat) (wasabiridge.Heartbeat, error) {
	k.observe(h)
	d := delivery{event: Asked{Heartbeat: h}, reply: make(chan wasabiridge.Heartbeat, 1)}
	select {
	case k.inbox <- d:
	default:
		k.refusals.Add(1)
		return wasabiridge.Heartbeat{}, wasabiridge.ErrUnavailable.New("member: too many events wait")
	}
	select {
	case answer := <-d.reply:
		return answer, nil
	case <-ctx.Done():
		return wasabiridge.Heartbeat{}, wasabiridge.ErrUnavailable.Wrap(ctx.Err(), "member: no time to answer")
	}
}

// readList hands the platform's list to the machine, again and again. While
// the platform is down the last list stays.
func (k *Keeper) readList(ctx context.Context) {
	wait := listRetry
	for {
		var entries []wasabiridge.InstanceEntry
		var err error
		if entries, err = k.options.List.Instances(ctx); err != nil {
			k.options.Log.Warn().Err(err).Msg("The list of instances could not be read.")
			wait = min(2*wait, listInterval)
		} else {
			wait = listInterval
			k.post(ctx, Listed{Entries: entries})
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (k *Keeper) post(ctx context.Context, e Event) {
	select {
	case k.inbox <- delivery{event: e}:
	case <-ctx.Done():
	case <-k.done:
	}
}

// Alive returns the instances, with this one, that callers may be sent to:
// those that were heard of, are not given up and are not leaving. The slice
// must not be written to.
func (k *Keeper) Alive() []wasabiridge.Member { return k.view.Load().alive }

// Members returns the other instances that are not given up, leaving ones too.
// The slice must not be written to.
func (k *Keeper) Members() []wasabiridge.Member { return k.view.Load().members }

// Locate returns the peer address of an instance. It reports false when the
// instance is not known to be alive.
func (k *Keeper) Locate(id wasabiridge.InstanceID) (string, bool) {
	for _, m := range k.Members() {
		if m.ID == id {
			return m.PeerAddress, true
		}
	}
	return "", false
}

// Lost counts heartbeats that were dropped here because too many waited.
func (k *Keeper) Lost() uint64 { return k.refusals.Load() + k.losses.Load() }

// Leave tells all members that this instance is leaving.
func (k *Keeper) Leave(ctx context.Context) { k.post(ctx, LeaveStarted{}) }

// SetConfig tells which version of the configuration is in force here.
func (k *Keeper) SetConfig(v wasabiridge.ConfigVersion) {
	k.post(context.Background(), ConfigInForce{Version: v})
}

// LeavingBackends tells all members of backend servers that are leaving.
func (k *Keeper) LeavingBackends(backends ...wasabiridge.BackendServerID) {
	k.post(context.Background(), BackendsLeft{Backends: backends})
}

// Announce exchanges heartbeats with up to n random members at once, within
// the allowance. It does not wait for them.
func (k *Keeper) Announce(n int) {
	k.post(context.Background(), AnnounceWanted{Count: n})
}
