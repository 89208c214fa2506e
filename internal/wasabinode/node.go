// Package wasabinode assembles a router instance for a platform whose operators
// write the configuration into the platform's store: the listeners, the decision
// loop, the relay, the catalog, the membership and the upgrade of weights.
//
// # Lifecycle
//
// A node listens as soon as it is created. Until it has a configuration, from the
// platform or from another instance, whichever responds first, it refuses requests
// and reports them as not run. After Drain it reports that it is not ready and is
// left out of the addresses that callers are given. For a while it still accepts
// requests of callers that hold older addresses; then it completes the open
// requests and ends well before the platform would kill it.
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
	"github.com/wasabiridge/wasabiridge/internal/wasabiending"
	"github.com/wasabiridge/wasabiridge/internal/wasabifanout"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
	"github.com/wasabiridge/wasabiridge/internal/wasabiheld"
	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
	"github.com/wasabiridge/wasabiridge/internal/wasabirollout"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabistream"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
	"github.com/wasabiridge/wasabiridge/internal/wasabiupgrade"
)

const (
	// keyMargin is how long before its bound an API key is no longer accepted. It
	// covers the transit of a request to a backend server.
	keyMargin = 500 * wasabiridge.Millis(1)
	// weightsMargin is how long before their bound older weights are no longer
	// used. It covers the time to the first byte of a response.
	weightsMargin = 400 * wasabiridge.Millis(1)
	// denyPercent is the percentage of the bound on the age of a configuration
	// after which a caller is no longer told that its route or key does not exist:
	// a newer configuration may hold it.
	denyPercent = 75
	// drainShare is the fraction of the grace period in which a draining node
	// still accepts requests.
	drainShare = 0.4
	// maxAccept bounds that time, so that a long request that arrives late can
	// still be completed.
	maxAccept = 2800 * wasabiridge.Millis(1)
	// endMargin is how long before the end of the grace period the process ends.
	endMargin = 400 * wasabiridge.Millis(1)
	// addressShare is the fraction of the configured lifetime of addresses that
	// callers are given. Some callers keep addresses three times as long as they
	// are told, and they should not hold those of a draining instance for longer
	// than it accepts requests.
	addressShare = 0.4
	// attemptBits is the number of low bits of an attempt identifier that count the
	// attempts of one incarnation.
	attemptBits = 20
	// timelineCapacity is the number of events that the time line of a node keeps. No operator
	// reads it on this platform; the log has the same decisions.
	timelineCapacity = 8192
	// ringSize bounds the events that are queued for the decision loop.
	ringSize = 4096
	// openPeerKey takes the place of the shared secret where no other process can
	// reach the peer listener.
	openPeerKey = "wasabiridge: open peer network"
	// idleTimeout is how long a caller's connection may be idle if the configuration names
	// no time. It is longer than callers keep connections: a request that is sent while the
	// server closes its connection is lost.
	idleTimeout = 2 * wasabiridge.Minute
	// headerTimeout bounds the time to read a request's header, and headerBytes the size of
	// its names and values, if the configuration names no limits.
	headerTimeout = 5 * wasabiridge.Second
	headerBytes   = 32 << 10
	// writeTimeout bounds the time to write a response of a listener that is not for
	// requests to backend servers.
	writeTimeout = 10 * time.Second
)

// Platform holds the adapters to the platform: its protocol, store and engines.
// All fields but Migrator, Numberings and Features are required.
type Platform struct {
	Protocol wasabiridge.CallerProtocol
	Runner   wasabiridge.AttemptRunner
	Source   wasabiridge.CatalogSource
	Table    wasabiridge.Table
	Engines  wasabiridge.EngineOperator
	Caches   wasabiridge.CacheReader
	// Migrator migrates in-flight requests between backend servers. With nil none are
	// migrated.
	Migrator wasabiridge.RequestMigrator
	// Directory returns the handler that gives callers the addresses of instances.
	// Ready returns the handler of the platform's readiness check.
	Directory func(nearest func(wasabiridge.AvailabilityZone) ([]string, wasabiridge.Millis)) http.Handler
	Ready     func(ready func() bool) http.Handler
	// Numberings shares with the other instances how servers number events. With nil each
	// instance learns it by itself.
	Numberings wasabiridge.NumberingExchange
	// Features are the optional parts that the platform asks for.
	Features wasabiridge.Features
}

