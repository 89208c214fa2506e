package wasabipeer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/wasabiridge/wasabiridge"
)

const (
	tokenField = "wt"
	// tokenLifetime is how long one token is used. A token that repeats over
	// many calls takes one byte with header compression.
	tokenLifetime = 10 * wasabiridge.Minute
	tokenBytes    = 18
)

// tokens derives tokens from a shared key and caches the current one. It is
// safe for concurrent use.
type tokens struct {
	key   []byte
	clock wasabiridge.Clock

	mu     sync.Mutex
	window int64
	token  string
}

func (t *tokens) at(window int64) string {
	mac := hmac.New(sha256.New, t.key)
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(window))
	mac.Write([]byte("wasabiridge peer token "))
	mac.Write(b[:])
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:tokenBytes])
}

func (t *tokens) current() (int64, string) {
	window := int64(t.clock.Now() / tokenLifetime)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.token == "" || t.window != window {
		t.window, t.token = window, t.at(window)
	}
	return window, t.token
}

// GetRequestMetadata returns the token as metadata of a call.
func (t *tokens) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	_, token := t.current()
	return map[string]string{tokenField: token}, nil
}

// RequireTransportSecurity returns false: a shared key works without TLS.
func (t *tokens) RequireTransportSecurity() bool { return false }

// check rejects calls without a token of the current window or one of its
// neighbours. The neighbours allow for clocks that differ by up to ten minutes.
func (t *tokens) check(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	given := md.Get(tokenField)
	if len(given) != 1 {
		return status.Error(codes.Unauthenticated, "peer: call without a token")
	}
	window, token := t.current()
	if equal(given[0], token) || equal(given[0], t.at(window-1)) || equal(given[0], t.at(window+1)) {
		return nil
	}
	return status.Error(codes.Unauthenticated, "peer: wrong token")
}

func equal(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
