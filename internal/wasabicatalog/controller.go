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
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

const (
	tick = 50 * time.Millisecond
	// standbyTick is the same at a standby instance that has the configuration and the list.
	standbyTick = 250 * time.Millisecond
	// inboxSize limits the events that wait for the machine. At most one call of each
	// kind is in flight. State updates that do not fit are dropped, because the next
	// query returns the same content.
	inboxSize = 64
	// queryTimeout limits a query to another instance.
	queryTimeout = 400 * time.Millisecond
	// sendTimeout limits the sending of a state update.
	sendTimeout = 500 * time.Millisecond
	// ignoredLogInterval is the shortest time between two log lines about ignored reads of
	// the same part.
	ignoredLogInterval = wasabiridge.Second
)

// Options configure a Controller. Log, OnChange and OnUpdate are optional.
type Options struct {
	Self wasabiridge.InstanceEntry
	// Clock must keep counting while the instance is suspended.
	Clock  wasabiridge.Clock
	Source wasabiridge.CatalogSource
	Peers  wasabiridge.CatalogPeers
	// Members returns the other live instances. It is safe for concurrent use.
	Members func() []wasabiridge.Member
	// Active returns the instances that callers are directed to. Nil means all.
	Active func() []wasabiridge.InstanceEntry
	Log    zerolog.Logger
	// OnChange is called after the content has changed, OnUpdate with each state update
	// received from another instance. Neither may block.
	OnChange func(v View)
	OnUpdate func(n wasabiridge.StateUpdate)
}

// View is the catalog as known at this instance. It is an immutable value.
type View struct {
	Snapshot wasabiridge.ConfigSnapshot
	Backends wasabiridge.BackendSnapshot
	// ConfigConfirmedAt and BackendsConfirmedAt are the times at which the platform
	// reads were sent that last confirmed the configuration and the list. ConfigKnown
	// and BackendsKnown report that there was such a read.
	ConfigConfirmedAt, BackendsConfirmedAt wasabiridge.Millis
	ConfigKnown, BackendsKnown             bool
	// TargetVersions are the wanted versions of weights with the times at which
	// operators set them.
	TargetVersions []TargetVersion
}

// Controller drives a Machine with the clock, the platform and the other instances. It is
// safe for concurrent use.
type Controller struct {
	options Options
	inbox   chan Event
	view    atomic.Pointer[View]
	reads   atomic.Uint64
	failed  atomic.Uint64
	queries atomic.Uint64
	ignored atomic.Uint64
	// restores counts the restores of the store that were seen.
	restores atomic.Uint64
	epoch    atomic.Uint64

	// members is the list from which peers, sources and tree were computed. These
	// fields belong to the goroutine of Run.
	members        []wasabiridge.Member
	peers, sources []Peer
	tree           Tree

	mu           sync.Mutex
	machine      *Machine
	platformLost bool
	// ignoredAt is when an ignored read of each part was last logged. It belongs to the
	// goroutine of Run.
	ignoredAt map[string]wasabiridge.Millis
	entries   *ignoredEntries
}

// NewController returns a Controller with an empty view. Run starts it.
func NewController(o Options) *Controller {
	k := &Controller{
		options: o, inbox: make(chan Event, inboxSize), machine: NewMachine(o.Self), ignoredAt: map[string]wasabiridge.Millis{},
		entries: newIgnoredEntries(),
	}
	k.view.Store(&View{})
	return k
}

// View returns the current view.
func (k *Controller) View() View { return *k.view.Load() }

// Calls returns the number of calls to the platform since the start, how many of them
// failed, and the number of queries to other instances.
func (k *Controller) Calls() (reads, failed, queries uint64) {
	return k.reads.Load(), k.failed.Load(), k.queries.Load()
}

// Ignored returns the number of platform reads since the start that returned an older state
// than the known one.
func (k *Controller) Ignored() uint64 { return k.ignored.Load() }

// IgnoredEntries returns by cause how many entries of the list named no backend server to
// use when this instance read it.
func (k *Controller) IgnoredEntries() map[string]uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.entries.total()
}

// Restores returns the number of restores of the platform's store that were seen.
func (k *Controller) Restores() uint64 { return k.restores.Load() }

// Epoch returns the newest known epoch of the platform's store.
func (k *Controller) Epoch() wasabiridge.StoreEpoch { return wasabiridge.StoreEpoch(k.epoch.Load()) }

