package wasabiquarantine

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
)

const (
	// gatherDelay gathers what changes at about the same time into one message: a server
	// that ends had many requests.
	gatherDelay = 5 * time.Millisecond
	// repeatEvery is how often what is known is repeated.
	repeatEvery = 500 * time.Millisecond
	// tellTries is how often an instance is told that does not answer, tellAgain the time
	// in between, tellTimeout the time for one try.
	tellTries   = 6
	tellAgain   = 400 * time.Millisecond
	tellTimeout = 400 * time.Millisecond
)

// KeeperOptions are the parts of a Keeper. Clock is needed.
type KeeperOptions struct {
	Self        wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	Clock       wasabiridge.Clock
	Seed        uint64
	Log         zerolog.Logger
	// Members returns the other living instances, Active those that callers are sent to.
	// Nil means none, and all members.
	Members func() []wasabiridge.Member
	Active  func() []wasabiridge.InstanceEntry
	// Tell hands news to the instance at an address. Nil means that nobody is told.
	Tell func(ctx context.Context, address string, n wasabiridge.News) error
	// Rows is where bars outlast all instances. Nil means that they do not.
	Rows wasabiridge.Table
}

// Keeper joins a Table to the other instances, to the rows in which bars are kept, and to
// the log. It is safe for concurrent use.
type Keeper struct {
	options KeeperOptions
	table   *Table
	loop    *wasabiloop.Loop
	changed chan struct{}
	bars    chan Note
}

// NewKeeper returns a keeper with a table that knows nothing.
func NewKeeper(o KeeperOptions) *Keeper {
	if o.Members == nil {
		o.Members = func() []wasabiridge.Member { return nil }
	}
	k := &Keeper{options: o, changed: make(chan struct{}, 1), bars: make(chan Note, barsSize)}
	k.table = New(Options{Self: o.Self, Seed: o.Seed, Changed: k.wake})
	return k
}

// Table returns the table for the decisions. It belongs to the loop that Join is given.
func (k *Keeper) Table() *Table { return k.table }

// Join names the loop that owns the table. It is called once, before anything else.
func (k *Keeper) Join(l *wasabiloop.Loop) { k.loop = l }

// wake lets Run look at what has changed.
func (k *Keeper) wake() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Run tells the other instances what is known, keeps bars, and logs what was decided,
// until the context ends. It is called once.
func (k *Keeper) Run(ctx context.Context) {
	if k.options.Rows != nil {
		go k.readBars(ctx)
		go k.writeBars(ctx)
	}
	ticker := time.NewTicker(repeatEvery)
	defer ticker.Stop()
	spread := NewSpread(k.options.Seed)
	for {
		select {
		case <-k.changed:
			time.Sleep(gatherDelay)
			k.tellChanges(ctx)
		case <-ticker.C:
			k.repeat(ctx, spread)
		case <-ctx.Done():
			return
		}
	}
}

// tellChanges tells and logs what has changed.
func (k *Keeper) tellChanges(ctx context.Context) {
	var news News
	var notes []Note
	k.loop.Inspect(func() { news, notes = k.table.TakeNews(k.options.Clock.Now()), k.table.TakeNotes() })
	for _, note := range notes {
		k.log(note)
		k.noteBar(note)
	}
	k.tell(ctx, k.active(), news.Narrow)
	k.tell(ctx, k.members(), news.Wide)
	for _, c := range news.Corrections {
		for _, m := range k.options.Members() {
			if m.ID == c.To {
				k.tell(ctx, []wasabiridge.InstanceEntry{m.InstanceEntry}, c.Marks)
			}
		}
	}
}

// repeat tells some instances what they should know by now.
func (k *Keeper) repeat(ctx context.Context, spread *Spread) {
	members := k.options.Members()
	var others []wasabiridge.InstanceID
	for _, m := range members {
		others = append(others, m.ID)
	}
	one, all := spread.Targets(members, k.active())
	var news News
	k.loop.Inspect(func() {
		k.table.Meet(others)
		news = k.table.Repeated(k.options.Clock.Now())
	})
	k.tell(ctx, one, news.Narrow)
	k.tell(ctx, append(one, all...), news.Wide)
}

