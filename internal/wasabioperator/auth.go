package wasabioperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// OperatorHeader names the person who uses a key, for the history.
const OperatorHeader = "X-Operator"

// Sizes of what identifies an operator.
const (
	maxOperatorName   = 64
	fingerprintLength = 8
)

type authorKey struct{}

// HashKey returns the hexadecimal SHA-256 hash under which a key is known.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authenticate lets requests with a known key pass.
//
// The time that a comparison takes could tell an attacker how much of a hash
// is right. All hashes are compared, each in constant time, so that the time
// depends on the number of keys only.
func (s *server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !found || key == "" {
			writeUnauthorized(w, "operator: a key is needed as \"Authorization: Bearer KEY\"")
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

// authorOf names an operator by the name given and the start of the key's
// hash, which cannot be forged.
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
