// Package wasabinode joins the parts of a router that runs on a platform whose
// operators write the configuration into its store: the listeners, the loop of
// decisions, the relay, the catalog, the membership and the upgrade of weights.
//
// # Life
//
// A node listens at once. It refuses requests as not run until it knows a
// configuration, from the platform or from another instance, whichever answers
// first. On Drain it is neither ready nor named any more, goes on accepting
// for a while what callers with older answers send, then finishes what it has
// and ends well before the platform would kill it.
//
// # Usage
//
//	node, err := wasabinode.New(wasabinode.Options{Settings: settings, Clock: clock, Platform: parts})
//	if err != nil {
//		return err
//	}
//	go func() { <-signals; node.Drain() }()
//	return node.Run()
package wasabinode

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
	"github.com/wasabiridge/wasabiridge/internal/wasabiupgrade"
)

const (
	// keyMargin is how much earlier than the bound a key is not used any more.
	// It covers the way of a request to a backend server.
	keyMargin = 500 * wasabiridge.Millis(1)
	// weightsMargin is the same for the begin of answers on older weights.
	weightsMargin = 400 * wasabiridge.Millis(1)
	// denyShare is the part, in hundredths, of the time in which a
	// configuration must be in force after which a caller is not told any more
	// that its route or key does not exist.
	denyShare = 75
	// drainShare is the part of the grace time in which requests are still
	// accepted after the node began to leave.
	drainShare = 0.4
	// acceptMost is how long that is at most, so that a long request that came late can
	// still end.
	acceptMost = 2800 * wasabiridge.Millis(1)
	// endMargin is how long before the end of the grace time the process ends.
	endMargin = 400 * wasabiridge.Millis(1)
	// addressShare is the part of the longest time that address answers hold.
	// Some callers keep them three times as long, and an instance that leaves
	// should not be among them for longer than it accepts requests.
	addressShare = 0.4
	// attemptBits leaves room for the attempts of one life.
	attemptBits = 20
	// ringSize bounds the events that wait for the decisions.
	ringSize = 4096
	// openPeerKey stands for the secret of instances whose listener nobody
	// else can reach.
	openPeerKey = "wasabiridge: open peer network"
	// idleTimeout is how long a caller's connection may wait for its next
	// request. It is longer than callers keep connections: a request that
	// crosses the closing of its connection is lost to its caller.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	maxHeader     = 64 << 10
)

// Platform is how the platform speaks. All fields are needed.
type Platform struct {
	Protocol wasabiridge.CallerProtocol
	Runner   wasabiridge.AttemptRunner
	Source   wasabiridge.CatalogSource
	Table    wasabiridge.Table
	Engines  wasabiridge.EngineOperator
	Caches   wasabiridge.CacheReader
	// Mover moves running answers. Nil means that none are moved.
	Mover wasabiridge.RunMover
	// Directory makes the handler that tells callers where to connect, Ready
	// the one that tells the platform whether requests are taken.
	Directory func(nearest func(wasabiridge.AvailabilityZone) ([]string, wasabiridge.Millis)) http.Handler
	Ready     func(ready func() bool) http.Handler
}

// Options are the parts of a node. All but Log are needed.
type Options struct {
	Settings wasabisettings.Settings
	Clock    wasabiridge.Clock
	Platform Platform
	// Log is where log lines go. Nil drops them. It must not block.
	Log io.Writer
	// LinesDropped counts the lines that Log has lost. Nil means none.
	LinesDropped func() uint64
}

// Node is one router. It is safe for concurrent use.
type Node struct {
	options Options
	bounds  wasabisettings.Terms
	// terms are the bounds by the newest settings. Those that only count at the
	// start are taken from bounds.
	terms       atomic.Pointer[wasabisettings.Terms]
	log         zerolog.Logger
	incarnation wasabiridge.Incarnation
	timeline    *wasabitimeline.Log
	loop        *wasabiloop.Loop
	placer      *wasabireplica.Placer
	placed      chan struct{}
	limits      serverLimits
	emptied     chan wasabiridge.BackendServerID
	quarantine  *wasabiquarantine.Keeper
	quota       *wasabiquota.Keeper
	relay       *wasabirelay.Relay
	catalog     *wasabicatalog.Keeper
	upgrade     *wasabiupgrade.Keeper
	client      *wasabipeer.Client
	server      *wasabipeer.Server
	members     *wasabimember.Keeper
	book        *wasabiaddress.Book
	roster      *roster
	inForce     atomic.Pointer[inForce]
	sockets     []net.Listener
	servers     []*http.Server
	leaving     atomic.Bool
	once        sync.Once
	drained     chan struct{}
}

