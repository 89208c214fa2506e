package wasabirelay

import (
	"io"
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
)

// reasonNoRoom is the reason of refusals for want of memory.
const reasonNoRoom = "too much is held for other requests"

// reasonUnread is the reason of answers that are cut off because their callers do not read.
const reasonUnread = "unread"

// hold begins to count what the request holds. A request that another instance passed on
// is not cut off here: its caller is connected there.
func (c *call) hold() *wasabiridge.Refusal {
	if c.received != nil {
		c.held = c.relay.options.Held.Open(c.parsed.ID, c.account.ID, nil)
		if !c.held.Reserve(int64(len(c.body))) {
			return c.noRoom()
		}
		return nil
	}
	c.held = c.relay.options.Held.Open(c.parsed.ID, c.account.ID, c.cutTransfer)
	return nil
}

// release ends the counting. It may be called again.
func (c *call) release() { c.held.Close() }

// resetCaller resets the connection of a caller whose request was cut off.
func (c *call) resetCaller() {
	c.relay.counts.add(OutcomeCut, reasonUnread, c.relay.options.Clock.Now()-c.arrived)
	wasabilistener.Reset(c.w)
}

// cutTransfer ends a transfer to or from the caller that is under way.
func (c *call) cutTransfer() {
	control := http.NewResponseController(c.w)
	// Response writers of tests may not support deadlines.
	_ = control.SetWriteDeadline(time.Unix(1, 0))
	_ = control.SetReadDeadline(time.Unix(1, 0))
}

const (
	// maxDiscardedBytes and discardTime bound what is read of a body that finds no room, and
	// for how long.
	maxDiscardedBytes = 1 << 20
	discardTime       = 250 * time.Millisecond
)

// noRoom refuses a request whose body finds no room. The rest of the body is read and
// discarded within bounds: a connection that is closed with unread bytes is reset, and the
// caller would not see the refusal.
func (c *call) noRoom() *wasabiridge.Refusal {
	c.held.Refused()
	c.body = nil
	// The error is ignored, because the response writers of tests may not support
	// deadlines.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.CopyN(io.Discard, c.r.Body, maxDiscardedBytes)
	c.w.Header().Set("Connection", "close")
	return c.notRun(reasonNoRoom)
}

// reset ends an answer that was cut off because its caller does not read.
func (x *exchange) reset() {
	x.log("Answer cut off before its end.", OutcomeCut, reasonUnread)
	wasabilistener.Reset(x.w)
}

// discardBuffered forgets the buffered part of the answer.
func (x *exchange) discardBuffered() {
	x.held.Release(int64(len(x.buffered)))
	x.buffered = nil
}
