package wasabiclaim

import (
	"sync"

	"github.com/wasabiridge/wasabiridge"
)

// sendGate remembers which requests hold a claim and may still be sent. It is
// safe for concurrent use. It is as large as the number of open requests.
//
// The failure it guards against: one goroutine gives a request up as "not
// run" and releases its claim while another is about to send it. The caller's
// repeat then gets the claim and the request runs twice. Sending and giving up
// both pass the gate, so one of them comes first: a send after the end is
// refused, and an end after a send is not believed to be "not run".
type sendGate struct {
	mu   sync.Mutex
	held map[wasabiridge.RequestID]*heldRequest
}

// heldRequest is a request that holds a claim.
type heldRequest struct {
	// asked is the identifier under which the request was claimed.
	asked wasabiridge.RequestID
	// sends counts sends that may have run.
	sends int
}

func newSendGate() *sendGate {
	return &sendGate{held: make(map[wasabiridge.RequestID]*heldRequest)}
}

func (g *sendGate) open(r, asked wasabiridge.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[r] = &heldRequest{asked: asked}
}

// pass counts a send. It reports ErrConflict when the request may not be sent.
func (g *sendGate) pass(r wasabiridge.RequestID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.held[r]
	if h == nil {
		return wasabiridge.ErrConflict.New("claim: request %s holds no claim", r)
	}
	h.sends++
	return nil
}

// takeBack uncounts a send that did not run.
func (g *sendGate) takeBack(r wasabiridge.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h := g.held[r]; h != nil && h.sends > 0 {
		h.sends--
	}
}

// close ends a request and returns it. It returns nil when the request holds
// no claim.
func (g *sendGate) close(r wasabiridge.RequestID) *heldRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.held[r]
	delete(g.held, r)
	return h
}
