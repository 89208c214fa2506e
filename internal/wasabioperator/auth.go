package wasabioperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// OperatorHeader is the header with the name of the person who uses a key. The
// name is recorded in the configuration history.
const OperatorHeader = "X-Operator"

// Lengths, in bytes, of the parts of an author's name.
const (
	maxOperatorName   = 64
	fingerprintLength = 8
)

type authorKey struct{}

// HashKey returns the hexadecimal SHA-256 hash of an operator's key. Settings and
// Options.KeyHashes hold keys in this form only.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authenticate passes on requests with a valid key and refuses all others.
//
// From the duration of a comparison an attacker could infer how much of a hash is
// right. All hashes are compared, each in constant time, so that the duration
// depends only on the number of keys.
func (s *server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !found || key == "" {
			writeUnauthorized(w, "operator: no key in the request; send it as \"Authorization: Bearer KEY\"")
			return
		}
		hash := HashKey(key)
		known := 0
		for _, candidate := range s.KeyHashes() {
			known |= subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(candidate)))
		}
		if known != 1 {
			writeUnauthorized(w, "operator: the key is not known here")
			return
		}
		author := authorOf(r.Header.Get(OperatorHeader), hash)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), authorKey{}, author)))
	})
}

// authorOf returns the author of a change: the name from OperatorHeader and the
// start of the key's hash. The name is the client's claim; the hash cannot be
// forged.
func authorOf(name, hash string) string {
	name = strings.Map(printable, name)
	if len(name) > maxOperatorName {
		name = name[:maxOperatorName]
	}
	if name == "" {
		name = "operator"
	}
	return name + " (key " + hash[:fingerprintLength] + ")"
}

func printable(r rune) rune {
	if r < ' ' || r > '~' {
		return -1
	}
	return r
}

func author(r *http.Request) string {
	name, _ := r.Context().Value(authorKey{}).(string)
	return name
}

func writeUnauthorized(w http.ResponseWriter, message string) {
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeError(w, http.StatusUnauthorized, ErrorBody{Code: CodeUnauthorized, Message: message})
}
