package wasabigateway

import (
	"context"
	"net/http"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiheld"
)

// call is the state that the middleware collects for one request. Only the
// request's goroutine uses it.
type call struct {
	id      wasabiridge.RequestID
	arrived wasabiridge.Millis
	config  *wasabiridge.Config
	account wasabiridge.ClientAccount
	body    body
	rule    wasabiridge.Rule
	// held counts what the request holds.
	held *wasabiheld.Handle
}

type callKey struct{}

// callOf returns the call of a request that has passed through identify, or
// nil.
func callOf(r *http.Request) *call {
	c, _ := r.Context().Value(callKey{}).(*call)
	return c
}

// identify assigns the request its identifier, which is returned in
// X-Request-Id.
func (g *Gateway) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{id: g.nextID(), arrived: g.options.Clock.Now(), config: g.options.Config()}
		w.Header().Set(RequestIDHeader, string(c.id))
		c.held = g.options.Held.Open(c.id, "", nil)
		defer c.held.Close()
		if g.options.Leaving != nil && g.options.Leaving() {
			// If the instance closed an idle connection itself, a request could
			// already be in transit on it and be lost. The caller closes it
			// instead.
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callKey{}, c)))
	})
}

// limit rejects requests beyond the limits on open requests, header size and
// body size. It does so before it reads any of the body; a body of unknown
// length is limited while it is read.
func (g *Gateway) limit(next http.Handler) http.Handler {
	limits := g.options.Limits
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		open := g.open.Add(1)
		defer g.open.Add(-1)
		switch {
		case open > int64(limits.Requests):
			g.fail(w, r, failTooManyRequests)
		case headerBytes(r) > limits.HeaderBytes:
			g.fail(w, r, failHeaderTooLarge)
		case r.ContentLength > limits.BodyBytes:
			g.fail(w, r, failBodyTooLarge)
		case !callOf(r).held.Reserve(int64(headMemoryFactor * headerBytes(r))):
			callOf(r).held.Refused()
			g.fail(w, r, failNoRoom)
		default:
			r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
			next.ServeHTTP(w, r)
		}
	})
}

// headMemoryFactor is how much memory a byte of a parsed head takes.
const headMemoryFactor = 4

// headerBytes returns the approximate size of the request line and header in
// bytes.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// authenticate looks up the client account of the caller's API key.
func (g *Gateway) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := callOf(r)
		if c.config.Version == 0 {
			g.fail(w, r, failNoConfig)
			return
		}
		key, ok := bearer(r)
		if !ok {
			g.fail(w, r, failNoKey)
			return
		}
		if c.account, ok = g.keys.Find(c.config, key); !ok {
			g.fail(w, r, failWrongKey)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// bearer returns the bearer token of the Authorization header.
func bearer(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, ok && key != "" && strings.EqualFold(scheme, "Bearer")
}