// New opens the listeners and joins the parts. It reports ErrInvalid for
// settings that cannot be used and ErrUnavailable for an address that is taken.
func New(o Options) (*Node, error) {
	if o.Settings.Hosted == nil {
		return nil, wasabiridge.ErrInvalid.New("node: the settings have no section hosted")
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	n := &Node{
		options:     o,
		bounds:      o.Settings.Hosted.Bounds.Terms(),
		incarnation: wasabiridge.Incarnation(o.Clock.Now()),
		drained:     make(chan struct{}),
		placed:      make(chan struct{}, 1),
		emptied:     make(chan wasabiridge.BackendServerID, emptiedSize),
	}
	n.log = wasabilog.New(o.Log, o.Settings.LogLevel).With().Str(wasabilog.InstanceField, string(o.Settings.Instance)).Logger()
	n.inForce.Store(&inForce{config: &wasabiridge.Config{}})
	n.terms.Store(&n.bounds)
	if err := n.join(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// join makes the parts and lets them know each other.
func (n *Node) join() error {
	o, s := n.options, n.options.Settings
	seed := uint64(s.Seed)
	if seed == 0 {
		seed = rand.Uint64()
	}
	n.limits = serverLimits{log: wasabilog.Part(n.log, "limit"), named: map[wasabiridge.BackendServerID]serverLimit{}}
	n.timeline = wasabitimeline.New(wasabitimeline.Options{Instance: s.Instance, Clock: o.Clock})
	n.placer = wasabireplica.New(wasabireplica.Options{
		Seed: seed, Self: s.Instance, Zone: s.Zone, WeightsBound: n.bounds.WeightsLife - weightsMargin,
		RetryRatio: n.bounds.RetryRatio, RetrySlack: n.bounds.RetrySlack, RetryWindow: n.bounds.RetryWindow,
	})
	n.quarantine = wasabiquarantine.NewKeeper(wasabiquarantine.KeeperOptions{
		Self: s.Instance, Incarnation: n.incarnation, Clock: o.Clock, Seed: seed, Log: wasabilog.Part(n.log, "quarantine"),
		Members: func() []wasabiridge.Member { return n.members.Members() }, Active: n.activeEntries, Rows: o.Platform.Table,
		Tell: func(ctx context.Context, address string, news wasabiridge.News) error {
			return n.client.TellNews(ctx, address, news)
		},
	})
	n.quota = wasabiquota.NewKeeper(wasabiquota.KeeperOptions{
		Self: s.Instance, Incarnation: n.incarnation, Clock: o.Clock, Log: wasabilog.Part(n.log, "quota"), Rows: o.Platform.Table,
		Members: func() []wasabiridge.Member { return n.members.Members() }, Active: n.activeEntries,
		Tell: func(ctx context.Context, address string, news wasabiridge.News) error {
			return n.client.TellNews(ctx, address, news)
		},
	})
	core := wasabicore.New(wasabicore.Options{
		Placer: n.placer, Limiter: wasabireplica.NewLimiter(n.placer), Quarantine: n.quarantine.Table(), Quota: n.quota.Table(), Instance: s.Instance,
		FirstAttempt: wasabiridge.AttemptID(n.incarnation) << attemptBits,
	})
	n.loop = wasabiloop.New(wasabiloop.Options{
		Decider: core, Clock: o.Clock, Recorder: placements{next: n.timeline, wake: n.placed}, Ring: ringSize,
	})
	n.quarantine.Join(n.loop)
	n.quota.Join(n.loop)
	if err := n.joinPeers(seed); err != nil {
		return err
	}
	n.catalog = wasabicatalog.NewKeeper(wasabicatalog.Options{
		Self: n.self(), Clock: o.Clock, Source: o.Platform.Source, Peers: n.client, Members: n.members.Members, Active: n.activeEntries,
		Log: wasabilog.Part(n.log, "catalog"), Changed: n.adopt, News: n.takeNews,
	})
	n.upgrade = wasabiupgrade.NewKeeper(wasabiupgrade.Options{
		Self: s.Instance, Address: s.Peer.Address, Incarnation: n.incarnation, Clock: o.Clock, Table: o.Platform.Table, Engines: o.Platform.Engines,
		Recorder: n.timeline, Catalog: n.wantedWeights, Rank: n.rank, Leaving: n.leaving.Load, Tell: n.tell, Log: wasabilog.Part(n.log, "upgrade"),
		Timing: wasabiupgrade.Timing{Turn: n.bounds.Turn},
	})
	n.relay = wasabirelay.New(wasabirelay.Options{
		Instance: s.Instance, Clock: o.Clock, Log: wasabilog.Part(n.log, "relay"), Loop: n.loop,
		Runner: o.Platform.Runner, Protocol: o.Platform.Protocol, View: n.view,
		KeyLife:  func() wasabiridge.Millis { return n.terms.Load().KeyLife - keyMargin },
		DenyLife: func() wasabiridge.Millis { return n.terms.Load().ConfigLife * denyShare / 100 },
		Leaving:  n.leaving.Load, Mover: o.Platform.Mover, Names: wasabifingerprint.New([]byte(openPeerKey)),
	})
	n.book = wasabiaddress.New(wasabiaddress.Options{
		Self: n.self(), Members: n.members.Members, Lifetime: wasabiridge.Millis(addressShare * float64(n.bounds.AddressLife)),
	})
	return n.listen()
}

// Entry describes this instance as the other instances know it.
func (n *Node) Entry() wasabiridge.InstanceEntry { return n.self() }

// self describes this instance to callers and to other instances.
func (n *Node) self() wasabiridge.InstanceEntry {
	s := n.options.Settings
	return wasabiridge.InstanceEntry{
		ID: s.Instance, Zone: s.Zone, Region: s.Region, CallerURL: s.Caller.URL, PeerAddress: s.Peer.Address,
		Capacity: s.Capacity,
	}
}

func (n *Node) joinPeers(seed uint64) error {
	s := n.options.Settings.Peer
	o := wasabipeer.Options{Clock: n.options.Clock, Key: []byte(openPeerKey)}
	var err error
	if n.client, err = wasabipeer.NewClient(o); err != nil {
		return err
	}
	if n.server, err = wasabipeer.Listen(s.Listen, peerHandler{node: n}, o); err != nil {
		return err
	}
	n.roster = &roster{seeds: s.Seeds, table: n.options.Platform.Table, self: n.self(), alone: n.isAlone, rank: n.rank}
	n.members = wasabimember.NewKeeper(wasabimember.KeeperOptions{
		Self: n.self(), Incarnation: n.incarnation, Seed: seed, Clock: n.options.Clock,
		List: n.roster, Peers: n.client, Log: wasabilog.Part(n.log, "member"), Recorder: n.timeline,
		HybridNow: n.timeline.Now, ObserveHybrid: n.timeline.Observe,
	})
	return nil
}
