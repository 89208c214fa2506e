package wasabicatalog

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

const (
	tick = 50 * time.Millisecond
	// inboxSize bounds the events that wait for the machine. There is at most
	// one of each kind of call under way; news that finds no room is dropped,
	// because the next question brings the same.
	inboxSize = 64
	// askTimeout bounds a question to another instance.
	askTimeout = 400 * time.Millisecond
	// tellTimeout bounds handing on news.
	tellTimeout = 500 * time.Millisecond
)

// Options are the parts of a Keeper. Log, Changed and News may be left out.
type Options struct {
	Self wasabiridge.InstanceEntry
	// Clock goes on while the instance is suspended.
	Clock  wasabiridge.Clock
	Source wasabiridge.CatalogSource
	Peers  wasabiridge.CatalogPeers
	// Members returns the other living instances. It is safe for concurrent
	// use.
	Members func() []wasabiridge.Member
	// Active returns the instances that callers are sent to. Nil means all.
	Active func() []wasabiridge.InstanceEntry
	Log    zerolog.Logger
	// Changed is called after the content has changed, News with news of
	// other instances. Both must not block.
	Changed func(v View)
	News    func(n wasabiridge.News)
}

// View is what is known. It is an immutable value.
type View struct {
	Snapshot wasabiridge.ConfigSnapshot
	Backends wasabiridge.BackendSnapshot
	// ConfigProven and BackendsProven are when the reads were sent that proved
	// the parts. ConfigKnown and BackendsKnown say that there were such.
	ConfigProven, BackendsProven wasabiridge.Millis
	ConfigKnown, BackendsKnown   bool
	// Namings tell when versions of weights were named.
	Namings []Named
}

// Keeper drives a Machine with a clock, the platform and the peers. It is safe
// for concurrent use.
type Keeper struct {
	options Options
	inbox   chan Event
	view    atomic.Pointer[View]
	reads   atomic.Uint64
	failed  atomic.Uint64
	asked   atomic.Uint64

	// members are those that peers, sources and tree were made of. They belong to
	// the goroutine of Run.
	members        []wasabiridge.Member
	peers, sources []Peer
	tree           Tree

	mu      sync.Mutex
	machine *Machine
	lost    bool
	// unusable are the entries that were last read and name no server to use, with
	// the cause.
	unusable map[wasabiridge.BackendServerID]string
}

// NewKeeper returns a keeper that knows nothing. Run starts it.
func NewKeeper(o Options) *Keeper {
	k := &Keeper{options: o, inbox: make(chan Event, inboxSize), machine: NewMachine(o.Self)}
	k.view.Store(&View{})
	return k
}

// View returns what is known.
func (k *Keeper) View() View { return *k.view.Load() }

// Calls counts the calls to the platform since the start, those that failed,
// and the questions to other instances.
func (k *Keeper) Calls() (reads, failed, asked uint64) {
	return k.reads.Load(), k.failed.Load(), k.asked.Load()
}

// Run drives the machine until the context ends. It is called once.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	k.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.tick(ctx)
		case e := <-k.inbox:
			k.handle(ctx, e)
		}
	}
}

// tick hands on the time and, when they have changed, the members.
func (k *Keeper) tick(ctx context.Context) {
	members := k.options.Members()
	if len(members) != len(k.members) || len(members) > 0 && &members[0] != &k.members[0] {
		var active []wasabiridge.InstanceEntry
		if k.options.Active != nil {
			active = k.options.Active()
		}
		k.members, k.tree = members, NewTree(k.options.Self, active, members)
		k.peers, k.sources = k.tree.peers(), k.tree.Sources()
	}
	k.handle(ctx, Ticked{Peers: k.peers, Sources: k.sources})
}

func (k *Keeper) handle(ctx context.Context, e Event) {
	k.mu.Lock()
	effects := slices.Clone(k.machine.Handle(k.options.Clock.Now(), e))
	k.mu.Unlock()
	k.note(e)
	for _, effect := range effects {
		switch f := effect.(type) {
		case ReadConfig:
			go k.readConfig(ctx)
		case ReadBackends:
			go k.readBackends(ctx)
		case AskPeer:
			go k.ask(ctx, f)
		case Changed:
			k.publish()
			if k.options.Changed != nil {
				k.options.Changed(k.View())
			}
			k.TellSome(ctx, k.tree.Audience(f), wasabiridge.News{Changed: true})
		case Proven:
			k.publish()
		}
	}
}

