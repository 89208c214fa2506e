// Package wasabikept monitors which KV cache stores can be reached.
//
// # Which instances poll
//
// Only instances that serve callers place prompts, so only they poll the stores. They
// keep one connection to each store and check once a second whether it is still open; a
// new connection is opened only after the last one has ended. An instance that does not
// serve callers assumes that every store is reachable. The few prompts that it receives
// all the same lose some hundred milliseconds at a dead store. If it assumed the
// opposite, they would be computed in full although a store holds them.
//
// Polling with a new connection per second from every instance would make their number
// grow with instances times stores. At 195 instances the stores took two thirds of all
// connections that the system opened.
//
// # Usage
//
//	monitor := wasabikept.New(wasabikept.Options{Prober: pool, IsServing: node.isActive})
//	for _, seen := range monitor.Poll(ctx, config.CacheStores) {
//		loop.TryPost(seen.CacheStoreChecked)
//	}
package wasabikept

import (
	"context"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// PollInterval is the time between two polls. For up to this long, requests are sent in
// vain to a store that has died.
const PollInterval = time.Second

// Prober keeps a connection to each address that it has reached.
type Prober interface {
	// Probe reports whether an address can be reached, through the open connection or
	// through a new one.
	Probe(ctx context.Context, address string) bool
	// CloseIdle closes the connection to an address, if there is one.
	CloseIdle(address string)
}

// Options configures a Monitor. Both fields are required.
type Options struct {
	Prober Prober
	// IsServing reports whether this instance serves callers.
	IsServing func() bool
}

// Monitor tracks which stores can be reached. It is not safe for concurrent use.
type Monitor struct {
	options   Options
	reachable map[string]bool
}

// New returns a Monitor that has not polled any store.
func New(o Options) *Monitor {
	return &Monitor{options: o, reachable: map[string]bool{}}
}

// StoreStatus is the state of a store. Changed reports that it differs from the last
// poll, or that this is the first poll of the store.
type StoreStatus struct {
	wasabiridge.CacheStoreChecked
	Changed bool
}

// Poll returns the state of all stores, in their order. Every poll includes the
// unchanged ones, so that a lost event has no lasting effect.
func (w *Monitor) Poll(ctx context.Context, stores []wasabiridge.CacheStore) []StoreStatus {
	active := w.options.IsServing()
	listed := make(map[string]bool, len(stores))
	seen := make([]StoreStatus, 0, len(stores))
	for _, s := range stores {
		listed[s.Address] = true
		reachable := !active || w.options.Prober.Probe(ctx, s.Address)
		if !active {
			w.options.Prober.CloseIdle(s.Address)
		}
		previous, known := w.reachable[s.Address]
		w.reachable[s.Address] = reachable
		seen = append(seen, StoreStatus{CacheStoreChecked: wasabiridge.CacheStoreChecked{Address: s.Address, Up: reachable}, Changed: !known || previous != reachable})
	}
	for address := range w.reachable {
		if !listed[address] {
			w.options.Prober.CloseIdle(address)
			delete(w.reachable, address)
		}
	}
	return seen
}
