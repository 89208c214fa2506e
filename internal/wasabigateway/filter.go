package wasabigateway

import (
	"context"
	"net/http"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

// call is what the filters know of one request. One goroutine owns it.
type call struct {
	id      wasabiridge.RequestID
	arrived wasabiridge.Millis
	config  *wasabiridge.Config
	account wasabiridge.ClientAccount
	body    body
	rule    wasabiridge.Rule
}

type callKey struct{}

// callOf returns the call of a request that passed the filter identify.
func callOf(r *http.Request) *call {
	c, _ := r.Context().Value(callKey{}).(*call)
	return c
}

// identify gives the request its identifier, which the answer names in
// X-Request-Id.
func (g *Gateway) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{id: g.nextID(), arrived: g.options.Clock.Now(), config: g.options.Config()}
		w.Header().Set(RequestIDHeader, string(c.id))
		if g.options.Leaving != nil && g.options.Leaving() {
			// Idle connections must not be closed under a request that is on
			// its way, so the caller is asked to close them.
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callKey{}, c)))
	})
}

// limit turns down what would take up too much: too many requests at once, a
// header or a body that is too large. Nothing of the body was read then.
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
		default:
			r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
			next.ServeHTTP(w, r)
		}
	})
}

// headerBytes returns the size of a request's line and header.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// authenticate finds the client account that the caller's key belongs to.
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

// bearer returns the key in the header Authorization.
func bearer(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, ok && key != "" && strings.EqualFold(scheme, "Bearer")
}