// Options configure a node. All fields but Log and DroppedLogLines are required.
type Options struct {
	Settings wasabisettings.Settings
	Clock    wasabiridge.Clock
	Platform Platform
	// Log receives the log lines. With nil they are discarded. It must not block.
	Log io.Writer
	// DroppedLogLines returns the number of lines that Log has dropped. Nil means none.
	DroppedLogLines func() uint64
}

// Node is one router instance. It is safe for concurrent use.
type Node struct {
	options Options
	bounds  wasabisettings.ResolvedBounds
	// terms are the bounds of the last settings that were applied. Bounds that are
	// used only at the start are read from bounds.
	terms       atomic.Pointer[wasabisettings.ResolvedBounds]
	log         zerolog.Logger
	incarnation wasabiridge.Incarnation
	timeline    *wasabitimeline.Log
	loop        *wasabiloop.Loop
	placer      *wasabireplica.Placer
	// placed wakes publishPlacements.
	placed  chan struct{}
	limits  serverLimits
	notices notices
	reach   *reach
	// migrationQueue holds the backend servers whose requests wait for migration.
	migrationQueue chan wasabiridge.BackendServerID
	quarantine     *wasabiquarantine.Controller
	quota          *wasabiquota.Controller
	shares         *shares
	streams        *wasabistream.Controller
	registry       *wasabistream.Registry
	relay          *wasabirelay.Relay
	// held is nil if the settings name no memory.
	held    *wasabiheld.Keeper
	catalog *wasabicatalog.Controller
	upgrade *wasabiupgrade.Controller
	client  *wasabipeer.Client
	// forwards passes requests on to other instances, over connections of its own, so that
	// many of them do not delay heartbeats.
	forwards     *wasabipeer.Client
	server       *wasabipeer.Server
	members      *wasabimember.Controller
	book         *wasabiaddress.Selector
	strained     atomic.Bool
	fanout       *wasabifanout.Plan
	roster       *roster
	activeConfig atomic.Pointer[activeConfig]
	cells        *cells
	rollouts     *rollouts
	// adopting is held while a view is made the active one, and protects adopted.
	adopting sync.Mutex
	adopted  adoption
	// upgradable belongs to the goroutine of upgrade.
	upgradable upgradeInput
	// guard bounds what the connections of all listeners take.
	guard   *wasabilistener.Guard
	ports   wasabilistener.Shares
	sockets []net.Listener
	servers []*http.Server
	leaving atomic.Bool
	// shutdown is set before leaving is.
	shutdown atomic.Pointer[wasabirelay.Shutdown]
	once     sync.Once
	drained  chan struct{}
}

