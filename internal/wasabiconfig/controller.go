// Package wasabiconfig accepts configurations, stores their history in the platform's
// table and distributes them to all instances.
//
// A Machine decides which version is in force; a Controller drives it with goroutines,
// the table and the peers. A version is accepted by one compare-and-swap of the head
// row together with a new row of the history. Heartbeats carry the version number. An
// instance that receives a higher one than its own fetches the document from that peer.
// Infrequent reads of the table find versions that no heartbeat carried.
//
// # Usage
//
//	controller := wasabiconfig.NewController(wasabiconfig.Options{
//		Self: "pos-1", Incarnation: 17, Clock: clock, Table: table,
//		Peers: peers, Membership: members,
//		Adopted: func(cfg wasabiridge.Config) { decide(cfg) },
//	})
//	go controller.Run(ctx)
//	controller.Receive(member)
//	version, err := controller.Put(ctx, base, text, "ana")
package wasabiconfig

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

const (
	// inboxSize limits the events that wait for the machine.
	inboxSize = 256
	tick      = 50 * time.Millisecond
)

// Membership gives a Controller access to the other instances. Implementations are safe
// for concurrent use.
type Membership interface {
	// Members returns the known instances other than this one.
	Members() []wasabiridge.Member
	// Announce starts heartbeat exchanges with up to n random instances at once. It
	// does not wait for them.
	Announce(n int)
}

// Options configure a Controller.
type Options struct {
	Self        wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	Clock       wasabiridge.Clock
	Table       wasabiridge.Table
	Peers       wasabiridge.PeerClient
	Membership  Membership
	// Adopted is called by the goroutine of the controller for each version that comes
	// into force, in ascending order. It must not block for long.
	Adopted func(cfg wasabiridge.Config)
	Log     zerolog.Logger
	// Seed makes the random choices differ between instances.
	Seed uint64
	// Sleep waits between the attempts of a write. Nil means real time.
	Sleep wasabifault.SleepFunc
}

// Controller is a wasabiridge.ConfigController. It is safe for concurrent use.
type Controller struct {
	options Options
	archive archive
	// inbox carries events from callers and from calls in flight to the goroutine of
	// the machine. When it is full, versions received from peers are dropped, because
	// the next heartbeat carries them again; all other senders wait.
	inbox   chan delivery
	current atomic.Pointer[state]
	// ended is closed when Run returns, so that a Put whose write the table accepted
	// just before still returns.
	ended chan struct{}
}

type state struct {
	document wasabiridge.ConfigDocument
	config   wasabiridge.Config
}

// delivery is an event with a channel that is closed once the event was handled.
type delivery struct {
	event Event
	done  chan struct{}
}

var _ wasabiridge.ConfigController = (*Controller)(nil)

// NewController returns a controller without a configuration. Run starts it.
func NewController(o Options) *Controller {
	writer := wasabitable.NewWriter(o.Table, wasabitable.WriterOptions{
		Name:  fmt.Sprintf("%s/%d/config", o.Self, o.Incarnation),
		Sleep: o.Sleep,
	})
	k := &Controller{
		options: o,
		archive: archive{table: o.Table, writer: writer},
		inbox:   make(chan delivery, inboxSize),
		ended:   make(chan struct{}),
	}
	k.current.Store(&state{})
	return k
}

// Run drives the machine until the context ends. It is called once.
func (k *Controller) Run(ctx context.Context) {
	defer close(k.ended)
	machine := NewMachine(k.options.Seed)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		var d delivery
		select {
		case <-ctx.Done():
			return
		case d = <-k.inbox:
		case <-ticker.C:
			d.event = Ticked{Instances: len(k.options.Membership.Members()) + 1}
		}
		for _, effect := range machine.Handle(k.options.Clock.Now(), d.event) {
			k.carryOut(ctx, effect)
		}
		if d.done != nil {
			close(d.done)
		}
	}
}

// carryOut executes an effect. At most one fetch and one table read of the machine are
// waited for at a time, so the goroutines are few.
func (k *Controller) carryOut(ctx context.Context, e Effect) {
	switch e := e.(type) {
	case FetchFromPeer:
		go k.fetch(ctx, e.Address)
	case ReadTable:
		go k.readTable(ctx, e.Have)
	case Announce:
		k.options.Membership.Announce(e.Peers)
	case Adopt:
		k.current.Store(&state{document: e.Document, config: e.Config})
		k.options.Log.Info().Uint64("version", uint64(e.Document.Version)).Msg("Configuration is in force.")
		if k.options.Adopted != nil {
			k.options.Adopted(e.Config)
		}
	case Reject:
		k.options.Log.Error().Err(e.Err).Uint64("version", uint64(e.Version)).Msg("Configuration cannot be used at this instance.")
	}
}

func (k *Controller) fetch(ctx context.Context, address string) {
	bounded, cancel := context.WithTimeout(ctx, maxFetchTimeout.Duration())
	defer cancel()
	d, err := k.options.Peers.FetchConfig(bounded, address)
	k.deliver(ctx, Fetched{Address: address, Document: d, Err: err})
}

func (k *Controller) readTable(ctx context.Context, have wasabiridge.ConfigVersion) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	d, err := k.archive.newer(bounded, have)
	k.deliver(ctx, TableRead{Document: d, Err: err})
}

