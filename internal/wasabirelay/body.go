package wasabirelay

import (
	"errors"
	"io"
	"net/http"

	"github.com/wasabiridge/wasabiridge"
)

// readBody takes in the whole body. An attempt that did not run may be followed
// by another one, which needs it again.
func (c *call) readBody() *wasabiridge.Refusal {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	limited := http.MaxBytesReader(c.w, c.r.Body, c.bodyLimit())
	var err error
	if n := c.r.ContentLength; n > 0 {
		c.body = make([]byte, n)
		_, err = io.ReadFull(limited, c.body)
		if err == nil {
			// net/http watches for the end of the caller's connection only
			// behind the end of the body.
			_, err = limited.Read(make([]byte, 1))
		}
	} else {
		c.body, err = io.ReadAll(limited)
	}
	if err == nil || err == io.EOF {
		return nil
	}
	c.w.Header().Set("Connection", "close")
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return &wasabiridge.Refusal{Kind: wasabiridge.RefusalBodyTooLarge, Cause: "body too large"}
	}
	return &wasabiridge.Refusal{Kind: wasabiridge.RefusalInvalid, Cause: "body ended early"}
}
