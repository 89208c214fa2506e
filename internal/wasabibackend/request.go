package wasabibackend

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/wasabiridge/wasabiridge"
)

// hopHeaders are the hop-by-hop headers. They apply to one connection and are
// not forwarded.
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callerHeaders are removed from a caller's request: headers meant for the
// router, such as the caller's key, and headers that only the router or a
// backend server may set.
var callerHeaders = [...]string{
	"Authorization", "Accept-Encoding", "Content-Length", "Expect", "Host",
	wasabiridge.HeaderDisposition, wasabiridge.HeaderWeights,
	wasabiridge.HeaderIncarnation, wasabiridge.HeaderResumedFrom,
}

// idempotencyHeaders contain the caller's idempotency key. Engines do not use
// it, and net/http treats its presence as permission to resend a request.
var idempotencyHeaders = [...]string{"Idempotency-Key", "X-Idempotency-Key"}

// forwardable returns a copy of a header without the hop-by-hop headers and the
// headers listed in Connection.
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

// isCompletion reports whether an attempt asks an engine for a completion.
func isCompletion(a wasabiridge.Attempt) bool {
	path, _, _ := strings.Cut(a.Path, "?")
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

// newRequest builds the HTTP request of an attempt, without its body.
func newRequest(ctx context.Context, a wasabiridge.Attempt) (*http.Request, error) {
	url := strings.TrimSuffix(a.Backend.URL, "/") + a.Path
	var req *http.Request
	var err error
	if req, err = http.NewRequestWithContext(ctx, a.Method, url, http.NoBody); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "backend: cannot build the request to %s", a.Backend.ID)
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

// setBody sets the body of the request. For a non-idempotent request it sets no
// GetBody, so that net/http cannot send the body a second time.
func setBody(req *http.Request, data []byte, nonIdempotent bool) *requestBody {
	body := newRequestBody(data)
	if len(data) == 0 {
		return body
	}
	req.ContentLength = int64(len(data))
	// open fails only after release.
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

// engineBody is the body of a completion request with the router's fields added.
type engineBody struct {
	data []byte
	// wantsUsage is set when the caller requested the usage event of a stream.
	wantsUsage bool
	limit      outputLimit
}

// routerFields are the fields that only the router sets. A caller that could set
// them would be able to use the cache of another client account or to raise its
// own priority. Names are compared in lower case, because some JSON decoders
// ignore case.
var routerFields = map[string]bool{
	"block_hashes": true, "cache_salt": true, "priority": true, "resume_from": true,
	"return_token_ids": true, "stream_options": true,
}

// extendBody removes the router's fields from the body of a completion request
// and adds them with the router's values. Empty bodies, and bodies for servers
// that are not engines, are sent unchanged. It returns false when the body of a
// completion request is not a JSON object: a lenient engine might read fields in
// it that were not replaced.
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
		b.limit.read(name, value)
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
	// Engines with this API serve lower priority values first; the router's
	// priorities are the other way round.
	out = append(out, `"priority":`...)
	out = strconv.AppendInt(out, -int64(a.Priority), 10)
	out = append(out, `,"return_token_ids":true}`...)
	b.data = out
	return b, true
}

// appendBlocks appends the hashes of the prompt's cache blocks. They are encoded
// as strings, because many JSON decoders lose digits of 64-bit numbers.
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
