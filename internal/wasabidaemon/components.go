package wasabidaemon

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclaim"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconfig"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
	"github.com/wasabiridge/wasabiridge/internal/wasabigateway"
	"github.com/wasabiridge/wasabiridge/internal/wasabilimit"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabimetrics"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
	"github.com/wasabiridge/wasabiridge/internal/wasabioutcome"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplace"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplatform"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
	"github.com/wasabiridge/wasabiridge/internal/wasabirollout"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

const (
	// attemptBits is the number of low bits of an attempt identifier that count
	// attempts; the bits above hold the incarnation, which is the start time in
	// milliseconds. A later incarnation starts at least 1 ms later, so that the
	// identifiers of two incarnations do not collide as long as each makes fewer
	// than 2^20 attempts per millisecond.
	attemptBits = 20
	// eventRingSize is the number of events about backend servers that can wait
	// for the decision loop. A full ring drops its oldest event and counts it.
	eventRingSize = 4096
	// maxEventStreams limits the cache event streams that are read. At the target
	// size, an instance does not have the resources to read those of all
	// replicas.
	maxEventStreams = 64
	// instancesInterval is how often the number of instances is polled.
	instancesInterval = time.Second
	// secretBytes is the size of a generated secret that is not shared with other
	// instances.
	secretBytes = 32
)

// components are the parts of a daemon. Those that need a service of the platform
// or a listener are nil without it.
type components struct {
	platform wasabiplatform.Platform
	timeline *wasabitimeline.Log
	metrics  *wasabimetrics.Set
	loop     *wasabiloop.Loop
	// backendEvents queues the events from intake for loop.
	backendEvents *wasabibackend.Ring
	intake        *wasabibackend.Monitor
	runner        *wasabibackend.Runner
	claims        *wasabiclaim.Controller
	// quarantine blocks requests that crash the backend servers that run them.
	quarantine *wasabiquarantine.Controller
	// quota enforces the limits of client accounts.
	quota    *wasabiquota.Controller
	outcomes *wasabioutcome.Recorder
	config   *wasabiconfig.Controller
	rollouts *wasabirollout.Controller
	peers    peers
	book     *wasabiaddress.Selector
	gateway  *wasabigateway.Gateway
}

// assemble creates the components and connects them.
func (d *Daemon) assemble() error {
	s := d.options.Settings
	p := &d.components
	if s.Platform != nil {
		p.platform = wasabiplatform.Connect(*s.Platform, d.options.Clock)
	}
	p.timeline = wasabitimeline.New(wasabitimeline.Options{Instance: s.Instance, Clock: d.options.Clock})
	p.metrics = wasabimetrics.New()
	p.quarantine = d.newQuarantine()
	p.quota = d.newQuota()
	p.loop = d.newLoop()
	p.quarantine.SetLoop(p.loop)
	p.quota.SetLoop(p.loop)
	if err := d.setUpPeers(); err != nil {
		return err
	}
	p.backendEvents = wasabibackend.NewRing(eventRingSize)
	p.intake = wasabibackend.NewMonitor(wasabibackend.MonitorOptions{
		Clock: d.options.Clock, Ring: p.backendEvents, Seed: d.seed, MaxEventStreams: maxEventStreams,
	})
	d.setUpClaims()
	d.setUpOutcomes()
	d.setUpConfig()
	p.book = wasabiaddress.New(wasabiaddress.Options{
		Self:     d.self(),
		Members:  d.members,
		Lifetime: s.Drain.WithDefaults().AnswerLifetime,
		Ticket:   d.ticket(),
	})
	p.gateway = d.newGateway()
	p.peers.ready.Store(true)
	return d.loadConfig()
}

// self returns the entry that describes this instance to callers and to other
// instances.
func (d *Daemon) self() wasabiridge.InstanceEntry {
	s := d.options.Settings
	return wasabiridge.InstanceEntry{
		ID: s.Instance, Zone: s.Zone, Region: s.Region,
		CallerURL: d.caller.url, PeerAddress: d.peerAddress(),
	}
}

func (d *Daemon) newQuarantine() *wasabiquarantine.Controller {
	return wasabiquarantine.NewController(wasabiquarantine.ControllerOptions{
		Self: d.options.Settings.Instance, Incarnation: d.incarnation, Clock: d.options.Clock, Seed: d.seed,
		Log: wasabilog.Part(d.log, "quarantine"), Members: d.members, Send: d.sendUpdate, Rows: d.components.platform.Table,
	})
}

func (d *Daemon) newQuota() *wasabiquota.Controller {
	o := wasabiquota.ControllerOptions{
		Self: d.options.Settings.Instance, Incarnation: d.incarnation, Clock: d.options.Clock,
		Log: wasabilog.Part(d.log, "quota"), Members: d.members, Rows: d.components.platform.Table,
	}
	if d.options.Settings.Peer.Listen != "" {
		o.Send = d.sendUpdate
	}
	return wasabiquota.NewController(o)
}

// sendUpdate sends a state update to the instance at a peer address. It returns
// errNotReady when this instance has no peer listener and so no peers.
func (d *Daemon) sendUpdate(ctx context.Context, address string, n wasabiridge.StateUpdate) error {
	if d.components.peers.client == nil {
		return errNotReady
	}
	return d.components.peers.client.SendUpdate(ctx, address, n)
}

