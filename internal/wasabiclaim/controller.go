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
	// inboxSize bounds the queue from callers to the goroutine that owns the row
	// machine. When it is full, callers wait until their context ends.
	inboxSize = 1024
	// jobsSize bounds the queue to the goroutines that call the table. When it is
	// full, further jobs wait in a list of the goroutine that owns the row
	// machine, which is bounded by one transaction and one read per open claim.
	jobsSize = 64
	// tableReaders is the number of goroutines that read the table.
	tableReaders = 4
	// tickInterval is the interval at which the row machine is ticked.
	tickInterval = 20 * time.Millisecond
	// tableTimeout bounds one call to the table.
	tableTimeout = 5 * time.Second
)

// Options configure a Controller.
type Options struct {
	Self wasabiridge.InstanceID
	// Incarnation must be different after every restart of the instance.
	Incarnation wasabiridge.Incarnation
	// Secret authenticates tickets. All instances share it.
	Secret []byte
	Table  wasabiridge.Table
	Peers  wasabiridge.PeerClient
	Clock  wasabiridge.Clock
	// Members returns the instances in the membership view. Controller uses the peer
	// addresses of ticket issuers, the number of instances that share the table's
	// writes, and the incarnations, by which it recognises that a holder has
	// restarted. Without Members and Peers only tickets of this instance are
	// decided; the outcome of others is unknown.
	Members func() []wasabiridge.Member
	// PeerAddress returns the peer address of an instance, and InstanceCount the number
	// of instances. They replace Members for these uses. Both may be nil.
	PeerAddress   func(wasabiridge.InstanceID) (string, bool)
	InstanceCount func() int
	// LogicalTime returns a time that is no earlier than any time received from
	// other instances, such as the hybrid time of the timeline. It prevents the
	// retention of rows from ending early when the clock of this instance is
	// behind. With nil only the write times of rows are used for that.
	LogicalTime func() wasabiridge.Millis
	// SweepInterval is the interval between two sweeps of rows whose retention is
	// over. One instance sweeps for all. Zero means one hour, and a negative value
	// disables sweeps.
	SweepInterval wasabiridge.Millis
	// Recorder receives timeline events. With nil none are recorded.
	Recorder wasabiridge.Recorder
	Limits   Limits
}

// Controller implements wasabiridge.Claimer and wasabiridge.ClaimGate. It is safe
// for concurrent use. Claims by row are decided only while Run is running. Claims
// by ticket need Run only to send releases to issuers that could not be reached at
// first.
type Controller struct {
	options Options
	secret  []byte

	mu      sync.Mutex
	tickets *ticketMachine
	gate    *sendGate

	calls    atomic.Uint64
	inbox    chan message
	results  chan rowEvent
	releases chan wasabiridge.ClaimResult
	// stopped is closed when nobody reads the inbox any more.
	stopped chan struct{}

	// posted counts messages that the row machine has not handled yet.
	posted          atomic.Int64
	unsettled       atomic.Int64
	droppedRows     atomic.Uint64
	droppedReleases atomic.Uint64
	sweepFailures   atomic.Uint64

	sweepMu sync.Mutex
	sweep   sweeper
}

var (
	_ wasabiridge.Claimer   = (*Controller)(nil)
	_ wasabiridge.ClaimGate = (*Controller)(nil)
)

// message is an event from a caller. For a claim, reply receives the outcome of the
// call with the number call.
type message struct {
	event rowEvent
	call  uint64
	reply chan wasabiridge.ClaimOutcome
}

// New returns a Controller without claims.
func New(o Options) *Controller {
	o.Limits = o.Limits.withDefaults()
	if o.SweepInterval == 0 {
		o.SweepInterval = wasabiridge.Hour
	}
	issuer := ticket{Instance: o.Self, Incarnation: o.Incarnation, Nonce: randomNonce()}
	return &Controller{
		options:  o,
		secret:   append([]byte(nil), o.Secret...),
		tickets:  newTicketMachine(issuer, o.Limits),
		gate:     newSendGate(),
		inbox:    make(chan message, inboxSize),
		results:  make(chan rowEvent, jobsSize),
		releases: make(chan wasabiridge.ClaimResult, releasesSize),
		stopped:  make(chan struct{}),
	}
}

