// Package wasabiconfig accepts configurations, keeps their history in the
// platform's table and spreads them over all instances.
//
// A Machine decides what is in force; a Keeper drives it with goroutines, the
// table and the peers. An accepted version is one compare-and-swap of the head
// row together with a new row of the history. Peers carry the version number
// in their heartbeats; who hears of a newer one fetches the document from the
// peer that has it. Slow reads of the table find what no peer could tell.
//
// # Usage
//
//	keeper := wasabiconfig.NewKeeper(wasabiconfig.Options{
//		Self: "pos-1", Incarnation: 17, Clock: clock, Table: table,
//		Peers: peers, Membership: members,
//		Adopted: func(cfg wasabiridge.Config) { decide(cfg) },
//	})
//	go keeper.Run(ctx)
//	keeper.Heard(member)
//	version, err := keeper.Put(ctx, base, text, "ana")
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
	// inboxSize bounds the events that wait for the machine.
	inboxSize = 256
	tick      = 50 * time.Millisecond
)

// Membership is what a Keeper needs to know of the other instances.
// Implementations are safe for concurrent use.
type Membership interface {
	// Members returns the instances that are known, without this one.
	Members() []wasabiridge.Member
	// Announce exchanges heartbeats with up to n random instances at once. It
	// does not wait for them.
	Announce(n int)
}

// Options set up a Keeper.
type Options struct {
	Self        wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	Clock       wasabiridge.Clock
	Table       wasabiridge.Table
	Peers       wasabiridge.PeerClient
	Membership  Membership
	// Adopted is called by the goroutine of the keeper for each version that
	// comes into force, in rising order. It must not block for long.
	Adopted func(cfg wasabiridge.Config)
	Log     zerolog.Logger
	// Seed makes the random choices differ between instances.
	Seed uint64
	// Sleep waits between the attempts of a write. Nil waits in real time.
	Sleep wasabifault.SleepFunc
}

// Keeper is a wasabiridge.ConfigKeeper. It is safe for concurrent use.
type Keeper struct {
	options Options
	archive archive
	// inbox joins callers and answers to the goroutine of the machine. When
	// it is full, news of peers is dropped, because the next heartbeat brings
	// it again; everything else waits.
	inbox   chan delivery
	current atomic.Pointer[state]
	// ended is closed when Run returns, so that an edit that the table took
	// just before is still answered.
	ended chan struct{}
}

type state struct {
	document wasabiridge.ConfigDocument
	config   wasabiridge.Config
}

// delivery is an event with a channel that is closed once it was handled.
type delivery struct {
	event Event
	done  chan struct{}
}

var _ wasabiridge.ConfigKeeper = (*Keeper)(nil)

// NewKeeper returns a keeper without a configuration. Run starts it.
func NewKeeper(o Options) *Keeper {
	writer := wasabitable.NewWriter(o.Table, wasabitable.WriterOptions{
		Name:  fmt.Sprintf("%s/%d/config", o.Self, o.Incarnation),
		Sleep: o.Sleep,
	})
	k := &Keeper{
		options: o,
		archive: archive{table: o.Table, writer: writer},
		inbox:   make(chan delivery, inboxSize),
		ended:   make(chan struct{}),
	}
	k.current.Store(&state{})
	return k
}

// Run drives the machine until the context ends. It is called once.
func (k *Keeper) Run(ctx context.Context) {
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

// carryOut starts what an effect asks for. The machine has at most one fetch
// and one read under way, so the goroutines are few.
func (k *Keeper) carryOut(ctx context.Context, e Effect) {
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
		k.options.Log.Error().Err(e.Err).Uint64("version", uint64(e.Version)).Msg("Configuration cannot be used here.")
	}
}

func (k *Keeper) fetch(ctx context.Context, address string) {
	bounded, cancel := context.WithTimeout(ctx, maxFetchPause.Duration())
	defer cancel()
	d, err := k.options.Peers.FetchConfig(bounded, address)
	k.deliver(ctx, Fetched{Address: address, Document: d, Err: err})
}

func (k *Keeper) readTable(ctx context.Context, have wasabiridge.ConfigVersion) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	d, err := k.archive.newer(bounded, have)
	k.deliver(ctx, TableRead{Document: d, Err: err})
}

