package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// savedMost bounds the remembered parts.
const savedMost = 16384

// keptCaches are the stores of kept KV cache and what they were given.
type keptCaches struct {
	stores []wasabiridge.KeptCache
	up     map[string]bool
	saved  map[uint64]bool
}

// first returns the first store that can be reached, or nil.
func (k *keptCaches) first() *wasabiridge.KeptCache {
	for i := range k.stores {
		if k.up[k.stores[i].Address] {
			return &k.stores[i]
		}
	}
	return nil
}

// address returns where that store is, or nothing.
func (k *keptCaches) address() string {
	if store := k.first(); store != nil {
		return store.Address
	}
	return ""
}

// seen notes whether a store can be reached. One that was away returns empty.
func (k *keptCaches) seen(e wasabiridge.KeptCacheSeen) {
	if k.up[e.Address] && !e.Up {
		clear(k.saved)
	}
	k.up[e.Address] = e.Up
}

// remember notes that a part was saved.
func (k *keptCaches) remember(key uint64) {
	if len(k.saved) >= savedMost {
		clear(k.saved)
	}
	k.saved[key] = true
}