// New opens the listeners and assembles the node; Run serves. It returns
// ErrInvalid for settings that cannot be used and ErrUnavailable for an address
// on which it cannot listen.
func New(o Options) (*Node, error) {
	if o.Settings.Hosted == nil {
		return nil, wasabiridge.ErrInvalid.New("node: the settings have no section hosted")
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	n := &Node{
		options:        o,
		bounds:         o.Settings.Hosted.Bounds.Resolve(),
		incarnation:    wasabiridge.Incarnation(o.Clock.Now()),
		drained:        make(chan struct{}),
		placed:         make(chan struct{}, 1),
		migrationQueue: make(chan wasabiridge.BackendServerID, migrationQueueSize),
	}
	n.log = wasabilog.New(o.Log, o.Settings.LogLevel).With().Str(wasabilog.InstanceField, string(o.Settings.Instance)).Logger()
	n.activeConfig.Store(&activeConfig{config: &wasabiridge.Config{}})
	n.cells = newCells(o.Settings.Zone)
	n.terms.Store(&n.bounds)
	if err := n.assemble(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// assemble creates the components, connects them to each other and opens the
// listeners.
func (n *Node) assemble() error {
	o, s := n.options, n.options.Settings
	seed := uint64(s.Seed)
	if seed == 0 {
		seed = rand.Uint64()
	}
	n.limits = serverLimits{log: wasabilog.Part(n.log, "limit"), byServer: map[wasabiridge.BackendServerID]serverLimit{}}
	n.notices.log = wasabilog.Part(n.log, "notice")
	n.timeline = wasabitimeline.New(wasabitimeline.Options{Instance: s.Instance, Clock: o.Clock, Capacity: timelineCapacity})
	n.placer = wasabireplica.New(wasabireplica.Options{
		Seed: seed, Self: s.Instance, Zone: s.Zone, DearCrossings: s.Hosted.ZoneCrossing == wasabisettings.CrossingDear, UnevenServers: s.Hosted.UnevenServers, WeightsDeadline: n.bounds.OldWeightsLifetime - weightsMargin,
		RetryRatio: n.bounds.RetryRatio, RetrySlack: n.bounds.RetrySlack, RetryWindow: n.bounds.RetryWindow,
		Rollouts: o.Platform.Features.Rollouts, MaxExposure: n.bounds.TrialShare,
		BoundWaits: s.Hosted.SharesPools(o.Platform.Features),
	})
	n.rollouts = newRollouts(n)
	n.guard = wasabilistener.NewGuard(wasabilistener.Options{Clock: o.Clock, Log: wasabilog.Part(n.log, "listener")})
	n.ports = wasabilistener.Divide(wasabilistener.Descriptors(s.Descriptors), s.ConnectionBytes())
	limiter := n.assembleShares(seed)
	n.reach = &reach{
		log: wasabilog.Part(n.log, "reach"), clock: o.Clock, runner: o.Platform.Runner, seed: seed,
		pools: func() []wasabiridge.Pool { return n.activeConfig.Load().config.Pools }, changed: n.pathChanged,
		poolOf: func(b wasabiridge.BackendServerID) (wasabiridge.Pool, bool) { return n.activeConfig.Load().poolOf(b) },
	}
	n.reach.prober, _ = o.Platform.Runner.(wasabiridge.BackendProber)
	n.registry = wasabistream.NewRegistry(wasabistream.RegistryOptions{
		Self: s.Instance, Source: wasabirollout.NewSoftwareSource(o.Platform.Source, o.Platform.Table), Rows: o.Platform.Table, Clock: o.Clock,
		Log: wasabilog.Part(n.log, "stream"),
	})
	n.quarantine = wasabiquarantine.NewController(wasabiquarantine.ControllerOptions{
		Self: s.Instance, Incarnation: n.incarnation, Clock: o.Clock, Seed: seed, Log: wasabilog.Part(n.log, "quarantine"),
		Members: func() []wasabiridge.Member { return n.members.Members() }, Active: n.activeEntries, Rows: o.Platform.Table,
		Send: n.sendUpdate, Epoch: n.storeEpoch,
	})
	n.quota = wasabiquota.NewController(wasabiquota.ControllerOptions{
		Self: s.Instance, Incarnation: n.incarnation, Clock: o.Clock, Log: wasabilog.Part(n.log, "quota"), Rows: o.Platform.Table,
		Members: func() []wasabiridge.Member { return n.members.Members() }, Active: n.activeEntries,
		Send: n.sendUpdate, Epoch: n.storeEpoch,
	})
	n.fanout = wasabifanout.New(wasabifanout.Options{Self: n.self()})
	core := wasabicore.New(wasabicore.Options{
		Placer: n.placer, Limiter: limiter, Quarantine: n.quarantine.Table(), Quota: n.quota.Table(), Instance: s.Instance,
		FirstAttempt: wasabiridge.AttemptID(n.incarnation) << attemptBits,
	})
	n.loop = wasabiloop.New(wasabiloop.Options{
		Decider: core, Clock: o.Clock, Recorder: placementRecorder{next: n.timeline, wake: n.placed}, RingSize: ringSize,
	})
	n.shares.loop = n.loop
	n.quarantine.SetLoop(n.loop)
	n.quota.SetLoop(n.loop)
	if err := n.assemblePeers(seed); err != nil {
		return err
	}
	n.catalog = wasabicatalog.NewController(wasabicatalog.Options{
		Self: n.self(), Clock: o.Clock, Source: n.registry, Peers: n.client, Members: n.members.Members, Active: n.activeEntries,
		Log: wasabilog.Part(n.log, "catalog"), OnChange: n.adopt, OnUpdate: n.applyUpdate,
	})
	n.upgrade = wasabiupgrade.NewController(wasabiupgrade.Options{
		Self: s.Instance, Address: s.Peer.Address, Incarnation: n.incarnation, Clock: o.Clock, Table: o.Platform.Table, Engines: o.Platform.Engines,
		Recorder: n.timeline, Catalog: n.wantedWeights, Epoch: n.storeEpoch, Rank: n.rank, Unfit: n.isUnfit, Send: n.sendBackoffs, Log: wasabilog.Part(n.log, "upgrade"),
		Timing: wasabiupgrade.Timing{LeaseTerm: n.bounds.LeaseTerm},
	})
	n.held = wasabiheld.New(wasabiheld.Options{Limit: s.HeldBytes(), Clock: o.Clock, Log: wasabilog.Part(n.log, "held")})
	n.relay = wasabirelay.New(wasabirelay.Options{
		Instance: s.Instance, Clock: o.Clock, Log: wasabilog.Part(n.log, "relay"), Loop: n.loop,
		Runner: n.reach, Protocol: o.Platform.Protocol, View: n.view,
		MaxKeyAge:  func() wasabiridge.Millis { return n.terms.Load().RevokedKeyLifetime - keyMargin },
		MaxDenyAge: func() wasabiridge.Millis { return n.terms.Load().ConfigPropagationTime * denyPercent / 100 },
		Accepts:    n.accepts, Streams: n.streams, Detour: &detour{Forwarder: n.forwards, node: n},
		Held: n.held, Leaving: n.leaving.Load, Shutdown: n.shutdownTimes, Mover: o.Platform.Migrator, Hasher: wasabifingerprint.New([]byte(openPeerKey)),
	})
	n.book = wasabiaddress.New(wasabiaddress.Options{
		Self: n.self(), Members: n.members.Members, SnapshotMembers: true, Detached: n.reach.detached, Strained: n.strained.Load, Lifetime: wasabiridge.Millis(addressShare * float64(n.bounds.AddressLifetime)),
	})
	return n.listen()
}

// Entry returns this instance's identity, addresses and capacity as other
// instances receive them.
func (n *Node) Entry() wasabiridge.InstanceEntry { return n.self() }

// storeEpoch returns the newest known epoch of the store.
func (n *Node) storeEpoch() wasabiridge.StoreEpoch { return n.catalog.Epoch() }

// self returns the entry of this instance in the membership and in the directory.
func (n *Node) self() wasabiridge.InstanceEntry {
	s := n.options.Settings
	return wasabiridge.InstanceEntry{
		ID: s.Instance, Zone: s.Zone, Region: s.Region, CallerURL: s.Caller.URL, PeerAddress: s.Peer.Address,
		Capacity: s.Capacity,
	}
}

// assemblePeers creates the peer client and listener, the roster and the
// membership.
func (n *Node) assemblePeers(seed uint64) error {
	s := n.options.Settings.Peer
	o := wasabipeer.Options{Clock: n.options.Clock, Key: []byte(openPeerKey)}
	var err error
	if n.client, err = wasabipeer.NewClient(o); err != nil {
		return err
	}
	o.StreamWindow, o.AckTimeout = wasabipeer.ForwardWindow, wasabipeer.ForwardAckTimeout
	if n.forwards, err = wasabipeer.NewClient(o); err != nil {
		return err
	}
	n.streams = wasabistream.New(wasabistream.Options{
		Clock: n.options.Clock, Active: n.otherActive, Members: n.others, Listed: n.listed, Registry: n.registry, Finder: n.client, Send: n.sendUpdate,
		Ended: new(wasabiending.Checker).HasEnded, Log: wasabilog.Part(n.log, "stream"),
	})
	o.Listen = n.guard.Port(wasabilistener.PortOptions{Name: "peer", Share: n.ports.Peer, Limits: n.callerLimits, Overhead: wasabipeer.ConnectionBytes, Opaque: true}).Listen
	if n.server, err = wasabipeer.Listen(s.Listen, peerHandler{node: n}, o); err != nil {
		return err
	}
	n.roster = &roster{seeds: s.Seeds, table: n.options.Platform.Table, self: n.self(), alone: n.isAlone, rank: n.rank, epoch: n.storeEpoch}
	n.members = wasabimember.NewController(wasabimember.ControllerOptions{
		Self: n.self(), Incarnation: n.incarnation, Seed: seed, Clock: n.options.Clock,
		List: n.roster, Peers: n.client, Log: wasabilog.Part(n.log, "member"), Recorder: n.timeline,
		HybridNow: n.timeline.Now, ObserveHybrid: n.timeline.Observe,
	})
	return nil
}
