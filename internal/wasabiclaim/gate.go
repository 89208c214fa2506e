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
// both pass the gate, so one of them comes first.
type sendGate struct {
	mu sync.Mutex
	// held maps a request to the identifier under which it was claimed.
	held map[wasabiridge.RequestID]wasabiridge.RequestID
}

func newSendGate() *sendGate {
	return &sendGate{held: make(map[wasabiridge.RequestID]wasabiridge.RequestID)}
}

func (g *sendGate) open(r, asked wasabiridge.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[r] = asked
}

// pass reports ErrConflict when the request may not be sent.
func (g *sendGate) pass(r wasabiridge.RequestID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.held[r]; !ok {
		return wasabiridge.ErrConflict.New("claim: request %s holds no claim", r)
	}
	return nil
}

// close returns the identifier under which the request was claimed. It reports
// false when the request holds no claim.
func (g *sendGate) close(r wasabiridge.RequestID) (wasabiridge.RequestID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	asked, ok := g.held[r]
	delete(g.held, r)
	return asked, ok
}
