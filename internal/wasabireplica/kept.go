package wasabireplica

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// keptCaches are the stores of kept KV cache and what they were given.
//
// Each prompt has one store, by the name of its last shared part: stores then hold
// as much together as they have room for, and share the transfers. Instances agree
// on it without asking, and the prompts of a store that cannot be reached go to the
// others.
type keptCaches struct {
	stores map[string]*keptStore
	// reached are those that can be reached.
	reached []*keptStore
}

// keptStore is one store.
type keptStore struct {
	wasabiridge.KeptCache
	// seed tells the stores apart when prompts are shared out.
	seed  uint64
	cache cache
	// tokenMillis is the time that a token takes over the store's link, idleAt
	// when the transfers that are known will be done.
	tokenMillis float64
	idleAt      float64
}

func newKeptCaches() keptCaches {
	return keptCaches{stores: map[string]*keptStore{}}
}

// adopt takes the stores of a configuration.
func (k *keptCaches) adopt(c wasabiridge.Config) {
	known := k.stores
	k.stores = map[string]*keptStore{}
	for _, config := range c.KeptCaches {
		s := known[config.Address]
		if s == nil {
			s = &keptStore{seed: xxhash.Sum64String(config.Address), cache: newCache()}
		}
		s.KeptCache, s.cache.limit = config, config.CacheTokens
		for _, pool := range c.Pools {
			if pool.TokenBytes > 0 && config.LinkMegabits > 0 {
				s.tokenMillis = transfer(pool.TokenBytes, config.LinkMegabits)
			}
		}
		k.stores[config.Address] = s
	}
	reached := k.reached
	k.reached = nil
	for _, s := range reached {
		if k.stores[s.Address] == s {
			k.reached = append(k.reached, s)
		}
	}
}

// storeOf returns the store of the prompts whose last shared part has a key, or nil
// when none can be reached. Of those that can be, the one with the highest hash of
// store and key has it, so that few prompts change stores when one comes or goes.
func (k *keptCaches) storeOf(key uint64) *keptStore {
	var best *keptStore
	var most uint64
	for _, s := range k.reached {
		if h := mix(s.seed ^ key); best == nil || h > most {
			best, most = s, h
		}
	}
	return best
}

// mix spreads a key over all values.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// holder returns the store that is believed to hold a part, or nil.
func (k *keptCaches) holder(key uint64) *keptStore {
	if s := k.storeOf(key); s != nil && s.holds(key) {
		return s
	}
	return nil
}

// addressOf returns where the store of a part is, or nothing.
func (k *keptCaches) addressOf(key uint64) string {
	if s := k.storeOf(key); s != nil {
		return s.Address
	}
	return ""
}

// seen notes whether a store can be reached. One that was away returns empty.
func (k *keptCaches) seen(e wasabiridge.KeptCacheSeen) {
	s := k.stores[e.Address]
	if s == nil {
		return
	}
	i := -1
	for j, r := range k.reached {
		if r == s {
			i = j
		}
	}
	switch {
	case e.Up && i < 0:
		k.reached = append(k.reached, s)
	case !e.Up && i >= 0:
		k.reached = append(k.reached[:i:i], k.reached[i+1:]...)
		s.cache.clear()
	}
}

// listed notes what a store told that it holds.
func (k *keptCaches) listed(e wasabiridge.KeptCacheListed) {
	s := k.stores[e.Address]
	if s == nil {
		return
	}
	for _, part := range e.Parts {
		s.cache.use(part.Key, part.Tokens)
	}
}

// save notes that a part and what a request read beyond it went to its store, fetch
// that a part was fetched from there, which keeps it from yielding. Parts before the
// last are counted at the store of their own key: nobody looks for them alone, and
// the stores hold as much together.
func (k *keptCaches) save(now wasabiridge.Millis, key uint64, tokens, own int) {
	s := k.storeOf(key)
	if s == nil {
		return
	}
	s.occupy(now, tokens+own)
	s.cache.use(key, tokens)
	s.cache.fill(own)
}

func (k *keptCaches) fetch(now wasabiridge.Millis, key uint64, tokens int) {
	s := k.storeOf(key)
	if s == nil {
		return
	}
	s.occupy(now, tokens)
	if s.holds(key) {
		s.cache.use(key, tokens)
	}
}

// wait is how long a transfer waits for those before it. A store's transfers
// run one after another.
func (s *keptStore) wait(now wasabiridge.Millis) float64 {
	return max(0, s.idleAt-float64(now))
}

func (s *keptStore) occupy(now wasabiridge.Millis, tokens int) {
	s.idleAt = max(s.idleAt, float64(now)) + float64(tokens)*s.tokenMillis
}

// holds reports whether the store is believed to hold a part.
func (s *keptStore) holds(key uint64) bool {
	_, ok := s.cache.find(key)
	return ok
}
