package wasabiheld

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

// reviewInterval is how often a Keeper has its Ledger review what is held.
const reviewInterval = 250 * time.Millisecond

// Options configure a Keeper. Clock is required.
type Options struct {
	// Limit is the number of bytes that may be held. Zero means any number.
	Limit int64
	Clock wasabiridge.Clock
	Log   zerolog.Logger
}

// Keeper counts what the requests of an instance hold, and cuts off those that its Ledger
// names. It is safe for concurrent use.
type Keeper struct {
	options Options
	// reserved are the bytes that all handles have reserved, and network those that the
	// last review assumed.
	reserved, network atomic.Int64
	cuts, refused     atomic.Uint64
	// wake starts a review before its time.
	wake chan struct{}

	mu      sync.Mutex
	ledger  *Ledger
	next    uint64
	handles map[uint64]*Handle
}

// New returns a Keeper, or nil if the options set no limit.
func New(o Options) *Keeper {
	if o.Limit <= 0 {
		return nil
	}
	return &Keeper{options: o, ledger: NewLedger(o.Limit), handles: map[uint64]*Handle{}, wake: make(chan struct{}, 1)}
}

// Counts are what a Keeper has counted. Cuts and Refused count requests since the start.
type Counts struct {
	Limit, Held   int64
	Cuts, Refused uint64
}

// Counts returns the counts.
func (k *Keeper) Counts() Counts {
	if k == nil {
		return Counts{}
	}
	return Counts{Limit: k.options.Limit, Held: k.reserved.Load() + k.network.Load(), Cuts: k.cuts.Load(), Refused: k.refused.Load()}
}

// Run reviews what is held until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	if k == nil {
		return
	}
	ticker := wasabipulse.New(reviewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			ticker.Next(reviewInterval)
		case <-k.wake:
		case <-ctx.Done():
			return
		}
		k.Review()
	}
}

// Review cuts off the requests that have to give way now.
func (k *Keeper) Review() {
	k.mu.Lock()
	holdings := make([]Holding, 0, len(k.handles))
	for _, h := range k.handles {
		holdings = append(holdings, h.holding())
	}
	cuts, network := k.ledger.Review(k.options.Clock.Now(), holdings)
	handles := make([]*Handle, len(cuts))
	for i, c := range cuts {
		handles[i] = k.handles[c.Number]
		network -= WindowBytes
	}
	k.mu.Unlock()
	k.network.Store(max(network, 0))
	for i, c := range cuts {
		if !handles[i].cutOff() {
			continue
		}
		k.cuts.Add(1)
		k.options.Log.Warn().Str(wasabilog.RequestField, string(c.Request)).Str("account", string(c.Account)).Int64("bytes", c.Held).
			Int64("idle_ms", int64(c.Idle)).Int64("held", k.Counts().Held).Int64("limit", k.options.Limit).
			Msg("Request cut off: its caller does not read, and too much is held.")
	}
}

// Open returns the handle of a request. Close must be called when it has ended. The
// request is cut off by calls of cut, which may be concurrent to all that the request
// does and must not block; nil means that it cannot be cut off.
func (k *Keeper) Open(id wasabiridge.RequestID, account wasabiridge.ClientAccountID, cut func()) *Handle {
	if k == nil {
		return nil
	}
	h := &Handle{keeper: k, request: id, account: account, cut: cut}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next++
	h.number = k.next
	k.handles[h.number] = h
	return h
}

// Handle is what one request holds. All methods but those that say so are called by the
// goroutine of the request. A nil Handle does nothing.
type Handle struct {
	keeper  *Keeper
	number  uint64
	request wasabiridge.RequestID
	account wasabiridge.ClientAccountID
	bytes   atomic.Int64
	// transfers is twice the number of transfers that have ended, plus one while one is
	// under way.
	transfers atomic.Uint64

	mu sync.Mutex
	// cut is nil for a request that cannot be cut off. onCut follows it.
	cut, onCut    func()
	isCut, closed bool
}

func (h *Handle) holding() Holding {
	transfers := h.transfers.Load()
	return Holding{
		Number: h.number, Request: h.request, Account: h.account, Bytes: h.bytes.Load(), Waiting: transfers%2 == 1, Transfers: transfers, Fixed: h.cut == nil,
	}
}

// Reserve counts further bytes of the request. It reports false, and counts none, if the
// limit does not allow them.
func (h *Handle) Reserve(n int64) bool {
	if h == nil {
		return true
	}
	k := h.keeper
	if k.reserved.Add(n)+k.network.Load() > k.options.Limit {
		k.reserved.Add(-n)
		select {
		case k.wake <- struct{}{}:
		default:
		}
		return false
	}
	h.bytes.Add(n)
	return true
}

// hasRoom reports whether the limit allows further bytes now. It counts none.
func (h *Handle) hasRoom(n int64) bool {
	if !h.Reserve(n) {
		return false
	}
	h.Release(n)
	return true
}

// Release uncounts bytes that were reserved.
func (h *Handle) Release(n int64) {
	if h != nil {
		h.bytes.Add(-n)
		h.keeper.reserved.Add(-n)
	}
}

// Refused counts the request as refused for want of room.
func (h *Handle) Refused() {
	if h != nil {
		h.keeper.refused.Add(1)
	}
}

// Begin marks the start of a transfer to or from the caller, and End its end.
func (h *Handle) Begin() {
	if h != nil {
		h.transfers.Add(1)
	}
}

// End marks the end of a transfer.
func (h *Handle) End() { h.Begin() }

// OnCut sets a function that is called before the request is cut off, or at once if it
// was cut off already. It must not block.
func (h *Handle) OnCut(f func()) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onCut = f
	if h.isCut {
		f()
	}
}

// WasCut reports whether the request was cut off.
func (h *Handle) WasCut() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isCut
}

// cutOff cuts off the request, unless it has ended. It reports whether it did.
func (h *Handle) cutOff() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isCut || h.closed {
		return false
	}
	h.isCut = true
	if h.onCut != nil {
		h.onCut()
	}
	h.cut()
	return true
}

// Close ends the request, which is not cut off any more.
func (h *Handle) Close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.keeper.mu.Lock()
	delete(h.keeper.handles, h.number)
	h.keeper.mu.Unlock()
	h.Release(h.bytes.Load())
}
