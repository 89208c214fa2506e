package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// keptCaches are the stores of kept KV cache and what they were given. Engines
// are sent to the first store that can be reached.
type keptCaches struct {
	stores []wasabiridge.KeptCache
	up     map[string]bool
	cache  cache
	// tokenMillis is the time that a token takes over the store's link, idleAt
	// when the transfers that are known will be done.
	tokenMillis float64
	idleAt      float64
}

func newKeptCaches() keptCaches {
	return keptCaches{up: map[string]bool{}, cache: newCache()}
}

// adopt takes the stores of a configuration.
func (k *keptCaches) adopt(c wasabiridge.Config) {
	k.stores = c.KeptCaches
	if len(k.stores) == 0 {
		return
	}
	k.cache.limit = k.stores[0].CacheTokens
	for _, pool := range c.Pools {
		if pool.TokenBytes > 0 && k.stores[0].LinkMegabits > 0 {
			k.tokenMillis = transfer(pool.TokenBytes, k.stores[0].LinkMegabits)
		}
	}
}

// wait is how long a transfer waits for those before it. A store's transfers
// run one after another.
func (k *keptCaches) wait(now wasabiridge.Millis) float64 {
	return max(0, k.idleAt-float64(now))
}

func (k *keptCaches) occupy(now wasabiridge.Millis, tokens int) {
	k.idleAt = max(k.idleAt, float64(now)) + float64(tokens)*k.tokenMillis
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

// holds reports whether the store is believed to hold a part.
func (k *keptCaches) holds(key uint64) bool {
	_, ok := k.cache.find(key)
	return ok
}

// seen notes whether a store can be reached. One that was away returns empty.
func (k *keptCaches) seen(e wasabiridge.KeptCacheSeen) {
	if k.up[e.Address] && !e.Up {
		k.cache.clear()
	}
	k.up[e.Address] = e.Up
}

// save notes that a part and what a request read beyond it went to the store,
// fetch that a part was fetched from there, which keeps it from yielding.
func (k *keptCaches) save(now wasabiridge.Millis, key uint64, tokens, own int) {
	k.occupy(now, tokens+own)
	k.cache.use(key, tokens)
	k.cache.fill(own)
}

func (k *keptCaches) fetch(now wasabiridge.Millis, key uint64, tokens int) {
	k.occupy(now, tokens)
	if k.holds(key) {
		k.cache.use(key, tokens)
	}
}
