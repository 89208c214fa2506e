package wasabiclaim

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// inboxSize bounds the ring from callers to the deciding goroutine. When
	// it is full, callers wait until their context ends.
	inboxSize = 1024
	// jobsSize bounds the ring to the goroutines that call the table. When
	// it is full, the deciding goroutine keeps the work in its own list,
	// which is bounded by one transaction and one read per open claim.
	jobsSize = 64
	// tableReaders is how many goroutines read the table.
	tableReaders = 4
	// tickEvery is the pause between two ticks.
	tickEvery = 20 * time.Millisecond
	// tableTimeout bounds one call to the table.
	tableTimeout = 5 * time.Second
)

// Options set up a Keeper.
type Options struct {
	Self wasabiridge.InstanceID
	// Incarnation must differ between all lives of the instance.
	Incarnation wasabiridge.Incarnation
	// Secret authenticates tickets. All instances share it.
	Secret []byte
	Table  wasabiridge.Table
	Peers  wasabiridge.PeerClient
	Clock  wasabiridge.Clock
	// Members returns the instances that are known. They tell where issuers
	// of tickets are reached, how many instances share the writes of the
	// table, and which lives of instances are over. Without Members and Peers
	// only tickets of this instance are decided; the outcome of others is
	// unknown.
	Members func() []wasabiridge.Member
	// Locate returns the peer address of an instance, and Instances their
	// number, in place of Members. Both may be nil.
	Locate    func(wasabiridge.InstanceID) (string, bool)
	Instances func() int
	// AgreedNow returns a time that is no earlier than what other instances
	// have said of theirs, such as the hybrid time of the time line. It keeps
	// rows from ending early when the clock of this instance is behind. Nil
	// leaves that to the times of rows.
	AgreedNow func() wasabiridge.Millis
	// SweepEvery is the pause between two sweeps of rows whose retention is
	// over, by one instance for all. Zero means one hour, and a negative
	// span never.
	SweepEvery wasabiridge.Millis
	// Recorder takes time line events. Nil records nothing.
	Recorder wasabiridge.Recorder
	Limits   Limits
}

// Keeper implements wasabiridge.Claimer and wasabiridge.ClaimGate. It is safe
// for concurrent use. Run must be running for claims of rows to be decided;
// tickets need no Run but for telling other issuers of claims that were given
// up.
type Keeper struct {
	options Options
	secret  []byte

	mu      sync.Mutex
	tickets *ticketBook
	gate    *sendGate

	asks     atomic.Uint64
	inbox    chan message
	results  chan rowEvent
	releases chan wasabiridge.ClaimResult
	// stopped is closed when nobody reads the inbox any more.
	stopped chan struct{}

	// posted counts messages that the deciding goroutine has not handled.
	posted          atomic.Int64
	unsettled       atomic.Int64
	droppedRows     atomic.Uint64
	droppedReleases atomic.Uint64
	sweepFailures   atomic.Uint64

	sweepMu sync.Mutex
	sweep   sweeper
}

var (
	_ wasabiridge.Claimer   = (*Keeper)(nil)
	_ wasabiridge.ClaimGate = (*Keeper)(nil)
)

// message is an event of a caller, with the place for its answer.
type message struct {
	event rowEvent
	ask   uint64
	reply chan wasabiridge.ClaimOutcome
}

// New returns a keeper without claims.
func New(o Options) *Keeper {
	o.Limits = o.Limits.withDefaults()
	if o.SweepEvery == 0 {
		o.SweepEvery = wasabiridge.Hour
	}
	life := ticket{Instance: o.Self, Incarnation: o.Incarnation, Life: randomLife()}
	return &Keeper{
		options:  o,
		secret:   append([]byte(nil), o.Secret...),
		tickets:  newTicketBook(life, o.Limits),
		gate:     newSendGate(),
		inbox:    make(chan message, inboxSize),
		results:  make(chan rowEvent, jobsSize),
		releases: make(chan wasabiridge.ClaimResult, releasesSize),
		stopped:  make(chan struct{}),
	}
}

func randomLife() uint64 {
	var b [8]byte
	// Read never fails; it ends the program when the system has no
	// randomness.
	rand.Read(b[:]) //nolint:errcheck // see above
	return binary.LittleEndian.Uint64(b[:])
}

