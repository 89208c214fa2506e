package wasabibackend

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/wasabiridge/wasabiridge"
)

// Decoders exported for the tests in package wasabibackend_test.
var (
	DecodeLoad  = decodeLoad
	DecodeBatch = decodeBatch
)

// DecodeChunk returns the number of output tokens and the usage in a payload.
func DecodeChunk(payload string) (int, wasabiridge.Usage, bool) {
	c, ok := decodeChunk(payload)
	return c.tokens, c.usage, ok
}

// ExtendBody returns the body that is sent to an engine for an attempt.
func ExtendBody(a wasabiridge.Attempt) ([]byte, bool) {
	b, ok := extendBody(a)
	return b.data, ok
}

// BackoffDelays returns the first count delays of a backoff.
func BackoffDelays(seed uint64, name string, count int) []wasabiridge.Millis {
	b := newBackoff(seed, name)
	var out []wasabiridge.Millis
	for range count {
		out = append(out, b.next())
	}
	return out
}

// RelayEvents relays an event stream to the sink as if an engine had sent it.
func RelayEvents(stream []byte, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &exchange{ctx: ctx, cancel: cancel, opts: Options{MaxEventBytes: 1 << 10}.withDefaults(), sink: sink}
	x.ended.Result = x.relayEvents(&http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(stream))})
	return x.ended
}