// Run drives the machine until the context ends. It is called once.
func (k *Controller) Run(ctx context.Context) {
	ticker := wasabipulse.New(tick)
	defer ticker.Stop()
	k.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.tick(ctx)
			interval := tick
			if k.machine.isSettledStandby() {
				interval = standbyTick
			}
			ticker.Next(interval)
		case e := <-k.inbox:
			k.handle(ctx, e)
		}
	}
}

// tick passes the time to the machine and, when the members have changed, the new
// members.
func (k *Controller) tick(ctx context.Context) {
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

func (k *Controller) handle(ctx context.Context, e Event) {
	k.mu.Lock()
	effects := slices.Clone(k.machine.Handle(k.options.Clock.Now(), e))
	k.epoch.Store(uint64(k.machine.Epoch()))
	k.mu.Unlock()
	k.logPlatformState(e)
	for _, effect := range effects {
		switch f := effect.(type) {
		case ReadConfig:
			go k.readConfig(ctx)
		case ReadBackends:
			go k.readBackends(ctx, f.FirstPage)
		case QueryPeer:
			go k.query(ctx, f)
		case Changed:
			k.publish()
			if k.options.OnChange != nil {
				k.options.OnChange(k.View())
			}
			k.SendUpdate(ctx, k.tree.Recipients(f), wasabiridge.StateUpdate{Changed: true})
		case Confirmed:
			k.publish()
		case Restored:
			k.logRestored(f)
		case ReadIgnored:
			k.logIgnored(f)
		case TargetRecorded:
			k.options.Log.Info().Str("model", string(f.Target.Model)).Uint64("weights", uint64(f.Target.Weights)).Bool("observed", f.Target.Observed).
				Bool("from_instance", f.FromInstance).Int64("age_ms", int64(k.options.Clock.Now()-f.Target.At)).Uint64("revision", wasabiridge.VersionOf(f.Revision)).
				Msg("Target version of weights recorded.")
		case TargetOlder:
			k.options.Log.Warn().Str("model", string(f.Model)).Uint64("weights_read", uint64(f.Read)).Uint64("weights", uint64(f.Known)).
				Uint64("revision", wasabiridge.VersionOf(f.Revision)).Msg("Store names older weights than the known ones, which stay the target.")
		}
	}
}

// logIgnored counts an ignored read, and logs it at most once in ignoredLogInterval.
func (k *Controller) logIgnored(e ReadIgnored) {
	total := k.ignored.Add(1)
	now := k.options.Clock.Now()
	if at, logged := k.ignoredAt[e.Part]; logged && now-at < ignoredLogInterval {
		return
	}
	k.ignoredAt[e.Part] = now
	v := k.View()
	k.options.Log.Warn().Str("part", e.Part).Uint64("epoch_read", uint64(wasabiridge.EpochOf(e.Revision))).Uint64("revision_read", wasabiridge.VersionOf(e.Revision)).
		Uint64("epoch", uint64(wasabiridge.EpochOf(e.Known))).Uint64("revision", wasabiridge.VersionOf(e.Known)).
		Uint64("config_version", uint64(v.Snapshot.Config.Version)).Int64("config_age_ms", int64(now-v.ConfigConfirmedAt)).
		Int64("backends_age_ms", int64(now-v.BackendsConfirmedAt)).Uint64("ignored_total", total).
		Msg("Read ignored: it returned an older state than the known one.")
}

// logRestored logs that the store was restored.
func (k *Controller) logRestored(e Restored) {
	k.restores.Add(1)
	v := k.View()
	k.options.Log.Warn().Uint64("epoch", uint64(e.Epoch)).Uint64("epoch_before", uint64(e.Before)).Uint64("revision", wasabiridge.VersionOf(e.Revision)).
		Uint64("revision_before", wasabiridge.VersionOf(v.Snapshot.Revision)).Uint64("config_version", uint64(v.Snapshot.Config.Version)).
		Int64("config_age_ms", int64(k.options.Clock.Now()-v.ConfigConfirmedAt)).Msg("Store was restored from a copy.")
}

// logPlatformState logs when the platform becomes unreachable or reachable again.
func (k *Controller) logPlatformState(e Event) {
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
	if (err != nil) == k.platformLost {
		return
	}
	k.platformLost = err != nil
	v := k.View()
	now := k.options.Clock.Now()
	line := k.options.Log.Info()
	message := "Platform is reachable again."
	if k.platformLost {
		line, message = k.options.Log.Warn().Err(err), "Platform is unreachable."
	}
	line.Int64("config_age_ms", int64(now-v.ConfigConfirmedAt)).Int64("backends_age_ms", int64(now-v.BackendsConfirmedAt)).Msg(message)
}

func (k *Controller) publish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.machine
	k.view.Store(&View{
		Snapshot: m.snapshot, Backends: m.list,
		ConfigConfirmedAt: m.config.confirmedAt, BackendsConfirmedAt: m.backends.confirmedAt,
		ConfigKnown: m.config.known, BackendsKnown: m.backends.known, TargetVersions: m.TargetVersions(),
	})
}

