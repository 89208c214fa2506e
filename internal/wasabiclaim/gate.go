package wasabiclaim

import (
	"sync"

	"github.com/wasabiridge/wasabiridge"
)

// sendGate records which requests hold a claim and may still be sent. It is safe
// for concurrent use. It has one entry for each open request.
//
// The failure it guards against: one goroutine ends a request as "not run" and
// releases its claim while another is about to send it. The caller's repeat then
// gets the claim, and the request runs twice. Sending and ending both go through
// the gate, so one of them comes first: a send after the end is refused, and an
// end after a send counts as "maybe run" even if it reports "not run".
type sendGate struct {
	mu   sync.Mutex
	held map[wasabiridge.RequestID]*heldRequest
}

// heldRequest is a request that holds a claim.
type heldRequest struct {
	// claimedAs is the identifier under which the request was claimed.
	claimedAs wasabiridge.RequestID
	// sends counts sends that may have run.
	sends int
}

func newSendGate() *sendGate {
	return &sendGate{held: make(map[wasabiridge.RequestID]*heldRequest)}
}

func (g *sendGate) open(r, claimedAs wasabiridge.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[r] = &heldRequest{claimedAs: claimedAs}
}

// countSend counts a send. It returns ErrConflict when the request holds no claim
// and must not be sent.
func (g *sendGate) countSend(r wasabiridge.RequestID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.held[r]
	if h == nil {
		return wasabiridge.ErrConflict.New("claim: request %s holds no claim", r)
	}
	h.sends++
	return nil
}

// uncountSend reverses countSend for a send that did not run.
func (g *sendGate) uncountSend(r wasabiridge.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h := g.held[r]; h != nil && h.sends > 0 {
		h.sends--
	}
}

// close removes a request and returns it, or nil when the request holds no claim.
func (g *sendGate) close(r wasabiridge.RequestID) *heldRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.held[r]
	delete(g.held, r)
	return h
}