func (d *Daemon) newLoop() *wasabiloop.Loop {
	placer, limiter := d.options.Placer, d.options.Limiter
	if placer == nil {
		placer = wasabiplace.New(wasabiplace.Options{Seed: d.seed, Zone: d.options.Settings.Zone})
	}
	if limiter == nil {
		limiter = wasabilimit.New(wasabilimit.Options{})
	}
	core := wasabicore.New(wasabicore.Options{
		Placer:       placer,
		Limiter:      limiter,
		Quarantine:   d.components.quarantine.Table(),
		Quota:        d.components.quota.Table(),
		Instance:     d.options.Settings.Instance,
		FirstAttempt: wasabiridge.AttemptID(d.incarnation) << attemptBits,
	})
	return wasabiloop.New(wasabiloop.Options{
		Decider:  core,
		Clock:    d.options.Clock,
		Recorder: d.components.timeline,
		RingSize: d.options.Settings.Limits.RingSize,
	})
}

// setUpClaims creates the claim controller, unless the options contain a claimer. It
// needs the platform's table; without a claimer, requests that must run at most
// once are refused with the disposition not_run.
func (d *Daemon) setUpClaims() {
	if d.options.Claimer != nil || d.components.platform.Table == nil {
		return
	}
	d.components.claims = wasabiclaim.New(wasabiclaim.Options{
		Self:          d.options.Settings.Instance,
		Incarnation:   d.incarnation,
		Secret:        d.ticketSecret(),
		Table:         d.components.platform.Table,
		Peers:         d.peerClient(),
		Clock:         d.options.Clock,
		PeerAddress:   d.locate,
		InstanceCount: func() int { return len(d.members()) + 1 },
		Recorder:      d.components.timeline,
	})
	d.options.Claimer = d.components.claims
}

// ticketSecret returns the secret that authenticates tickets: the secret shared by
// all instances, or a random one when none is set, as for a single instance.
func (d *Daemon) ticketSecret() []byte {
	if len(d.components.peers.secret) > 0 {
		return d.components.peers.secret
	}
	secret := make([]byte, secretBytes)
	// rand.Read never returns an error; it crashes the program when the system
	// provides no random data.
	_, _ = rand.Read(secret)
	return secret
}

func (d *Daemon) ticket() func(wasabiridge.ClientAccountID) string {
	if d.options.Claimer == nil {
		return nil
	}
	return d.options.Claimer.Ticket
}

func (d *Daemon) setUpOutcomes() {
	if d.components.platform.Objects == nil {
		return
	}
	d.components.outcomes = wasabioutcome.New(wasabioutcome.Options{
		Instance:    d.options.Settings.Instance,
		Incarnation: d.incarnation,
		Clock:       d.options.Clock,
		Store:       d.components.platform.Objects,
		Seed:        d.seed,
	})
}

// setUpConfig creates the controllers of the configuration and of rollouts, both of
// which are stored in the platform's table.
func (d *Daemon) setUpConfig() {
	if d.components.platform.Table == nil {
		return
	}
	d.components.config = wasabiconfig.NewController(wasabiconfig.Options{
		Self:        d.options.Settings.Instance,
		Incarnation: d.incarnation,
		Clock:       d.options.Clock,
		Table:       d.components.platform.Table,
		Peers:       d.peerClient(),
		Membership:  membership{daemon: d},
		Adopted:     d.Adopt,
		Log:         wasabilog.Part(d.log, "config"),
		Seed:        d.seed,
	})
	d.components.rollouts = wasabirollout.New(wasabirollout.Options{
		Self:        d.options.Settings.Instance,
		Incarnation: d.incarnation,
		Table:       d.components.platform.Table,
		Clock:       d.options.Clock,
		Weights:     d.components.platform.Weights,
		Engines:     wasabiorder.NewClient(nil),
		Config:      func() wasabiridge.Config { return *d.current() },
		Recorder:    d.components.timeline,
	})
}

func (d *Daemon) newGateway() *wasabigateway.Gateway {
	runner := d.options.Runner
	if runner == nil {
		d.components.runner = wasabibackend.New(wasabibackend.Options{Observe: d.recordMalformed})
		runner = d.components.runner
	}
	o := wasabigateway.Options{
		Instance:    d.options.Settings.Instance,
		Incarnation: d.incarnation,
		Clock:       d.options.Clock,
		Log:         wasabilog.Part(d.log, "gateway"),
		Loop:        d.components.loop,
		Runner:      runner,
		Config:      d.current,
		Hasher:      wasabifingerprint.New(d.ticketSecret()),
		Claimer:     d.options.Claimer,
		Addresses:   d.components.book,
		Limits:      d.options.Settings.Limits,
		Leaving:     d.leaving.Load,
		Held:        d.held,
	}
	if d.components.outcomes != nil {
		o.Outcomes = d.components.outcomes
	}
	return wasabigateway.New(o)
}

// close closes the components that hold goroutines or connections.
func (p *components) close() {
	p.peers.close()
	if p.intake != nil {
		p.intake.Close()
	}
	if p.loop != nil {
		p.loop.Close()
	}
	if p.runner != nil {
		p.runner.Close()
	}
}
