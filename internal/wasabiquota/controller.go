package wasabiquota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiending"
	"github.com/wasabiridge/wasabiridge/internal/wasabifanout"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

const (
	// pollInterval is how often the controller checks whether updates are due.
	pollInterval = 100 * time.Millisecond
	// unlimitedInterval is the same while no account has a limit.
	unlimitedInterval = 250 * time.Millisecond
	// probeInterval is the shortest time between two checks whether the process of a silent
	// instance has ended.
	probeInterval = wasabiridge.Second
	// sendTimeout bounds sending an update to one instance.
	sendTimeout = 500 * time.Millisecond
)

// ControllerOptions are the dependencies and settings of a Controller. Clock is required.
type ControllerOptions struct {
	Self        wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	// Clock keeps running while the process is suspended.
	Clock wasabiridge.Clock
	Log   zerolog.Logger
	// Members returns the other running instances, Active the instances that callers are
	// routed to. A nil Members means that there are no other instances, a nil Active that
	// callers are routed to all members.
	Members func() []wasabiridge.Member
	Active  func() []wasabiridge.InstanceEntry
	// Send sends an update to the instance at an address. Nil means that there are no
	// other instances.
	Send func(ctx context.Context, address string, n wasabiridge.StateUpdate) error
	// Rows stores which instances own a share of the limits. Nil means that this is not
	// stored.
	Rows wasabiridge.Table
	// Epoch returns the newest known epoch of the store. Nil means that it has none.
	Epoch func() wasabiridge.StoreEpoch
}

// Controller connects a Table to the other instances, to the platform's table and to
// the log. It is safe for concurrent use.
type Controller struct {
	options ControllerOptions
	table   *Table
	loop    *wasabiloop.Loop
	endings wasabiending.Checker

	mu sync.Mutex
	// answered holds the instances whose answers have not been passed to the table yet.
	answered map[wasabiridge.InstanceID]bool
	// addresses holds the peer addresses of all instances that have ever been active or
	// members.
	addresses map[wasabiridge.InstanceID]string
	// active and knownCount are the last values passed to the table.
	active     []wasabiridge.InstanceID
	knownCount int
	// members is the list from which addresses were taken last.
	members []wasabiridge.Member
	// ownersRead says that the stored owners have been requested. ownersWritten is the last
	// list written, at ownersWrittenAt in ownersEpoch. Only Run uses these fields.
	ownersRead      bool
	ownersWritten   []wasabiridge.InstanceID
	ownersEpoch     wasabiridge.StoreEpoch
	ownersWrittenAt wasabiridge.Millis
	// ownersWriteFailed is set by a write that failed.
	ownersWriteFailed atomic.Bool
	// loggedOwners is the last ownership logged, at loggedAt. Only Run uses these fields.
	loggedOwners Owners
	loggedAt     wasabiridge.Millis
	// probedAt is when each silent instance was last probed. Only Run uses it.
	probedAt map[wasabiridge.InstanceID]wasabiridge.Millis
}

// NewController returns a controller whose table has no limits yet.
func NewController(o ControllerOptions) *Controller {
	return &Controller{
		options: o, answered: map[wasabiridge.InstanceID]bool{}, addresses: map[wasabiridge.InstanceID]string{},
		probedAt: map[wasabiridge.InstanceID]wasabiridge.Millis{},
		table:    New(Options{Self: o.Self, Incarnation: o.Incarnation, Started: o.Clock.Now(), Alone: o.Send == nil}),
	}
}

// Table returns the quota table. It may be used only in the loop that is given to
// SetLoop.
func (k *Controller) Table() *Table { return k.table }

// SetLoop sets the loop that owns the table. It must be called once, before any other
// method but Table.
func (k *Controller) SetLoop(l *wasabiloop.Loop) { k.loop = l }

// Run sends updates to the other instances and logs refusals, until the context ends. It
// must be called only once.
func (k *Controller) Run(ctx context.Context) {
	ticker := wasabipulse.New(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			interval := pollInterval
			if !k.poll(ctx) {
				interval = unlimitedInterval
			}
			ticker.Next(interval)
		case <-ctx.Done():
			return
		}
	}
}

