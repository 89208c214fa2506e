// Package wasabifingerprint names requests by what they ask, so that one that comes
// again under another identifier is known for the same.
//
// A fingerprint covers the client account, method, host, path with query, model and
// body. A request without a body is told from others by the parts of its prompt. It is
// keyed: without the key nobody can find out from a fingerprint in a log, by trying,
// what was asked.
//
// # Usage
//
//	namer := wasabifingerprint.New(key)
//	f := namer.Name(wasabifingerprint.Content{Account: "shop", Method: "POST", Path: "/v1/x", Body: body})
package wasabifingerprint

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/wasabiridge/wasabiridge"
)

// Content is what a request asks.
type Content struct {
	Account wasabiridge.ClientAccountID
	Method  string
	Host    string
	// Path is the path with its query.
	Path  string
	Model wasabiridge.ModelID
	Body  []byte
	// Blocks are the parts of the prompt, as far as the caller names them. They count
	// only where there is no body.
	Blocks []wasabiridge.BlockHash
}

// Namer makes fingerprints. It is safe for concurrent use.
type Namer struct {
	key []byte
}

// New returns a Namer. Instances name alike only with the same key.
func New(key []byte) Namer { return Namer{key: key} }

// Name returns the fingerprint of a request. It is never zero.
func (n Namer) Name(c Content) wasabiridge.Fingerprint {
	mac := hmac.New(sha256.New, n.key)
	var length [8]byte
	field := func(data []byte) {
		// The length tells where a field ends, so that no two requests look alike
		// because a part of one field stands in the next.
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