// members returns the other instances that do not leave.
func (k *Keeper) members() []wasabiridge.InstanceEntry {
	var out []wasabiridge.InstanceEntry
	for _, m := range k.options.Members() {
		if !m.Leaving {
			out = append(out, m.InstanceEntry)
		}
	}
	return out
}

// active returns the other instances that callers are sent to.
func (k *Keeper) active() []wasabiridge.InstanceEntry {
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

// tell tells other instances, each until it answers. It does not wait for them.
//
// The failure it guards against: a message is lost. Its instance sends the request on, or
// goes on to suspect one that was answered elsewhere.
func (k *Keeper) tell(ctx context.Context, to []wasabiridge.InstanceEntry, crashes []wasabiridge.CrashNews) {
	if k.options.Tell == nil || len(crashes) == 0 {
		return
	}
	news := wasabiridge.News{From: k.options.Self, Crashes: crashes}
	for _, e := range to {
		if e.PeerAddress != "" {
			go k.tellOne(ctx, e.PeerAddress, news)
		}
	}
}

func (k *Keeper) tellOne(ctx context.Context, address string, news wasabiridge.News) {
	for range tellTries {
		timed, cancel := context.WithTimeout(ctx, tellTimeout)
		err := k.options.Tell(timed, address, news)
		cancel()
		if err == nil {
			return
		}
		k.options.Log.Debug().Err(err).Str("address", address).Msg("News not taken.")
		select {
		case <-time.After(tellAgain):
		case <-ctx.Done():
			return
		}
	}
}

// Hear takes the news of another instance. What finds the loop full is lost, and
// repeated.
func (k *Keeper) Hear(n wasabiridge.News) {
	if len(n.Crashes) > 0 {
		k.loop.Observe(wasabiridge.CrashesHeard{From: n.From, Crashes: n.Crashes})
	}
}

// log tells what is held against a request, or is not any more.
func (k *Keeper) log(note Note) {
	m := note.Mark
	line := k.options.Log.Info().Stringer("fingerprint", m.Fingerprint).Str("account", string(m.Account)).Int("ends", len(m.Ends)).
		Uint64("epoch", uint64(m.Epoch)).Str("from", string(note.From))
	if len(m.Ends) > 0 {
		last := m.Ends[len(m.Ends)-1]
		line = line.Str(wasabilog.BackendField, string(last.Backend)).Int64("ran_ms", int64(last.Ran)).Int64("age_ms", int64(last.Age))
	}
	switch note.Kind {
	case NoteEnd:
		line.Msg("Server ended under a request.")
	case NoteBarred:
		var ended []string
		for _, e := range m.Ends {
			ended = append(ended, string(e.Backend))
		}
		line.Strs("ended", ended).Int64("for_ms", int64(note.For)).Msg("Request barred.")
	case NoteLifted:
		line.Str("why", string(note.Why)).Msg("Request let go again.")
	}
}

// Snapshot returns what is held against requests, and totals since the start.
func (k *Keeper) Snapshot() (entries []Entry, counts Counts) {
	k.loop.Inspect(func() { entries, counts = k.table.Entries(k.options.Clock.Now()), k.table.Counts() })
	return entries, counts
}

// Release lets a request go again, here and at all instances. It reports ErrNotFound when
// nothing is held against it here.
func (k *Keeper) Release(f wasabiridge.Fingerprint) error {
	known := false
	k.loop.Inspect(func() { known = k.table.Holds(f) })
	if !known {
		return wasabiridge.ErrNotFound.New("quarantine: nothing is held against %s here", f)
	}
	k.loop.Post(wasabiridge.QuarantineReleased{Fingerprint: f})
	return nil
}