// poll does what is due. It reports whether any account has a limit.
func (k *Controller) poll(ctx context.Context) bool {
	k.updateActive()
	var update wasabiridge.StateUpdate
	var refusals []Refusal
	var silent, unconfirmed, snapshotTargets, owners []wasabiridge.InstanceID
	limited := false
	var hello, snapshot wasabiridge.StateUpdate
	var ownership Owners
	k.loop.Inspect(func() {
		now := k.options.Clock.Now()
		k.Add(now, &update)
		refusals, silent = k.table.TakeRefusals(), k.table.Unresponsive(now)
		owners, limited = k.table.Owners(now), k.table.IsLimiting()
		ownership = k.table.Ownership(now)
		unconfirmed, hello = k.table.HelloTargets(now), k.table.Hello(now)
		if snapshotTargets = k.table.SnapshotTargets(); len(snapshotTargets) > 0 {
			snapshot = k.table.LevelSnapshot(now)
		}
	})
	k.Send(ctx, update, nil)
	k.sendEach(ctx, unconfirmed, hello)
	k.sendEach(ctx, snapshotTargets, snapshot)
	for _, n := range refusals {
		k.logRefusal(n)
	}
	if limited {
		k.logOwners(ownership, silent)
	}
	k.probeAll(ctx, silent)
	k.syncOwners(ctx, limited, owners)
	return limited
}

// probeAll checks whether silent instances have ended, each at most once per probeInterval.
func (k *Controller) probeAll(ctx context.Context, silent []wasabiridge.InstanceID) {
	now := k.options.Clock.Now()
	maps.DeleteFunc(k.probedAt, func(_ wasabiridge.InstanceID, at wasabiridge.Millis) bool { return now-at >= probeInterval })
	for _, id := range silent {
		if _, lately := k.probedAt[id]; !lately {
			k.probedAt[id] = now
			go k.probe(ctx, id)
		}
	}
}

// updateActive passes to the table which instances callers are routed to, and how many
// instances there are.
func (k *Controller) updateActive() {
	var members []wasabiridge.Member
	if k.options.Members != nil {
		members = k.options.Members()
	}
	count := 1 + len(members)
	if len(members) != len(k.members) || len(members) > 0 && &members[0] != &k.members[0] {
		k.members = members
		k.mu.Lock()
		for _, m := range members {
			k.addresses[m.ID] = m.PeerAddress
		}
		k.mu.Unlock()
	}
	var entries []wasabiridge.InstanceEntry
	if k.options.Active == nil {
		for _, m := range members {
			entries = append(entries, m.InstanceEntry)
		}
	}
	if k.options.Active != nil {
		entries = k.options.Active()
	} else {
		entries = append(entries, wasabiridge.InstanceEntry{ID: k.options.Self})
	}
	var active []wasabiridge.InstanceID
	for _, e := range entries {
		if e.ID == k.options.Self || e.PeerAddress != "" {
			active = append(active, e.ID)
		}
	}
	slices.Sort(active)
	if (!slices.Equal(active, k.active) || count != k.knownCount) && k.loop.TryPost(wasabiridge.ActiveKnown{Instances: active, Known: count}) {
		k.active, k.knownCount = active, count
	}
}

// Add adds what the other instances need to know of the limits to an update, if the update
// is sent anyway or one on the limits is due. It must be called in the goroutine of the
// loop.
func (k *Controller) Add(now wasabiridge.Millis, update *wasabiridge.StateUpdate) {
	k.mu.Lock()
	for id := range k.answered {
		k.table.Observe(now, wasabiridge.PeerReachable{From: id})
	}
	clear(k.answered)
	k.mu.Unlock()
	if len(update.Loads) == 0 && len(update.Segments) == 0 && !k.table.IsDue(now) {
		return
	}
	own := k.table.TakeUpdate(now)
	if len(own.Usage) == 0 {
		return
	}
	update.Usage, update.Incarnation, update.Sequence, update.Share = own.Usage, own.Incarnation, own.Sequence, own.Share
	update.OwnersEpoch, update.OwnersDigest = own.OwnersEpoch, own.OwnersDigest
	for _, id := range k.table.Peers() {
		k.table.Observe(now, wasabiridge.PeerUpdateSent{To: id})
	}
}

