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
	// tokenLife is how long one token is used. The same token over many
	// calls takes one byte of header compression.
	tokenLife  = 10 * wasabiridge.Minute
	tokenBytes = 18
)

// tokens derives the tokens of a shared key and keeps the current one. It is
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
	window := int64(t.clock.Now() / tokenLife)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.token == "" || t.window != window {
		t.window, t.token = window, t.at(window)
	}
	return window, t.token
}

// GetRequestMetadata adds the token to a call.
func (t *tokens) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	_, token := t.current()
	return map[string]string{tokenField: token}, nil
}

// RequireTransportSecurity reports false: a shared key works without TLS.
func (t *tokens) RequireTransportSecurity() bool { return false }

// check refuses calls without a token of this or a neighbouring window. The
// neighbours make up for clocks that differ by up to ten minutes.
func (t *tokens) check(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	given := md.Get(tokenField)
	if len(given) != 1 {
		return status.Error(codes.Unauthenticated, "peer: no token")
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
