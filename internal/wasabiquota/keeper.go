package wasabiquota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiending"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
)

const (
	// lookEvery is how often it is looked whether the others should be told.
	lookEvery = 100 * time.Millisecond
	// probeEvery is how often it is looked whether a silent instance has ended.
	probeEvery = wasabiridge.Second
	// tellTimeout bounds handing news to one instance.
	tellTimeout = 500 * time.Millisecond
)

// KeeperOptions are the parts of a Keeper. Clock is needed.
type KeeperOptions struct {
	Self        wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	// Clock goes on while the process is suspended.
	Clock wasabiridge.Clock
	Log   zerolog.Logger
	// Members returns the other living instances, Active those that callers are sent to.
	// Nil means none, and all members.
	Members func() []wasabiridge.Member
	Active  func() []wasabiridge.InstanceEntry
	// Tell hands news to the instance at an address. Nil means that there are no others.
	Tell func(ctx context.Context, address string, n wasabiridge.News) error
	// Rows is where it is kept which instances own a part of the limits. Nil means that it
	// is not kept.
	Rows wasabiridge.Table
}

// Keeper joins a Table to the other instances and to the log. It is safe for concurrent
// use.
type Keeper struct {
	options KeeperOptions
	table   *Table
	loop    *wasabiloop.Loop
	endings wasabiending.Checker

	mu sync.Mutex
	// answered are the instances that have answered and of which the table does not know.
	answered map[wasabiridge.InstanceID]bool
	// addresses are those of all instances that were ever active or members.
	addresses map[wasabiridge.InstanceID]string
	// active and known are what the table was last told.
	active []wasabiridge.InstanceID
	known  int
	// read says that the row of the owners was asked for, written what was last written, at
	// writtenAt. They belong to Run.
	read      bool
	written   []wasabiridge.InstanceID
	writtenAt wasabiridge.Millis
	// owners is what was last logged of the owners, at ownersAt. They belong to Run.
	owners   Owners
	ownersAt wasabiridge.Millis
	// probed is when silent instances were last looked at. It belongs to Run.
	probed map[wasabiridge.InstanceID]wasabiridge.Millis
}

// NewKeeper returns a keeper with a table that knows no limits.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{
		options: o, answered: map[wasabiridge.InstanceID]bool{}, addresses: map[wasabiridge.InstanceID]string{},
		probed: map[wasabiridge.InstanceID]wasabiridge.Millis{},
		table:  New(Options{Self: o.Self, Life: o.Incarnation, Started: o.Clock.Now(), Alone: o.Tell == nil}),
	}
}

// Table returns the table for the decisions. It belongs to the loop that Join is given.
func (k *Keeper) Table() *Table { return k.table }

// Join names the loop that owns the table. It is called once, before anything else.
func (k *Keeper) Join(l *wasabiloop.Loop) { k.loop = l }

// Run tells the other instances what runs here, and logs refusals, until the context
// ends. It is called once.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.look(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) look(ctx context.Context) {
	k.followActive()
	var news wasabiridge.News
	var notes []Note
	var silent, strangers, newcomers, owners []wasabiridge.InstanceID
	limited := false
	var hello, all wasabiridge.News
	var ownership Owners
	k.loop.Inspect(func() {
		now := k.options.Clock.Now()
		k.Add(now, &news)
		notes, silent = k.table.TakeNotes(), k.table.Silent(now)
		owners, limited = k.table.Owners(now), k.table.IsLimiting()
		ownership = k.table.Ownership(now)
		strangers, hello = k.table.Strangers(now), k.table.Hello(now)
		if newcomers = k.table.Newcomers(); len(newcomers) > 0 {
			all = k.table.All(now)
		}
	})
	k.Tell(ctx, news, nil)
	k.tellEach(ctx, strangers, hello)
	k.tellEach(ctx, newcomers, all)
	for _, n := range notes {
		k.log(n)
	}
	if limited {
		k.logOwners(ownership, silent)
	}
	k.probeAll(ctx, silent)
	k.keepOwners(ctx, limited, owners)
}

// probeAll looks whether silent instances have ended, each once in a while.
func (k *Keeper) probeAll(ctx context.Context, silent []wasabiridge.InstanceID) {
	now := k.options.Clock.Now()
	maps.DeleteFunc(k.probed, func(_ wasabiridge.InstanceID, at wasabiridge.Millis) bool { return now-at >= probeEvery })
	for _, id := range silent {
		if _, lately := k.probed[id]; !lately {
			k.probed[id] = now
			go k.probe(ctx, id)
		}
	}
}

