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
	// attemptBits leaves room for the attempts of one life: identifiers of a
	// later life, which starts at least a millisecond later, never meet those
	// of an earlier one as long as a life makes fewer than 2^20 attempts a
	// millisecond.
	attemptBits = 20
	// newsSize bounds the news of backend servers that wait for the loop. A
	// full ring drops the oldest and counts it.
	newsSize = 4096
	// eventStreams bounds the cache event streams that are followed. At the
	// target size an instance cannot afford those of all replicas.
	eventStreams = 64
	// instancesInterval is how often the number of instances is looked at.
	instancesInterval = time.Second
	// secretBytes is the size of a secret that nobody else needs to know.
	secretBytes = 32
)

// parts are what a daemon is made of.
type parts struct {
	platform wasabiplatform.Platform
	timeline *wasabitimeline.Log
	metrics  *wasabimetrics.Set
	loop     *wasabiloop.Loop
	news     *wasabibackend.Ring
	intake   *wasabibackend.Intake
	runner   *wasabibackend.Runner
	claims   *wasabiclaim.Keeper
	// quarantine keeps requests from servers that would end under them.
	quarantine *wasabiquarantine.Keeper
	// quota keeps client accounts to their limits.
	quota    *wasabiquota.Keeper
	outcomes *wasabioutcome.Recorder
	config   *wasabiconfig.Keeper
	rollouts *wasabirollout.Keeper
	peers    peers
	book     *wasabiaddress.Book
	gateway  *wasabigateway.Gateway
}

// join makes the parts and lets them know each other.
func (d *Daemon) join() error {
	s := d.options.Settings
	p := &d.parts
	if s.Platform != nil {
		p.platform = wasabiplatform.Connect(*s.Platform, d.options.Clock)
	}
	p.timeline = wasabitimeline.New(wasabitimeline.Options{Instance: s.Instance, Clock: d.options.Clock})
	p.metrics = wasabimetrics.New()
	p.quarantine = d.newQuarantine()
	p.quota = d.newQuota()
	p.loop = d.newLoop()
	p.quarantine.Join(p.loop)
	p.quota.Join(p.loop)
	if err := d.joinPeers(); err != nil {
		return err
	}
	p.news = wasabibackend.NewRing(newsSize)
	p.intake = wasabibackend.NewIntake(wasabibackend.IntakeOptions{
		Clock: d.options.Clock, Ring: p.news, Seed: d.seed, EventStreams: eventStreams,
	})
	d.joinClaims()
	d.joinOutcomes()
	d.joinConfig()
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

// self describes this instance to callers and to other instances.
func (d *Daemon) self() wasabiridge.InstanceEntry {
	s := d.options.Settings
	return wasabiridge.InstanceEntry{
		ID: s.Instance, Zone: s.Zone, Region: s.Region,
		CallerURL: d.caller.url, PeerAddress: d.peerAddress(),
	}
}

func (d *Daemon) newQuarantine() *wasabiquarantine.Keeper {
	return wasabiquarantine.NewKeeper(wasabiquarantine.KeeperOptions{
		Self: d.options.Settings.Instance, Incarnation: d.incarnation, Clock: d.options.Clock, Seed: d.seed,
		Log: wasabilog.Part(d.log, "quarantine"), Members: d.members, Tell: d.tellNews, Rows: d.parts.platform.Table,
	})
}

func (d *Daemon) newQuota() *wasabiquota.Keeper {
	o := wasabiquota.KeeperOptions{
		Self: d.options.Settings.Instance, Incarnation: d.incarnation, Clock: d.options.Clock,
		Log: wasabilog.Part(d.log, "quota"), Members: d.members, Rows: d.parts.platform.Table,
	}
	if d.options.Settings.Peer.Listen != "" {
		o.Tell = d.tellNews
	}
	return wasabiquota.NewKeeper(o)
}

// tellNews hands news to another instance. Without a peer listener there is none.
func (d *Daemon) tellNews(ctx context.Context, address string, n wasabiridge.News) error {
	if d.parts.peers.client == nil {
		return errNotReady
	}
	return d.parts.peers.client.TellNews(ctx, address, n)
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
		Quarantine:   d.parts.quarantine.Table(),
		Quota:        d.parts.quota.Table(),
		Instance:     d.options.Settings.Instance,
		FirstAttempt: wasabiridge.AttemptID(d.incarnation) << attemptBits,
	})
	return wasabiloop.New(wasabiloop.Options{
		Decider:  core,
		Clock:    d.options.Clock,
		Recorder: d.parts.timeline,
		Ring:     d.options.Settings.Limits.Ring,
	})
}