// Ticket returns a new key that this instance decides on without a write.
func (k *Keeper) Ticket(account wasabiridge.ClientAccountID) string {
	k.mu.Lock()
	t := k.tickets.issue(k.options.Clock.Now())
	k.mu.Unlock()
	return encodeTicket(k.secret, account, t)
}

// Claim asks for the right to run a request. It always decides; a ticket that
// no instance with the secret made has an unknown outcome.
//
// Every call asks under an identifier of its own. A word that an earlier call
// was given up may still be on its way to an issuer; it must never release
// what a later call of the same request was granted.
func (k *Keeper) Claim(ctx context.Context, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	request := q.Request
	q.Holder, q.Incarnation = k.options.Self, k.options.Incarnation
	ask := k.asks.Add(1)
	q.Request += wasabiridge.RequestID("~" + strconv.FormatUint(ask, 36))
	var out wasabiridge.ClaimOutcome
	var err error
	if isTicket(q.Key) {
		out, err = k.claimTicket(ctx, q)
	} else {
		out, err = k.claimRow(ctx, ask, q)
	}
	if err == nil && out.State == wasabiridge.ClaimGranted {
		k.gate.open(request, q.Request)
	}
	k.record(request, q.Account, out)
	return out, err
}

// BeginSend is called right before the first byte of a claimed request is
// sent. It reports ErrConflict when nothing may be sent any more.
func (k *Keeper) BeginSend(request wasabiridge.RequestID) error {
	return k.gate.pass(request)
}

// SendNotRun says that the last send of the request did not run, by the word
// of its backend server.
func (k *Keeper) SendNotRun(request wasabiridge.RequestID) {
	k.gate.takeBack(request)
}

// Finish records the end of a granted request. It returns before the end is
// written to the table; Drain waits for that.
func (k *Keeper) Finish(ctx context.Context, r wasabiridge.ClaimResult) error {
	r.Query.Holder, r.Query.Incarnation = k.options.Self, k.options.Incarnation
	held := k.gate.close(r.Query.Request)
	if held == nil {
		return wasabiridge.ErrConflict.New("claim: request %s holds no claim", r.Query.Request)
	}
	r.Query.Request = held.asked
	if held.sends > 0 {
		r.Disposition = r.Disposition.Advance(wasabiridge.MaybeRun)
	}
	if isTicket(r.Query.Key) {
		return k.finishTicket(ctx, r)
	}
	return k.post(context.WithoutCancel(ctx), message{event: claimEnded{Result: r}})
}

func (k *Keeper) claimRow(ctx context.Context, ask uint64, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	m := message{ask: ask, reply: make(chan wasabiridge.ClaimOutcome, 1)}
	m.event = claimAsked{asker: asker{ask: m.ask, query: q}}
	if err := k.post(ctx, m); err != nil {
		return unknownNotSent(), nil
	}
	select {
	case out := <-m.reply:
		if out.State != wasabiridge.ClaimGranted || ctx.Err() == nil {
			return out, nil
		}
	case <-ctx.Done():
	case <-k.stopped:
		return unknownNotSent(), nil
	}
	// The caller left. The claim may be granted at this moment, or was right before;
	// the gate of the request was never opened, so releasing it is safe.
	left := claimAbandoned{Ask: m.ask, Key: rowKey(q.Account, q.Key)}
	if err := k.post(context.WithoutCancel(ctx), message{event: left}); err != nil {
		return unknownNotSent(), nil
	}
	return unknownNotSent(), nil
}

func (k *Keeper) post(ctx context.Context, m message) error {
	k.posted.Add(1)
	select {
	case k.inbox <- m:
		return nil
	case <-ctx.Done():
	case <-k.stopped:
	}
	k.posted.Add(-1)
	return wasabiridge.ErrUnavailable.New("claim: keeper is busy or stopped")
}

func (k *Keeper) record(r wasabiridge.RequestID, a wasabiridge.ClientAccountID, out wasabiridge.ClaimOutcome) {
	if k.options.Recorder == nil {
		return
	}
	k.options.Recorder.Record(wasabiridge.TimelineEvent{
		At: k.options.Clock.Now(), Instance: k.options.Self, Kind: wasabiridge.EventClaimed,
		Request: r, Account: a, Cause: stateName(out.State),
	})
}

func stateName(s wasabiridge.ClaimState) string {
	names := [...]string{"granted", "running", "answered", "unknown", "mismatch", "unavailable"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}