// followActive lets the table know which instances callers are sent to.
func (k *Keeper) followActive() {
	var entries []wasabiridge.InstanceEntry
	known := 1
	if k.options.Members != nil {
		for _, m := range k.options.Members() {
			entries = append(entries, m.InstanceEntry)
		}
	}
	known += len(entries)
	k.mu.Lock()
	for _, e := range entries {
		k.addresses[e.ID] = e.PeerAddress
	}
	k.mu.Unlock()
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
	if (!slices.Equal(active, k.active) || known != k.known) && k.loop.Observe(wasabiridge.ActiveKnown{Instances: active, Known: known}) {
		k.active, k.known = active, known
	}
}

// Add adds what the other instances should be told of the limits to news that go to them
// anyway, or that are due. The goroutine of the loop calls it.
func (k *Keeper) Add(now wasabiridge.Millis, news *wasabiridge.News) {
	k.mu.Lock()
	for id := range k.answered {
		k.table.Observe(now, wasabiridge.PeerHeard{From: id})
	}
	clear(k.answered)
	k.mu.Unlock()
	if len(news.Loads) == 0 && len(news.Parts) == 0 && !k.table.IsDue(now) {
		return
	}
	own := k.table.TakeNews(now)
	if len(own.Uses) == 0 {
		return
	}
	news.Uses, news.Life, news.Sequence, news.Part = own.Uses, own.Life, own.Sequence, own.Part
	news.Change, news.View = own.Change, own.View
	for _, id := range k.table.Others() {
		k.table.Observe(now, wasabiridge.PeerTold{To: id})
	}
}

// Tell hands news to some instances, and what it says of the limits to all others that
// own a part of them. It does not wait for them.
func (k *Keeper) Tell(ctx context.Context, news wasabiridge.News, whole []wasabiridge.InstanceEntry) {
	if k.options.Tell == nil {
		return
	}
	news.From = k.options.Self
	told := map[wasabiridge.InstanceID]bool{k.options.Self: true}
	for _, e := range whole {
		if e.PeerAddress != "" && !told[e.ID] {
			told[e.ID] = true
			go k.tellOne(ctx, e.ID, e.PeerAddress, news)
		}
	}
	if len(news.Uses) == 0 {
		return
	}
	news.Loads, news.Parts = nil, nil
	var others []wasabiridge.InstanceID
	k.loop.Inspect(func() { others = k.table.Others() })
	others = slices.DeleteFunc(others, func(id wasabiridge.InstanceID) bool { return told[id] })
	k.tellEach(ctx, others, news)
}

func (k *Keeper) tellEach(ctx context.Context, to []wasabiridge.InstanceID, news wasabiridge.News) {
	for _, id := range to {
		if address := k.addressOf(id); address != "" && k.options.Tell != nil {
			go k.tellOne(ctx, id, address, news)
		}
	}
}

func (k *Keeper) addressOf(id wasabiridge.InstanceID) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.addresses[id]
}

func (k *Keeper) tellOne(ctx context.Context, id wasabiridge.InstanceID, address string, news wasabiridge.News) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if err := k.options.Tell(ctx, address, news); err != nil {
		k.options.Log.Debug().Err(err).Str("member", string(id)).Msg("News not taken.")
		return
	}
	k.answer(id)
}

// answer notes that an instance has answered.
func (k *Keeper) answer(id wasabiridge.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.answered[id] = true
}

// Hear takes the news of another instance. Uses that find the loop full are lost, and
// told again.
func (k *Keeper) Hear(n wasabiridge.News) {
	k.answer(n.From)
	if n.Life > 0 {
		k.loop.Observe(n.UsesHeard())
	}
}

// probe looks whether the process of a silent instance has ended. Nothing runs there
// then, and its part of the limits is free.
func (k *Keeper) probe(ctx context.Context, id wasabiridge.InstanceID) {
	if address := k.addressOf(id); address != "" && k.endings.HasEnded(ctx, address) {
		k.options.Log.Info().Str("member", string(id)).Msg("Instance has ended; its part of the limits is free.")
		k.loop.Observe(wasabiridge.PeerEnded{ID: id})
	}
}

// Snapshot is what is known of the limits at one moment.
type Snapshot struct {
	// Entries are all accounts with a limit.
	Entries []Entry
	// Part is the part of every limit that can be used here.
	Part   float64
	Owners Owners
	Counts Counts
	// Use counts the requests that were let in by the used share of their account's
	// burst, in equal parts from none to all of it.
	Use []uint64
}

// Snapshot returns what is known.
func (k *Keeper) Snapshot() Snapshot {
	var s Snapshot
	k.loop.Inspect(func() {
		now := k.options.Clock.Now()
		s = Snapshot{Entries: k.table.Entries(now), Part: k.table.Part(now), Owners: k.table.Ownership(now), Counts: k.table.Counts(), Use: k.table.Use()}
	})
	return s
}
