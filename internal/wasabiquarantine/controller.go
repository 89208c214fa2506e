package wasabiquarantine

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

const (
	// batchDelay is how long changes are collected for one update: a server that ends had
	// many requests.
	batchDelay = 5 * time.Millisecond
	// repeatInterval is how often the known records are sent again.
	repeatInterval = 500 * time.Millisecond
	// sendAttempts is how often an update is sent to an instance that does not answer,
	// sendRetryDelay the delay between two attempts, sendTimeout the time-out of one
	// attempt.
	sendAttempts   = 6
	sendRetryDelay = 400 * time.Millisecond
	sendTimeout    = 400 * time.Millisecond
)

// ControllerOptions are the dependencies and settings of a Controller. Clock is required.
type ControllerOptions struct {
	Self        wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	Clock       wasabiridge.Clock
	Seed        uint64
	Log         zerolog.Logger
	// Members returns the other running instances, Active the instances that callers are
	// routed to. A nil Members means that there are no other instances, a nil Active that
	// callers are routed to all members.
	Members func() []wasabiridge.Member
	Active  func() []wasabiridge.InstanceEntry
	// Send sends an update to the instance at an address. Nil means that no updates are
	// sent.
	Send func(ctx context.Context, address string, n wasabiridge.StateUpdate) error
	// Rows stores blocks so that they survive a restart of all instances. Nil means that
	// they are not stored.
	Rows wasabiridge.Table
	// Epoch returns the newest known epoch of the store. Nil means that it has none.
	Epoch func() wasabiridge.StoreEpoch
}

// Controller connects a Table to the other instances, to the rows in which blocks are
// stored, and to the log. It is safe for concurrent use.
type Controller struct {
	options ControllerOptions
	table   *Table
	loop    *wasabiloop.Loop
	changed chan struct{}
	blocks  chan LogEvent
	// blocksEpoch is the epoch of the store in which the known blocks were last written.
	// Only Run uses it.
	blocksEpoch wasabiridge.StoreEpoch
}

// NewController returns a controller with an empty table.
func NewController(o ControllerOptions) *Controller {
	if o.Members == nil {
		o.Members = func() []wasabiridge.Member { return nil }
	}
	k := &Controller{options: o, changed: make(chan struct{}, 1), blocks: make(chan LogEvent, blockQueueSize)}
	k.table = New(Options{Self: o.Self, Seed: o.Seed, Changed: k.signalChange})
	return k
}

// Table returns the quarantine table. It may be used only in the loop that is given to
// SetLoop.
func (k *Controller) Table() *Table { return k.table }

// SetLoop sets the loop that owns the table. It must be called once, before any other
// method but Table.
func (k *Controller) SetLoop(l *wasabiloop.Loop) { k.loop = l }

// signalChange makes Run send and log what has changed.
func (k *Controller) signalChange() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Run sends updates to the other instances, stores blocks and logs decisions, until the
// context ends. It must be called only once.
func (k *Controller) Run(ctx context.Context) {
	if k.options.Rows != nil {
		go k.loadBlocks(ctx)
		go k.writeBlocks(ctx)
	}
	ticker := wasabipulse.New(repeatInterval)
	defer ticker.Stop()
	spread := NewRecipientSelector(k.options.Seed)
	for {
		select {
		case <-k.changed:
			time.Sleep(batchDelay)
			k.sendChanges(ctx)
		case <-ticker.C:
			k.sendRepeats(ctx, spread)
			k.restoreBlocks()
			ticker.Next(repeatInterval)
		case <-ctx.Done():
			return
		}
	}
}

// sendChanges sends, logs and stores what has changed.
func (k *Controller) sendChanges(ctx context.Context) {
	var updates Updates
	var events []LogEvent
	k.loop.Inspect(func() { updates, events = k.table.TakeUpdates(k.options.Clock.Now()), k.table.TakeLogEvents() })
	for _, note := range events {
		k.log(note)
		k.queueBlock(note)
	}
	k.send(ctx, k.active(), updates.Narrow)
	k.send(ctx, k.members(), updates.Wide)
	for _, c := range updates.Corrections {
		for _, m := range k.options.Members() {
			if m.ID == c.To {
				k.send(ctx, []wasabiridge.InstanceEntry{m.InstanceEntry}, c.Records)
			}
		}
	}
}

