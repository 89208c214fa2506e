// Package wasabifingerprint computes fingerprints of requests from their content, so that
// a repeated request is recognized even if it has another request identifier.
//
// A fingerprint covers the client account, method, host, path with query, model and
// body. For a request without a body it covers the hashes of its prompt segments instead.
// Fingerprints are keyed (HMAC-SHA-256), so that the content of a request cannot be
// recovered from a logged fingerprint by trying candidates without the key.
//
// # Usage
//
//	hasher := wasabifingerprint.New(key)
//	f := hasher.Fingerprint(wasabifingerprint.Content{Account: "shop", Method: "POST", Path: "/v1/x", Body: body})
package wasabifingerprint

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/wasabiridge/wasabiridge"
)

// Content is the part of a request that its fingerprint covers.
type Content struct {
	Account wasabiridge.ClientAccountID
	Method  string
	Host    string
	// Path is the URL path, including the query.
	Path  string
	Model wasabiridge.ModelID
	Body  []byte
	// Blocks are the hashes of the prompt segments, if the caller states them. They
	// are ignored if there is a body.
	Blocks []wasabiridge.BlockHash
}

// Hasher computes fingerprints. The zero value uses an empty key. It is safe for
// concurrent use.
type Hasher struct {
	key []byte
}

// New returns a Hasher. All instances must use the same key to get the same fingerprints.
// The key must not be changed afterwards.
func New(key []byte) Hasher { return Hasher{key: key} }

// Fingerprint returns the fingerprint of a request. It is never zero.
func (n Hasher) Fingerprint(c Content) wasabiridge.Fingerprint {
	mac := hmac.New(sha256.New, n.key)
	var length [8]byte
	field := func(data []byte) {
		// The length prefix makes the encoding unambiguous. Without it, requests
		// that differ only in where one field ends and the next begins would get the
		// same fingerprint.
		binary.BigEndian.PutUint64(length[:], uint64(len(data)))
		mac.Write(length[:])
		mac.Write(data)
	}
	for _, text := range [...]string{string(c.Account), c.Method, c.Host, c.Path, string(c.Model)} {
		field([]byte(text))
	}
	field(c.Body)
	if len(c.Body) == 0 {
		for _, b := range c.Blocks {
			binary.BigEndian.PutUint64(length[:], uint64(b))
			mac.Write(length[:])
		}
	}
	return wasabiridge.Fingerprint(max(1, binary.BigEndian.Uint64(mac.Sum(nil))))
}
