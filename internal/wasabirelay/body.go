package wasabirelay

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiheld"
)

// reasonBodyLate is the reason of refusals of requests whose body is incomplete at their
// deadline.
const reasonBodyLate = "body not complete in time"

// readBody reads the complete body into memory, because a further attempt after one
// that did not run needs it again.
func (c *call) readBody() *wasabiridge.Refusal {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(c.w)
	// The error is ignored, because the response writers of tests may not support
	// deadlines.
	_ = control.SetReadDeadline(time.Now().Add((c.until - c.relay.options.Clock.Now()).Duration()))
	var err error
	c.body, err = c.held.ReadAll(http.MaxBytesReader(c.w, c.r.Body, c.bodyLimit()), c.r.ContentLength, 1)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	if c.held.WasCut() {
		c.resetCaller()
	}
	if errors.Is(err, wasabiheld.ErrNoRoom) {
		return c.noRoom()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.w.Header().Set("Connection", "close")
		return c.notRun(reasonBodyLate)
	}
	c.w.Header().Set("Connection", "close")
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return &wasabiridge.Refusal{Kind: wasabiridge.RefusalBodyTooLarge, Reason: "body too large"}
	}
	return &wasabiridge.Refusal{Kind: wasabiridge.RefusalInvalid, Reason: "body ended early"}
}
