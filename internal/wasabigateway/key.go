package wasabigateway

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

// keyIndex finds client accounts by their keys. It is built once for each
// configuration. The zero value is empty and safe for concurrent use.
type keyIndex struct {
	table atomic.Pointer[keyTable]
}

// keyTable belongs to one configuration and is never changed.
type keyTable struct {
	config  *wasabiridge.Config
	entries map[[bucketBytes]byte][]keyEntry
}

type keyEntry struct {
	hash    [sha256.Size]byte
	account wasabiridge.ClientAccount
}

// find returns the client account of a key. Hashes are compared in constant
// time.
func (k *keyIndex) find(cfg *wasabiridge.Config, key string) (wasabiridge.ClientAccount, bool) {
	table := k.table.Load()
	if table == nil || table.config != cfg {
		table = newKeyTable(cfg)
		k.table.Store(table)
	}
	hash := sha256.Sum256([]byte(key))
	for _, e := range table.entries[[bucketBytes]byte(hash[:bucketBytes])] {
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			return e.account, true
		}
	}
	return wasabiridge.ClientAccount{}, false
}

func newKeyTable(cfg *wasabiridge.Config) *keyTable {
	t := &keyTable{config: cfg, entries: map[[bucketBytes]byte][]keyEntry{}}
	for _, account := range cfg.Accounts {
		for _, text := range account.KeyHashes {
			hash, err := hex.DecodeString(text)
			if err != nil || len(hash) != sha256.Size {
				continue
			}
			bucket := [bucketBytes]byte(hash[:bucketBytes])
			entry := keyEntry{hash: [sha256.Size]byte(hash), account: account}
			t.entries[bucket] = append(t.entries[bucket], entry)
		}
	}
	return t
}