// Send sends an update in full to some instances, and its part on the limits to all other
// instances that own a share of them. It does not wait for answers.
func (k *Controller) Send(ctx context.Context, update wasabiridge.StateUpdate, full []wasabifanout.Target) {
	if k.options.Send == nil {
		return
	}
	update.From = k.options.Self
	sent := map[wasabiridge.InstanceID]bool{k.options.Self: true}
	for _, t := range full {
		if t.Entry.PeerAddress != "" && !sent[t.Entry.ID] {
			sent[t.Entry.ID] = true
			update.PassOn = t.PassOn
			go k.sendOne(ctx, t.Entry.ID, t.Entry.PeerAddress, update)
		}
	}
	update.PassOn = false
	if len(update.Usage) == 0 {
		return
	}
	update.Loads, update.Segments, update.Leaving, update.Demands, update.Numberings = nil, nil, nil, nil, nil
	var others []wasabiridge.InstanceID
	k.loop.Inspect(func() { others = k.table.Peers() })
	others = slices.DeleteFunc(others, func(id wasabiridge.InstanceID) bool { return sent[id] })
	k.sendEach(ctx, others, update)
}

func (k *Controller) sendEach(ctx context.Context, to []wasabiridge.InstanceID, update wasabiridge.StateUpdate) {
	for _, id := range to {
		if address := k.addressOf(id); address != "" && k.options.Send != nil {
			go k.sendOne(ctx, id, address, update)
		}
	}
}

func (k *Controller) addressOf(id wasabiridge.InstanceID) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.addresses[id]
}

func (k *Controller) sendOne(ctx context.Context, id wasabiridge.InstanceID, address string, update wasabiridge.StateUpdate) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := k.options.Send(ctx, address, update); err != nil {
		k.options.Log.Debug().Err(err).Str("member", string(id)).Msg("Update not delivered.")
		return
	}
	k.noteAnswer(id)
}

// noteAnswer records that an instance has answered.
func (k *Controller) noteAnswer(id wasabiridge.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.answered[id] = true
}

// Receive takes an update received from another instance. Its part on the limits is
// dropped while the loop's queue is full; the sender repeats it.
func (k *Controller) Receive(n wasabiridge.StateUpdate) {
	k.noteAnswer(n.From)
	if n.Incarnation > 0 {
		k.loop.TryPost(n.UsageReceived())
	}
}

// probe checks whether the process of a silent instance has ended. If so, it cannot spend
// anything any more and its share of the limits is free.
func (k *Controller) probe(ctx context.Context, id wasabiridge.InstanceID) {
	if address := k.addressOf(id); address != "" && k.endings.HasEnded(ctx, address) {
		k.options.Log.Info().Str("member", string(id)).Msg("Instance has ended; its share of the limits is free.")
		k.loop.TryPost(wasabiridge.PeerEnded{ID: id})
	}
}

// Snapshot is the state of the limits at one moment.
type Snapshot struct {
	// Entries holds all accounts with a limit.
	Entries []Entry
	// UsableShare is the share of every limit that this instance can use.
	UsableShare float64
	Owners      Owners
	Counts      Counts
	// UsageHistogram is a histogram of admitted requests by the used part of their
	// account's burst, in equal bins from none to all of it.
	UsageHistogram []uint64
}

// Snapshot returns the current state of the limits.
func (k *Controller) Snapshot() Snapshot {
	var s Snapshot
	k.loop.Inspect(func() {
		now := k.options.Clock.Now()
		s = Snapshot{Entries: k.table.Entries(now), UsableShare: k.table.UsableShare(now), Owners: k.table.Ownership(now), Counts: k.table.Counts(), UsageHistogram: k.table.UsageHistogram()}
	})
	return s
}