// note logs when the platform is lost and regained.
func (k *Keeper) note(e Event) {
	var err error
	switch e := e.(type) {
	case ConfigRead:
		err = e.Err
	case BackendsRead:
		err = e.Err
	default:
		return
	}
	if err != nil {
		k.failed.Add(1)
	}
	if (err != nil) == k.lost {
		return
	}
	k.lost = err != nil
	v := k.View()
	now := k.options.Clock.Now()
	line := k.options.Log.Info()
	message := "Platform regained."
	if k.lost {
		line, message = k.options.Log.Warn().Err(err), "Platform lost."
	}
	line.Int64("config_age_ms", int64(now-v.ConfigProven)).Int64("backends_age_ms", int64(now-v.BackendsProven)).Msg(message)
}

func (k *Keeper) publish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.machine
	k.view.Store(&View{
		Snapshot: m.snapshot, Backends: m.list,
		ConfigProven: m.config.proven, BackendsProven: m.backends.proven,
		ConfigKnown: m.config.known, BackendsKnown: m.backends.known, Namings: m.Namings(),
	})
}

// logUnusable tells of entries that name no backend server to use, of each once until
// it changes.
func (k *Keeper) logUnusable(entries []wasabiridge.UnusableEntry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := map[wasabiridge.BackendServerID]string{}
	for _, e := range entries {
		now[e.ID] = e.Cause
		if k.unusable[e.ID] != e.Cause {
			k.options.Log.Warn().Str(wasabilog.BackendField, string(e.ID)).Str("cause", e.Cause).Msg("Entry cannot be used.")
		}
	}
	k.unusable = now
}

func (k *Keeper) post(ctx context.Context, e Event) {
	select {
	case k.inbox <- e:
	case <-ctx.Done():
	}
}

func (k *Keeper) readConfig(ctx context.Context) {
	k.reads.Add(1)
	sent := k.options.Clock.Now()
	s, err := k.options.Source.ReadConfig(ctx)
	k.post(ctx, ConfigRead{Sent: sent, Snapshot: s, Err: err})
}

func (k *Keeper) readBackends(ctx context.Context) {
	k.reads.Add(1)
	sent := k.options.Clock.Now()
	s, err := k.options.Source.ReadBackends(ctx)
	if err == nil {
		k.logUnusable(s.Unusable)
	}
	k.post(ctx, BackendsRead{Sent: sent, Snapshot: s, Err: err})
}

func (k *Keeper) ask(ctx context.Context, e AskPeer) {
	k.asked.Add(1)
	sent := k.options.Clock.Now()
	timed, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := k.options.Peers.AskCatalog(timed, e.Peer.Address, e.Query)
	k.post(ctx, PeerAnswered{Sent: sent, Peer: e.Peer.ID, Answer: answer, Err: err})
}

// LowestRanks returns the other living members of the lowest ranks.
func (k *Keeper) LowestRanks(n int) []Peer {
	return lowest(NewTree(k.options.Self, nil, k.options.Members()).peers(), n)
}

// TellSome hands news to some members. It does not wait for them.
func (k *Keeper) TellSome(ctx context.Context, peers []Peer, n wasabiridge.News) {
	n.From = k.options.Self.ID
	for _, p := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			if err := k.options.Peers.TellNews(ctx, p.Address, n); err != nil {
				k.options.Log.Debug().Err(err).Str("member", string(p.ID)).Msg("News not taken.")
			}
		}()
	}
}

// HandleAskCatalog implements wasabiridge.CatalogHandler.
func (k *Keeper) HandleAskCatalog(_ context.Context, q wasabiridge.CatalogQuery) (wasabiridge.CatalogAnswer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Answer(k.options.Clock.Now(), q), nil
}

// HandleTellNews implements wasabiridge.CatalogHandler.
func (k *Keeper) HandleTellNews(_ context.Context, n wasabiridge.News) error {
	if k.options.News != nil {
		k.options.News(n)
	}
	if !n.Changed {
		return nil
	}
	select {
	case k.inbox <- NewsHeard{From: n.From}:
	default:
	}
	return nil
}