// deliver waits for room and until the event was handled, or until nobody is
// left to handle it.
func (k *Keeper) deliver(ctx context.Context, e Event) {
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

// Heard takes the version that another instance says is in force there. It
// never blocks.
func (k *Keeper) Heard(m wasabiridge.Member) {
	if m.Config <= k.Version() {
		return
	}
	select {
	case k.inbox <- delivery{event: Heard{Address: m.PeerAddress, Version: m.Config}}:
	default:
	}
}

// Version returns the version in force here, for heartbeats.
func (k *Keeper) Version() wasabiridge.ConfigVersion { return k.current.Load().document.Version }

// Current returns the document and the configuration in force here.
func (k *Keeper) Current() (wasabiridge.ConfigDocument, wasabiridge.Config) {
	s := k.current.Load()
	return s.document, s.config
}

// HandleFetchConfig answers a peer with the configuration in force here.
func (k *Keeper) HandleFetchConfig(context.Context) (wasabiridge.ConfigDocument, error) {
	d, _ := k.Current()
	if d.Version == 0 {
		return d, wasabiridge.ErrNotFound.New("no configuration is in force here")
	}
	return d, nil
}

// Put checks a configuration as a whole and makes it the successor of base.
func (k *Keeper) Put(ctx context.Context, base wasabiridge.ConfigVersion, text []byte, author string) (wasabiridge.ConfigVersion, error) {
	if len(text) > MaxText {
		return 0, wasabiridge.ErrInvalid.New("configuration has %d bytes, more than %d", len(text), MaxText)
	}
	var err error
	if _, err = wasabirule.Parse(text); err != nil {
		return 0, err
	}
	var h head
	if h, err = k.archive.head(ctx); err != nil {
		return 0, wasabiridge.ErrUnavailable.Wrap(err, "nothing was changed")
	}
	newest := k.newest(h)
	if base > newest.Version {
		return 0, wasabiridge.ErrConflict.New("your change starts from version %d, and the newest is %d", base, newest.Version)
	}
	if base < newest.Version {
		return 0, k.conflict(ctx, base, newest)
	}
	d := wasabiridge.ConfigDocument{Version: base + 1, Text: text, Author: author, At: k.options.Clock.Now()}
	if err = k.archive.accept(ctx, h, d); err != nil {
		return 0, k.notAccepted(ctx, base, err)
	}
	k.deliver(ctx, Accepted{Document: d})
	return d.Version, nil
}

// newest returns the newest version that is known. A table that was restored
// from a copy may be behind what is in force; going on from its head would
// make a version that no instance ever takes, because versions only rise.
func (k *Keeper) newest(h head) wasabiridge.ConfigDocument {
	if d, _ := k.Current(); d.Version > h.document.Version {
		return d
	}
	return h.document
}

// notAccepted explains a write that failed. After a lost race it reads what
// the race was lost against.
func (k *Keeper) notAccepted(ctx context.Context, base wasabiridge.ConfigVersion, err error) error {
	if errorx.IsOfType(err, wasabiridge.ErrOutcomeUnknown) {
		k.deliver(ctx, Doubted{})
		return wasabiridge.ErrOutcomeUnknown.Wrap(err, "version %d may have been accepted; the history will tell", base+1)
	}
	if !errorx.IsOfType(err, wasabiridge.ErrConflict) {
		return err
	}
	h, headErr := k.archive.head(ctx)
	if headErr != nil {
		return wasabiridge.ErrConflict.Wrap(err, "another change came first, and it cannot be read now")
	}
	return k.conflict(ctx, base, h.document)
}

func (k *Keeper) conflict(ctx context.Context, base wasabiridge.ConfigVersion, newest wasabiridge.ConfigDocument) error {
	c := Conflict{Base: base, Version: newest.Version, Author: newest.Author, At: newest.At}
	from, fromErr := k.document(ctx, base)
	to, toErr := k.document(ctx, newest.Version)
	if fromErr == nil && toErr == nil {
		c.Changes = changesBetween(from, to)
	}
	return c.err()
}

func (k *Keeper) document(ctx context.Context, v wasabiridge.ConfigVersion) (wasabiridge.ConfigDocument, error) {
	if v == 0 {
		return wasabiridge.ConfigDocument{}, nil
	}
	if d, _ := k.Current(); d.Version == v {
		return d, nil
	}
	return k.archive.read(ctx, v)
}

// History returns accepted documents, newest first.
func (k *Keeper) History(ctx context.Context, limit int) ([]wasabiridge.ConfigDocument, error) {
	return k.archive.history(ctx, limit)
}

// Status tells where which version is in force, this instance first. It is
// what the heartbeats said last.
func (k *Keeper) Status(context.Context) ([]wasabiridge.InstanceConfig, error) {
	status := []wasabiridge.InstanceConfig{{Instance: k.options.Self, Version: k.Version(), Reached: true}}
	for _, m := range k.options.Membership.Members() {
		status = append(status, wasabiridge.InstanceConfig{Instance: m.ID, Version: m.Config, Reached: !m.Suspect})
	}
	return status, nil
}
