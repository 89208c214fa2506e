package wasabireplica

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// kvStores tracks the KV cache stores and what was saved to each.
//
// Each prompt belongs to one store, chosen by the key of its last shared segment. So
// the stores hold as much together as they have room for and share the transfers. All
// instances choose the same store without communicating, and the prompts of an
// unreachable store move to the remaining ones.
type kvStores struct {
	stores map[string]*kvStore
	// reachable are the stores that can be reached.
	reachable []*kvStore
}

// kvStore is one KV cache store.
type kvStore struct {
	wasabiridge.CacheStore
	// seed is hashed with the key of a prompt to rank the stores.
	seed  uint64
	cache cache
	// tokenMillis is the time that a token takes over the link of the store, in
	// milliseconds. freeAt is when all transfers known so far will be done.
	tokenMillis float64
	freeAt      float64
}

func newKVStores() kvStores {
	return kvStores{stores: map[string]*kvStore{}}
}

// adopt applies the stores of a configuration. Stores with the same address keep their
// state.
func (k *kvStores) adopt(c wasabiridge.Config) {
	known := k.stores
	k.stores = map[string]*kvStore{}
	for _, config := range c.CacheStores {
		s := known[config.Address]
		if s == nil {
			s = &kvStore{seed: xxhash.Sum64String(config.Address), cache: newCache()}
		}
		s.CacheStore, s.cache.limit = config, config.CacheTokens
		for _, pool := range c.Pools {
			if pool.TokenBytes > 0 && config.LinkMegabits > 0 {
				s.tokenMillis = transfer(pool.TokenBytes, config.LinkMegabits)
			}
		}
		k.stores[config.Address] = s
	}
	reachable := k.reachable
	k.reachable = nil
	for _, s := range reachable {
		if k.stores[s.Address] == s {
			k.reachable = append(k.reachable, s)
		}
	}
}

// storeOf returns the store of the prompts whose last shared segment has the given key,
// or nil when no store can be reached. It uses rendezvous hashing over the reachable
// stores, so that few prompts move when a store comes or goes.
func (k *kvStores) storeOf(key uint64) *kvStore {
	var best *kvStore
	var highest uint64
	for _, s := range k.reachable {
		if h := mix(s.seed ^ key); best == nil || h > highest {
			best, highest = s, h
		}
	}
	return best
}

// mix is the finalizer of MurmurHash3. It spreads keys evenly over all 64-bit values.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// holder returns the store that is assumed to hold a segment, or nil.
func (k *kvStores) holder(key uint64) *kvStore {
	if s := k.storeOf(key); s != nil && s.holds(key) {
		return s
	}
	return nil
}

// setReachable records whether a store can be reached. A store that was unreachable is
// assumed to return empty.
func (k *kvStores) setReachable(e wasabiridge.CacheStoreChecked) {
	s := k.stores[e.Address]
	if s == nil {
		return
	}
	i := -1
	for j, r := range k.reachable {
		if r == s {
			i = j
		}
	}
	switch {
	case e.Up && i < 0:
		k.reachable = append(k.reachable, s)
	case !e.Up && i >= 0:
		k.reachable = append(k.reachable[:i:i], k.reachable[i+1:]...)
		s.cache.clear()
	}
}

// addListed records the segments that a store reports.
func (k *kvStores) addListed(e wasabiridge.CacheStoreListed) {
	s := k.stores[e.Address]
	if s == nil {
		return
	}
	for _, segment := range e.Segments {
		s.cache.touch(segment.Key, segment.Tokens)
	}
}

// recordSave records that a segment and the request's own tokens were saved to the
// store of the segment. recordFetch records that a segment was fetched from there,
// which protects it from eviction. The segments before the last one of a prompt are
// counted at the stores of their own keys: they are never looked up alone, and the
// total over all stores is the same.
func (k *kvStores) recordSave(now wasabiridge.Millis, key uint64, tokens, own int) {
	s := k.storeOf(key)
	if s == nil {
		return
	}
	s.occupyLink(now, tokens+own)
	s.cache.touch(key, tokens)
	s.cache.addUnshared(own)
}

func (k *kvStores) recordFetch(now wasabiridge.Millis, key uint64, tokens int) {
	s := k.storeOf(key)
	if s == nil {
		return
	}
	s.occupyLink(now, tokens)
	if s.holds(key) {
		s.cache.touch(key, tokens)
	}
}

// wait returns how long a new transfer waits for earlier ones, in milliseconds. The
// transfers of a store run one after another.
func (s *kvStore) wait(now wasabiridge.Millis) float64 {
	return max(0, s.freeAt-float64(now))
}

func (s *kvStore) occupyLink(now wasabiridge.Millis, tokens int) {
	s.freeAt = max(s.freeAt, float64(now)) + float64(tokens)*s.tokenMillis
}

// holds reports whether the store is assumed to hold a segment.
func (s *kvStore) holds(key uint64) bool {
	_, ok := s.cache.lookup(key)
	return ok
}
