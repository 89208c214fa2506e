package wasabibackend

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/wasabiridge/wasabiridge"
)

// hopHeaders belong to one connection and are never handed on.
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callerHeaders are meant for the router alone: the key of the caller, and
// what the router itself says to a backend server.
var callerHeaders = [...]string{
	"Authorization", "Accept-Encoding", "Content-Length", "Expect", "Host",
	wasabiridge.HeaderDisposition, wasabiridge.HeaderWeights,
	wasabiridge.HeaderIncarnation, wasabiridge.HeaderResumedFrom,
}

// idempotencyHeaders name the caller's idempotency key. Engines do not know
// it, and net/http takes it as leave to send a request twice.
var idempotencyHeaders = [...]string{"Idempotency-Key", "X-Idempotency-Key"}

// forwardable returns a copy of a header without what belongs to one
// connection.
func forwardable(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// newRequest builds the HTTP request of an attempt without its body.
func newRequest(ctx context.Context, a wasabiridge.Attempt) (*http.Request, error) {
	url := strings.TrimSuffix(a.Backend.URL, "/") + a.Path
	var req *http.Request
	var err error
	if req, err = http.NewRequestWithContext(ctx, a.Method, url, http.NoBody); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "backend: request to %s", a.Backend.ID)
	}
	req.Header = forwardable(a.Header)
	for _, name := range callerHeaders {
		req.Header.Del(name)
	}
	if a.Backend.Kind == wasabiridge.BackendEngine {
		for _, name := range idempotencyHeaders {
			req.Header.Del(name)
		}
		setVersion(req.Header, wasabiridge.HeaderWeights, uint64(a.Weights))
		setVersion(req.Header, wasabiridge.HeaderIncarnation, uint64(a.Incarnation))
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "wasabirouter")
	}
	return req, nil
}

// setBody gives the request its body. A non-idempotent request cannot be read
// a second time.
func setBody(req *http.Request, data []byte, nonIdempotent bool) *sentBody {
	body := newSentBody(data)
	if len(data) == 0 {
		return body
	}
	req.ContentLength = int64(len(data))
	// A fresh body always opens.
	req.Body, _ = body.open()
	req.GetBody = body.open
	if nonIdempotent {
		req.GetBody = nil
	}
	return body
}

func setVersion(h http.Header, name string, v uint64) {
	if v != 0 {
		h.Set(name, strconv.FormatUint(v, 10))
	}
}

// engineBody is the body of a completion call with the router's fields.
type engineBody struct {
	data []byte
	// wantsUsage says that the caller asked for the usage event of a stream.
	wantsUsage bool
}

// routerFields are set by the router alone. A caller that could set them
// would read another account's cache or overtake others. Names are compared in
// lower case, because some decoders take any case.
var routerFields = map[string]bool{
	"block_hashes": true, "cache_salt": true, "priority": true, "resume_from": true,
	"return_token_ids": true, "stream_options": true,
}

// extendBody replaces the router's fields of a completion call. Bodies of other
// calls go out unchanged. It reports false when the body of a completion call
// is not a JSON object: a lenient engine might read fields in it that were
// not replaced.
func extendBody(a wasabiridge.Attempt) (engineBody, bool) {
	if a.Backend.Kind != wasabiridge.BackendEngine || len(a.Body) == 0 {
		return engineBody{data: a.Body}, true
	}
	root := gjson.ParseBytes(a.Body)
	if !gjson.ValidBytes(a.Body) || !root.IsObject() {
		return engineBody{}, false
	}
	var b engineBody
	out := make([]byte, 0, len(a.Body)+256)
	out = append(out, '{')
	root.ForEach(func(key, value gjson.Result) bool {
		name := strings.ToLower(key.Str)
		if name == "stream_options" {
			b.wantsUsage = value.Get("include_usage").Bool()
		}
		if !routerFields[name] {
			out = append(out, key.Raw...)
			out = append(out, ':')
			out = append(out, value.Raw...)
			out = append(out, ',')
		}
		return true
	})
	if a.Stream {
		out = append(out, `"stream_options":{"include_usage":true},`...)
	}
	if a.CacheSalt != "" {
		out = append(out, `"cache_salt":`...)
		out = strconv.AppendQuote(out, a.CacheSalt)
		out = append(out, ',')
	}
	if a.ResumeFrom > 0 {
		out = append(out, `"resume_from":`...)
		out = strconv.AppendInt(out, int64(a.ResumeFrom), 10)
		out = append(out, ',')
	}
	out = appendBlocks(out, a.Blocks)
	// Engines of this API take lower values first, the router higher ones.
	out = append(out, `"priority":`...)
	out = strconv.AppendInt(out, -int64(a.Priority), 10)
	out = append(out, `,"return_token_ids":true}`...)
	b.data = out
	return b, true
}

// appendBlocks appends the names of the prompt's cache blocks. They are texts,
// because JSON numbers of 64 bits lose digits in many decoders.
func appendBlocks(out []byte, blocks []wasabiridge.BlockHash) []byte {
	if len(blocks) == 0 {
		return out
	}
	out = append(out, `"block_hashes":[`...)
	for i, b := range blocks {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, '"')
		out = strconv.AppendUint(out, uint64(b), 16)
		out = append(out, '"')
	}
	return append(out, `],`...)
}