// sendRepeats sends the known records again to some instances.
func (k *Controller) sendRepeats(ctx context.Context, spread *RecipientSelector) {
	members := k.options.Members()
	var others []wasabiridge.InstanceID
	for _, m := range members {
		others = append(others, m.ID)
	}
	active := k.active()
	var activeIDs []wasabiridge.InstanceID
	for _, e := range active {
		activeIDs = append(activeIDs, e.ID)
	}
	one, all := spread.Targets(members, active)
	var updates Updates
	k.loop.Inspect(func() {
		k.table.SetMembers(others, activeIDs)
		updates = k.table.RepeatedUpdates(k.options.Clock.Now())
	})
	k.send(ctx, one, updates.Narrow)
	k.send(ctx, append(one, all...), updates.Wide)
}

// members returns the other instances that are not leaving.
func (k *Controller) members() []wasabiridge.InstanceEntry {
	var out []wasabiridge.InstanceEntry
	for _, m := range k.options.Members() {
		if !m.Leaving {
			out = append(out, m.InstanceEntry)
		}
	}
	return out
}

// active returns the other instances that callers are routed to.
func (k *Controller) active() []wasabiridge.InstanceEntry {
	if k.options.Active == nil {
		return k.members()
	}
	var out []wasabiridge.InstanceEntry
	for _, e := range k.options.Active() {
		if e.ID != k.options.Self {
			out = append(out, e)
		}
	}
	return out
}

// send sends an update to other instances, with retries until each has answered. It does
// not wait for them.
//
// The failure it guards against: a message is lost. Its receiver would send the request to
// further servers, or keep suspecting one that was answered elsewhere.
func (k *Controller) send(ctx context.Context, to []wasabiridge.InstanceEntry, crashes []wasabiridge.CrashUpdate) {
	if k.options.Send == nil || len(crashes) == 0 {
		return
	}
	update := wasabiridge.StateUpdate{From: k.options.Self, Crashes: crashes}
	for _, e := range to {
		if e.PeerAddress != "" {
			go k.sendOne(ctx, e.PeerAddress, update)
		}
	}
}

func (k *Controller) sendOne(ctx context.Context, address string, update wasabiridge.StateUpdate) {
	for range sendAttempts {
		timed, cancel := context.WithTimeout(ctx, sendTimeout)
		err := k.options.Send(timed, address, update)
		cancel()
		if err == nil {
			return
		}
		k.options.Log.Debug().Err(err).Str("address", address).Msg("Update not delivered.")
		select {
		case <-time.After(sendRetryDelay):
		case <-ctx.Done():
			return
		}
	}
}

// Receive takes an update received from another instance. It is dropped while the
// loop's queue is full; the sender repeats it.
func (k *Controller) Receive(n wasabiridge.StateUpdate) {
	if len(n.Crashes) > 0 {
		k.loop.TryPost(wasabiridge.CrashesReceived{From: n.From, Crashes: n.Crashes})
	}
}

// log logs a suspicion or a block, or that it was lifted.
func (k *Controller) log(note LogEvent) {
	m := note.Record
	line := k.options.Log.Info().Stringer("fingerprint", m.Fingerprint).Bool("prompt_part", m.Part).Str("account", string(m.Account)).Int("ends", len(m.Crashes)).
		Uint64("epoch", uint64(m.Epoch)).Str("from", string(note.From))
	if len(m.Crashes) > 0 {
		last := m.Crashes[len(m.Crashes)-1]
		line = line.Str(wasabilog.BackendField, string(last.Backend)).Int64("ran_ms", int64(last.RunTime)).Int64("age_ms", int64(last.Age))
	}
	switch note.Kind {
	case LogEventCrash:
		line.Msg("Server ended under a request.")
	case LogEventBlocked:
		var ended []string
		for _, e := range m.Crashes {
			ended = append(ended, string(e.Backend))
		}
		line.Strs("ended", ended).Int64("for_ms", int64(note.For)).Msg("Request blocked.")
	case LogEventTrial:
		line.Msg("Request with a blocked part is tried.")
	case LogEventLifted:
		line.Str("why", string(note.Why)).Msg("Suspicion or block of a request lifted.")
	}
}

// Snapshot returns the suspect and blocked requests, and totals since the start of the
// process.
func (k *Controller) Snapshot() (entries []Entry, counts Counts) {
	k.loop.Inspect(func() { entries, counts = k.table.Entries(k.options.Clock.Now()), k.table.Counts() })
	return entries, counts
}

// Release lifts the suspicion or block of a request, here and at all instances. It reports
// ErrNotFound if this instance has none against the request.
func (k *Controller) Release(f wasabiridge.Fingerprint) error {
	known := false
	k.loop.Inspect(func() { known = k.table.IsSuspect(f) })
	if !known {
		return wasabiridge.ErrNotFound.New("quarantine: request %s is neither suspect nor blocked at this instance", f)
	}
	k.loop.Post(wasabiridge.QuarantineReleased{Fingerprint: f})
	return nil
}