// joinClaims sets up the keeper of claims. Without a table it is left out, and
// requests that run at most once are refused as not run.
func (d *Daemon) joinClaims() {
	if d.options.Claimer != nil || d.parts.platform.Table == nil {
		return
	}
	d.parts.claims = wasabiclaim.New(wasabiclaim.Options{
		Self:        d.options.Settings.Instance,
		Incarnation: d.incarnation,
		Secret:      d.ticketSecret(),
		Table:       d.parts.platform.Table,
		Peers:       d.peerClient(),
		Clock:       d.options.Clock,
		Locate:      d.locate,
		Instances:   func() int { return len(d.members()) + 1 },
		Recorder:    d.parts.timeline,
	})
	d.options.Claimer = d.parts.claims
}

// ticketSecret returns what authenticates tickets. Alone, an instance needs no
// secret that others know.
func (d *Daemon) ticketSecret() []byte {
	if len(d.parts.peers.secret) > 0 {
		return d.parts.peers.secret
	}
	secret := make([]byte, secretBytes)
	// Read never fails; it ends the program when the system has no
	// randomness.
	_, _ = rand.Read(secret)
	return secret
}

func (d *Daemon) ticket() func(wasabiridge.ClientAccountID) string {
	if d.options.Claimer == nil {
		return nil
	}
	return d.options.Claimer.Ticket
}

func (d *Daemon) joinOutcomes() {
	if d.parts.platform.Objects == nil {
		return
	}
	d.parts.outcomes = wasabioutcome.New(wasabioutcome.Options{
		Instance:    d.options.Settings.Instance,
		Incarnation: d.incarnation,
		Clock:       d.options.Clock,
		Store:       d.parts.platform.Objects,
		Seed:        d.seed,
	})
}

// joinConfig sets up the keepers of the configuration and of rollouts, which
// both live in the platform's table.
func (d *Daemon) joinConfig() {
	if d.parts.platform.Table == nil {
		return
	}
	d.parts.config = wasabiconfig.NewKeeper(wasabiconfig.Options{
		Self:        d.options.Settings.Instance,
		Incarnation: d.incarnation,
		Clock:       d.options.Clock,
		Table:       d.parts.platform.Table,
		Peers:       d.peerClient(),
		Membership:  membership{daemon: d},
		Adopted:     d.Adopt,
		Log:         wasabilog.Part(d.log, "config"),
		Seed:        d.seed,
	})
	d.parts.rollouts = wasabirollout.New(wasabirollout.Options{
		Self:        d.options.Settings.Instance,
		Incarnation: d.incarnation,
		Table:       d.parts.platform.Table,
		Clock:       d.options.Clock,
		Weights:     d.parts.platform.Weights,
		Engines:     wasabiorder.NewClient(nil),
		Config:      func() wasabiridge.Config { return *d.current() },
		Recorder:    d.parts.timeline,
	})
}

func (d *Daemon) newGateway() *wasabigateway.Gateway {
	runner := d.options.Runner
	if runner == nil {
		d.parts.runner = wasabibackend.New(wasabibackend.Options{})
		runner = d.parts.runner
	}
	o := wasabigateway.Options{
		Instance:    d.options.Settings.Instance,
		Incarnation: d.incarnation,
		Clock:       d.options.Clock,
		Log:         wasabilog.Part(d.log, "gateway"),
		Loop:        d.parts.loop,
		Runner:      runner,
		Config:      d.current,
		Names:       wasabifingerprint.New(d.ticketSecret()),
		Claimer:     d.options.Claimer,
		Addresses:   d.parts.book,
		Limits:      d.options.Settings.Limits,
		Leaving:     d.leaving.Load,
	}
	if d.parts.outcomes != nil {
		o.Outcomes = d.parts.outcomes
	}
	return wasabigateway.New(o)
}

// close ends what holds goroutines or connections.
func (p *parts) close() {
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
