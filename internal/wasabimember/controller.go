package wasabimember

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

const (
	tickInterval = 50 * time.Millisecond
	// idleInterval is the same while no member is being probed and no update waits to be sent.
	idleInterval = 125 * time.Millisecond
	// inboxSize bounds the events that wait for the machine. When the inbox is
	// full, heartbeats of other instances are refused and responses are
	// dropped, as if the network had lost them; all other events block their
	// sender.
	inboxSize = 256
	// outboxSize bounds the heartbeats in flight. Beyond it, heartbeats are
	// dropped, as if the network had lost them.
	outboxSize = 64
	// exchangeTimeout bounds the wait for a response. It is longer than a round
	// trip between distant regions and one retransmission.
	exchangeTimeout = 900 * time.Millisecond
	// listInterval is the time between two reads of the platform's list. Until
	// a first read succeeds, the wait doubles from listRetry up to
	// listInterval.
	listInterval = 10 * time.Second
	listRetry    = 500 * time.Millisecond
	// refreshInterval bounds the age of the published members in fields whose
	// changes emit no Changed, such as their configuration.
	refreshInterval = wasabiridge.Second
	// publishInterval is the shortest time between two publications of the members. Each
	// copies all of them, so that one for each change would take the square of the members
	// when hundreds start, or go, together.
	publishInterval = 40 * wasabiridge.Millis(1)
)

// ControllerOptions configures a Controller.
type ControllerOptions struct {
	Self        wasabiridge.InstanceEntry
	Incarnation wasabiridge.Incarnation
	// Seed makes the random choices differ between instances.
	Seed  uint64
	Clock wasabiridge.Clock
	// List is the platform's list. Nil means that there is none.
	List  wasabiridge.InstanceList
	Peers wasabiridge.PeerClient
	Log   zerolog.Logger
	// Recorder receives timeline events. Nil means that none are recorded.
	Recorder wasabiridge.Recorder
	// OnReceive is called for each heartbeat that comes from another instance
	// itself. The member's Config is in force there and can be fetched at its
	// PeerAddress.
	OnReceive func(m wasabiridge.Member)
	// OnBackendsLeaving is called with backend servers that, according to
	// another instance, are leaving. Each of them is passed once.
	OnBackendsLeaving func(backends []wasabiridge.BackendServerID)
	// HybridNow returns the hybrid timestamp for outgoing heartbeats, and
	// ObserveHybrid receives the timestamps of incoming ones. Both serve the
	// order of the timeline; nil turns them off.
	HybridNow     func() wasabiridge.Millis
	ObserveHybrid func(at wasabiridge.Millis)
}

// Controller runs a Machine with a clock, the platform's list and a peer client. It
// is safe for concurrent use. The callbacks in its options must not block. They
// are called from the goroutine of Run, except ObserveHybrid, which may be
// called from any goroutine.
type Controller struct {
	options ControllerOptions
	machine *Machine
	summary Summary
	inbox   chan delivery
	outbox  chan struct{}
	// done is closed when Run ends, so that no sender blocks on a full inbox.
	done     chan struct{}
	snapshot atomic.Pointer[snapshot]
	// unpublished is set while a change has not been published. It belongs to the goroutine
	// of Run.
	unpublished bool
	refused     atomic.Uint64
	dropped     atomic.Uint64
}

// snapshot is the published snapshot of the members.
type snapshot struct {
	alive, members []wasabiridge.Member
	at             wasabiridge.Millis
}

// delivery is an event for the machine and the channel for its Reply, nil for
// events without one.
type delivery struct {
	event Event
	reply chan wasabiridge.Heartbeat
}

// NewController returns a controller whose view contains its own instance only. Run
// starts it.
func NewController(o ControllerOptions) *Controller {
	k := &Controller{
		options: o,
		machine: New(o.Clock.Now(), Options{Self: o.Self, Incarnation: o.Incarnation, Seed: o.Seed}),
		inbox:   make(chan delivery, inboxSize),
		outbox:  make(chan struct{}, outboxSize),
		done:    make(chan struct{}),
	}
	k.publish(o.Clock.Now())
	return k
}

// Run feeds events to the machine until the context ends. It must be called
// once only.
func (k *Controller) Run(ctx context.Context) {
	defer close(k.done)
	if k.options.List != nil {
		go k.readList(ctx)
	}
	ticker := wasabipulse.New(tickInterval)
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
		ticker.Next(k.tickInterval())
	}
}

// tickInterval returns the time until the next tick at most. A tick more would do no harm, but
// wake the process.
func (k *Controller) tickInterval() time.Duration {
	if k.unpublished || k.machine.IsBusy() {
		return tickInterval
	}
	return idleInterval
}

func (k *Controller) handle(ctx context.Context, d delivery) {
	now := k.options.Clock.Now()
	sincePublished := now - k.snapshot.Load().at
	changed := sincePublished >= refreshInterval || k.unpublished
	for _, e := range k.machine.Handle(now, d.event) {
		switch e := e.(type) {
		case Exchange:
			k.exchange(ctx, e)
		case Reply:
			d.reply <- k.addTimestamp(e.Heartbeat)
		case Changed:
			changed = true
			k.record(now, e.Member)
		case MemberReceived:
			if k.options.OnReceive != nil {
				k.options.OnReceive(e.Member)
			}
		case BackendsLeaving:
			if k.options.OnBackendsLeaving != nil {
				k.options.OnBackendsLeaving(e.Backends)
			}
		}
	}
	if k.unpublished = changed && sincePublished < publishInterval; changed && !k.unpublished {
		k.publish(now)
	}
	k.summary.Write(now, k.options.Log, len(k.snapshot.Load().members))
}