func randomNonce() uint64 {
	var b [8]byte
	// Read never returns an error; it ends the program when the system's random
	// source fails.
	rand.Read(b[:]) //nolint:errcheck // see above
	return binary.LittleEndian.Uint64(b[:])
}

// Ticket issues a new key for the client account. Claims with it are decided by
// this instance without a write.
func (k *Controller) Ticket(account wasabiridge.ClientAccountID) string {
	k.mu.Lock()
	t := k.tickets.issue(k.options.Clock.Now())
	k.mu.Unlock()
	return encodeTicket(k.secret, account, t)
}

// Claim requests the right to run a request. It always returns an outcome; for a
// ticket that no instance with the secret issued the outcome is unknown.
//
// Every call claims under an identifier of its own. The release of an earlier,
// abandoned call may still be in flight to an issuer; it must never release what a
// later call for the same request was granted.
func (k *Controller) Claim(ctx context.Context, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	request := q.Request
	q.Holder, q.Incarnation = k.options.Self, k.options.Incarnation
	call := k.calls.Add(1)
	q.Request += wasabiridge.RequestID("~" + strconv.FormatUint(call, 36))
	var out wasabiridge.ClaimOutcome
	var err error
	if isTicket(q.Key) {
		out, err = k.claimTicket(ctx, q)
	} else {
		out, err = k.claimRow(ctx, call, q)
	}
	if err == nil && out.State == wasabiridge.ClaimGranted {
		k.gate.open(request, q.Request)
	}
	k.record(request, q.Account, out)
	return out, err
}

// BeginSend must be called right before the first byte of a claimed request is
// sent. It returns ErrConflict when the request holds no claim, or no longer; then
// it must not be sent.
func (k *Controller) BeginSend(request wasabiridge.RequestID) error {
	return k.gate.countSend(request)
}

// RecordNotRun records that the last send of the request did not run, as reported
// by its backend server.
func (k *Controller) RecordNotRun(request wasabiridge.RequestID) {
	k.gate.uncountSend(request)
}

// Finish records the end of a granted request. It returns ErrConflict when the
// request holds no claim. It may return before the end is written to the table;
// Drain waits for that.
func (k *Controller) Finish(ctx context.Context, r wasabiridge.ClaimResult) error {
	r.Query.Holder, r.Query.Incarnation = k.options.Self, k.options.Incarnation
	held := k.gate.close(r.Query.Request)
	if held == nil {
		return wasabiridge.ErrConflict.New("claim: request %s holds no claim", r.Query.Request)
	}
	r.Query.Request = held.claimedAs
	if held.sends > 0 {
		r.Disposition = r.Disposition.Advance(wasabiridge.MaybeRun)
	}
	if isTicket(r.Query.Key) {
		return k.finishTicket(ctx, r)
	}
	return k.post(context.WithoutCancel(ctx), message{event: claimEnded{Result: r}})
}

func (k *Controller) claimRow(ctx context.Context, call uint64, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	m := message{call: call, reply: make(chan wasabiridge.ClaimOutcome, 1)}
	m.event = claimRequested{Call: claimCall{number: m.call, query: q}}
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
	// The caller left. The claim may be granted at this moment, or was granted right
	// before. The request was not added to the send gate, so it cannot have been sent
	// and releasing its claim is safe.
	left := claimAbandoned{Call: m.call, Key: rowKey(q.Account, q.Key)}
	if err := k.post(context.WithoutCancel(ctx), message{event: left}); err != nil {
		return unknownNotSent(), nil
	}
	return unknownNotSent(), nil
}

func (k *Controller) post(ctx context.Context, m message) error {
	k.posted.Add(1)
	select {
	case k.inbox <- m:
		return nil
	case <-ctx.Done():
	case <-k.stopped:
	}
	k.posted.Add(-1)
	return wasabiridge.ErrUnavailable.New("claim: queue for claims by row is full, or Run has ended")
}

func (k *Controller) record(r wasabiridge.RequestID, a wasabiridge.ClientAccountID, out wasabiridge.ClaimOutcome) {
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
