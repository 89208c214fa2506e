// Package wasabikey looks up client accounts by the keys that callers send.
//
// A configuration contains hashes of keys, never the keys themselves. The time that
// a look-up takes does not reveal how similar a wrong key is to a valid one.
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

// bucketBytes is the length of the hash prefix that selects the candidates for a
// key. The time of this step depends only on the hash of the given key, which
// reveals nothing about other keys.
const bucketBytes = 8

// Index looks up client accounts by key. It keeps a table for the configuration that
// was used last; a configuration must not be modified after it was passed to Find.
// The zero value is ready for use. It is safe for concurrent use.
type Index struct {
	latest atomic.Pointer[table]
}

// table is the look-up table of one configuration. It is immutable.
type table struct {
	config  *wasabiridge.Config
	entries map[[bucketBytes]byte][]entry
}

type entry struct {
	hash    [sha256.Size]byte
	account wasabiridge.ClientAccount
}

// Find returns the client account of a key in a configuration, and whether there is
// one. The hash of the key is compared with the candidates in constant time. Find
// builds a new table when cfg is not the configuration of the previous call.
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

// newTable builds the table of a configuration. Key hashes that are not hexadecimal
// SHA-256 hashes are skipped.
func newTable(cfg *wasabiridge.Config) *table {
	t := &table{config: cfg, entries: map[[bucketBytes]byte][]entry{}}
	for _, account := range cfg.Accounts {
		for _, text := range account.KeyHashes {
			hash, err := hex.DecodeString(text)
			if err != nil || len(hash) != sha256.Size {
				continue
			}
			bucket := [bucketBytes]byte(hash[:bucketBytes])
			e := entry{hash: [sha256.Size]byte(hash), account: account}
			t.entries[bucket] = append(t.entries[bucket], e)
		}
	}
	return t
}