func (k *Controller) publish(now wasabiridge.Millis) {
	k.snapshot.Store(&snapshot{alive: k.machine.Alive(), members: k.machine.Members(), at: now})
}

func (k *Controller) addTimestamp(h wasabiridge.Heartbeat) wasabiridge.Heartbeat {
	if k.options.HybridNow != nil {
		h.SentAt = k.options.HybridNow()
	}
	return h
}

func (k *Controller) observeTimestamp(h wasabiridge.Heartbeat) {
	if k.options.ObserveHybrid != nil && h.SentAt != 0 {
		k.options.ObserveHybrid(h.SentAt)
	}
}

func (k *Controller) record(now wasabiridge.Millis, m wasabiridge.Member) {
	k.summary.Add(now, m)
	if k.options.Recorder == nil {
		return
	}
	k.options.Recorder.Record(wasabiridge.TimelineEvent{
		Instance: k.options.Self.ID, Kind: wasabiridge.EventMemberChanged,
		Cause: string(m.ID) + " " + stateOf(m), Value: int64(m.Sequence),
	})
}

// exchange sends a heartbeat in a new goroutine. The response is posted as an
// event; a failure needs none.
func (k *Controller) exchange(ctx context.Context, e Exchange) {
	select {
	case k.outbox <- struct{}{}:
	default:
		k.dropped.Add(1)
		return
	}
	h := k.addTimestamp(e.Heartbeat)
	go func() {
		defer func() { <-k.outbox }()
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		var answer wasabiridge.Heartbeat
		var err error
		if answer, err = k.options.Peers.Exchange(ctx, e.Address, h); err != nil {
			k.options.Log.Debug().Err(err).Str("member", string(e.To)).Msg("A member did not respond to a heartbeat.")
			return
		}
		k.observeTimestamp(answer)
		select {
		case k.inbox <- delivery{event: ResponseReceived{Heartbeat: answer}}:
		default:
			k.dropped.Add(1)
		}
	}()
}

// HandleExchange responds to a heartbeat of another instance. It reports
// wasabiridge.ErrUnavailable when the inbox is full or when the context ends
// before the machine has handled the heartbeat.
func (k *Controller) HandleExchange(ctx context.Context, h wasabiridge.Heartbeat) (wasabiridge.Heartbeat, error) {
	k.observeTimestamp(h)
	d := delivery{event: HeartbeatReceived{Heartbeat: h}, reply: make(chan wasabiridge.Heartbeat, 1)}
	select {
	case k.inbox <- d:
	default:
		k.refused.Add(1)
		return wasabiridge.Heartbeat{}, wasabiridge.ErrUnavailable.New("member: heartbeat refused, the event queue is full")
	}
	select {
	case answer := <-d.reply:
		return answer, nil
	case <-ctx.Done():
		return wasabiridge.Heartbeat{}, wasabiridge.ErrUnavailable.Wrap(ctx.Err(), "member: context ended before the heartbeat was handled")
	}
}

// readList polls the platform's list for the machine until the context ends.
// While the platform is down, the last list stays in use.
func (k *Controller) readList(ctx context.Context) {
	wait := listRetry
	for {
		var entries []wasabiridge.InstanceEntry
		var err error
		if entries, err = k.options.List.Instances(ctx); err != nil {
			k.options.Log.Warn().Err(err).Msg("Could not read the platform's list of instances.")
			wait = min(2*wait, listInterval)
		} else {
			wait = listInterval
			k.post(ctx, ListRead{Entries: entries})
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (k *Controller) post(ctx context.Context, e Event) {
	select {
	case k.inbox <- delivery{event: e}:
	case <-ctx.Done():
	case <-k.done:
	}
}

// Alive returns the instances that callers may be sent to, including this one:
// those that have sent a heartbeat or were reported alive, are not dead and are
// not leaving. The slice must not be modified.
func (k *Controller) Alive() []wasabiridge.Member { return k.snapshot.Load().alive }

// Members returns the other instances that are not dead, including those that
// are leaving. The slice must not be modified.
func (k *Controller) Members() []wasabiridge.Member { return k.snapshot.Load().members }

// PeerAddress returns the peer address of an instance, and false when the instance
// is not among Members.
func (k *Controller) PeerAddress(id wasabiridge.InstanceID) (string, bool) {
	for _, m := range k.Members() {
		if m.ID == id {
			return m.PeerAddress, true
		}
	}
	return "", false
}

// Dropped counts heartbeats and responses that were dropped at this instance
// because its inbox or outbox was full.
func (k *Controller) Dropped() uint64 { return k.refused.Load() + k.dropped.Load() }

// Leave announces to all members that this instance is leaving.
func (k *Controller) Leave(ctx context.Context) { k.post(ctx, LeaveStarted{}) }

// SetDetached announces to all members whether this instance has no path to any backend
// server.
func (k *Controller) SetDetached(detached bool) {
	k.post(context.Background(), DetachedChanged{Detached: detached})
}

// SetStrained announces to all members whether this instance has no headroom.
func (k *Controller) SetStrained(strained bool) {
	k.post(context.Background(), StrainedChanged{Strained: strained})
}

// SetConfig sets the version of the configuration in force at this instance,
// which heartbeats carry.
func (k *Controller) SetConfig(v wasabiridge.ConfigVersion) {
	k.post(context.Background(), ConfigChanged{Version: v})
}

// LeavingBackends announces to all members backend servers that are leaving.
func (k *Controller) LeavingBackends(backends ...wasabiridge.BackendServerID) {
	k.post(context.Background(), BackendsLeft{Backends: backends})
}

// Announce sends heartbeats to up to n random members at once, within the token
// bucket for out-of-schedule heartbeats. It does not wait for the responses.
func (k *Controller) Announce(n int) {
	k.post(context.Background(), AnnounceRequested{Count: n})
}