// logEntries counts and logs the entries of a read that name no backend server to use.
func (k *Controller) logEntries(s wasabiridge.BackendSnapshot) {
	entries := s.Unusable
	if v := k.View(); v.ConfigKnown {
		entries = slices.Concat(entries, unknownPools(v.Snapshot.Config, s.Entries))
	}
	k.mu.Lock()
	e, unlogged := k.entries.read(k.options.Clock.Now(), entries)
	k.mu.Unlock()
	if e != nil {
		k.options.Log.Warn().Str(wasabilog.BackendField, string(e.ID)).Str("cause", e.Cause).Int("unlogged", unlogged).Msg("Entry of a backend server is unusable.")
	}
}

func (k *Controller) post(ctx context.Context, e Event) {
	select {
	case k.inbox <- e:
	case <-ctx.Done():
	}
}

func (k *Controller) readConfig(ctx context.Context) {
	k.reads.Add(1)
	sent := k.options.Clock.Now()
	s, err := k.options.Source.ReadConfig(ctx)
	k.post(ctx, ConfigRead{Sent: sent, Snapshot: s, Err: err})
}

func (k *Controller) readBackends(ctx context.Context, firstPage bool) {
	k.reads.Add(1)
	sent := k.options.Clock.Now()
	read := k.options.Source.ReadBackends
	if pages, ok := k.options.Source.(wasabiridge.CatalogPages); ok && firstPage {
		read = pages.ReadFirstBackends
	}
	s, err := read(ctx)
	if err == nil {
		k.logEntries(s)
	}
	k.post(ctx, BackendsRead{Sent: sent, Snapshot: s, Err: err})
}

func (k *Controller) query(ctx context.Context, e QueryPeer) {
	k.queries.Add(1)
	sent := k.options.Clock.Now()
	timed, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := k.options.Peers.QueryCatalog(timed, e.Peer.Address, e.Query)
	k.post(ctx, PeerResponded{Sent: sent, Peer: e.Peer.ID, Answer: answer, Err: err})
}

// LowestRanks returns the n other live members with the lowest ranks.
func (k *Controller) LowestRanks(n int) []Peer {
	return lowestRanked(NewTree(k.options.Self, nil, k.options.Members()).peers(), n)
}

// SendUpdate sends a state update to some members. It does not wait for the calls to end.
func (k *Controller) SendUpdate(ctx context.Context, peers []Peer, n wasabiridge.StateUpdate) {
	n.From = k.options.Self.ID
	for _, p := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if err := k.options.Peers.SendUpdate(ctx, p.Address, n); err != nil {
				k.options.Log.Debug().Err(err).Str("member", string(p.ID)).Msg("Sending a state update failed.")
			}
		}()
	}
}

// HandleQueryCatalog implements wasabiridge.CatalogHandler.
func (k *Controller) HandleQueryCatalog(_ context.Context, q wasabiridge.CatalogQuery) (wasabiridge.CatalogResponse, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Answer(k.options.Clock.Now(), q), nil
}

// HandleSendUpdate implements wasabiridge.CatalogHandler.
func (k *Controller) HandleSendUpdate(_ context.Context, n wasabiridge.StateUpdate) error {
	if k.options.OnUpdate != nil {
		k.options.OnUpdate(n)
	}
	if !n.Changed {
		return nil
	}
	select {
	case k.inbox <- UpdateReceived{From: n.From}:
	default:
	}
	return nil
}