// deliver enqueues an event and waits until it was handled, or until Run or the context
// ends.
func (k *Controller) deliver(ctx context.Context, e Event) {
	d := delivery{event: e, done: make(chan struct{})}
	select {
	case k.inbox <- d:
	case <-k.ended:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-d.done:
	case <-k.ended:
	case <-ctx.Done():
	}
}

// Receive receives the version in force at another instance. It never blocks.
func (k *Controller) Receive(m wasabiridge.Member) {
	if m.Config <= k.Version() {
		return
	}
	select {
	case k.inbox <- delivery{event: VersionReceived{Address: m.PeerAddress, Version: m.Config}}:
	default:
	}
}

// Version returns the version in force at this instance, for heartbeats.
func (k *Controller) Version() wasabiridge.ConfigVersion { return k.current.Load().document.Version }

// Current returns the document and the configuration in force at this instance.
func (k *Controller) Current() (wasabiridge.ConfigDocument, wasabiridge.Config) {
	s := k.current.Load()
	return s.document, s.config
}

// HandleFetchConfig returns the configuration in force at this instance to a peer.
func (k *Controller) HandleFetchConfig(context.Context) (wasabiridge.ConfigDocument, error) {
	d, _ := k.Current()
	if d.Version == 0 {
		return d, wasabiridge.ErrNotFound.New("no configuration is in force at this instance")
	}
	return d, nil
}

// Put checks a configuration as a whole and stores it as the successor of base.
func (k *Controller) Put(ctx context.Context, base wasabiridge.ConfigVersion, text []byte, author string) (wasabiridge.ConfigVersion, error) {
	if len(text) > MaxText {
		return 0, wasabiridge.ErrInvalid.New("configuration has %d bytes, more than %d", len(text), MaxText)
	}
	var err error
	if _, err = wasabirule.Parse(text); err != nil {
		return 0, err
	}
	var h head
	if h, err = k.archive.head(ctx); err != nil {
		return 0, wasabiridge.ErrUnavailable.Wrap(err, "cannot read the newest version; nothing was changed")
	}
	newest := k.newest(h)
	if base > newest.Version {
		return 0, wasabiridge.ErrConflict.New("your change is based on version %d, and the newest is %d", base, newest.Version)
	}
	if base < newest.Version {
		return 0, k.conflict(ctx, base, newest)
	}
	d := wasabiridge.ConfigDocument{Version: base + 1, Text: text, Author: author, At: k.options.Clock.Now()}
	if err = k.archive.accept(ctx, h, d); err != nil {
		return 0, k.explainFailure(ctx, base, err)
	}
	k.deliver(ctx, Accepted{Document: d})
	return d.Version, nil
}

// newest returns the newest known version. A table that was restored from a backup may
// be behind the version in force. A successor of its head would then never come into
// force at any instance, because versions only increase.
func (k *Controller) newest(h head) wasabiridge.ConfigDocument {
	if d, _ := k.Current(); d.Version > h.document.Version {
		return d
	}
	return h.document
}

// explainFailure returns the error for a failed write. After a lost race it reads the
// competing version.
func (k *Controller) explainFailure(ctx context.Context, base wasabiridge.ConfigVersion, err error) error {
	if errorx.IsOfType(err, wasabiridge.ErrOutcomeUnknown) {
		k.deliver(ctx, OutcomeUnknown{})
		return wasabiridge.ErrOutcomeUnknown.Wrap(err, "version %d may have been accepted; check the history", base+1)
	}
	if !errorx.IsOfType(err, wasabiridge.ErrConflict) {
		return err
	}
	h, headErr := k.archive.head(ctx)
	if headErr != nil {
		return wasabiridge.ErrConflict.Wrap(err, "another change was accepted first, and it cannot be read now")
	}
	return k.conflict(ctx, base, h.document)
}

func (k *Controller) conflict(ctx context.Context, base wasabiridge.ConfigVersion, newest wasabiridge.ConfigDocument) error {
	c := Conflict{Base: base, Version: newest.Version, Author: newest.Author, At: newest.At}
	from, fromErr := k.document(ctx, base)
	to, toErr := k.document(ctx, newest.Version)
	if fromErr == nil && toErr == nil {
		c.Changes = changesBetween(from, to)
	}
	return c.err()
}

func (k *Controller) document(ctx context.Context, v wasabiridge.ConfigVersion) (wasabiridge.ConfigDocument, error) {
	if v == 0 {
		return wasabiridge.ConfigDocument{}, nil
	}
	if d, _ := k.Current(); d.Version == v {
		return d, nil
	}
	return k.archive.read(ctx, v)
}

// History returns accepted documents, newest first.
func (k *Controller) History(ctx context.Context, limit int) ([]wasabiridge.ConfigDocument, error) {
	return k.archive.history(ctx, limit)
}

// Status returns the version in force at each instance according to the last
// heartbeats, this instance first.
func (k *Controller) Status(context.Context) ([]wasabiridge.InstanceConfig, error) {
	status := []wasabiridge.InstanceConfig{{Instance: k.options.Self, Version: k.Version(), Reached: true}}
	for _, m := range k.options.Membership.Members() {
		status = append(status, wasabiridge.InstanceConfig{Instance: m.ID, Version: m.Config, Reached: !m.Suspect})
	}
	return status, nil
}
