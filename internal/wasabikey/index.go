// Package wasabikey finds client accounts by the keys that callers send.
//
// Configurations hold hashes of keys, never keys. A look-up takes the same
// time whether a key is nearly right or wholly wrong.
//
// # Usage
//
//	var keys wasabikey.Index
//	account, ok := keys.Find(config, key)
package wasabikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync/atomic"

	"github.com/wasabiridge/wasabiridge"
)

// bucketBytes is the part of a hash that finds candidates. What it takes to
// find them depends on the hash of the given key only, which tells nothing of
// other keys.
const bucketBytes = 8

// Index finds client accounts by their keys. It is built once for each
// configuration, which must not change afterwards. The zero value is empty and
// safe for concurrent use.
type Index struct {
	latest atomic.Pointer[table]
}

// table belongs to one configuration and is never changed.
type table struct {
	config  *wasabiridge.Config
	entries map[[bucketBytes]byte][]entry
}

type entry struct {
	hash    [sha256.Size]byte
	account wasabiridge.ClientAccount
}

// Find returns the client account of a key, and whether there is one. Hashes
// are compared in constant time.
func (x *Index) Find(cfg *wasabiridge.Config, key string) (wasabiridge.ClientAccount, bool) {
	t := x.latest.Load()
	if t == nil || t.config != cfg {
		t = newTable(cfg)
		x.latest.Store(t)
	}
	hash := sha256.Sum256([]byte(key))
	for _, e := range t.entries[[bucketBytes]byte(hash[:bucketBytes])] {
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			return e.account, true
		}
	}
	return wasabiridge.ClientAccount{}, false
}

func newTable(cfg *wasabiridge.Config) *table {
	t := &table{config: cfg, entries: map[[bucketBytes]byte][]entry{}}
	for _, account := range cfg.Accounts {
		for _, text := range account.KeyHashes {
			hash, err := hex.DecodeString(text)
			if err != nil || len(hash) != sha256.Size {
				continue
			}
			bucket := [bucketBytes]byte(hash[:bucketBytes])
			found := entry{hash: [sha256.Size]byte(hash), account: account}
			t.entries[bucket] = append(t.entries[bucket], found)
		}
	}
	return t
}
