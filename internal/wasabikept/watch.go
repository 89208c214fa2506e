// Package wasabikept knows which stores of kept KV cache can be reached.
//
// # Who looks
//
// Only instances that callers are sent to place prompts, so only they look. They
// keep one connection open to each store and see once a second whether it still
// stands; a new one is opened only after the last has ended. An instance that is
// not sent any callers takes every store for reachable: the few prompts that
// reach it all the same lose some hundred milliseconds at a dead store, and would
// be computed as a whole without one.
//
// The failure it guards against: with a new connection a second from every
// instance, their number grows with instances times stores. At 195 instances
// stores took two thirds of all connections that the system opened.
//
// # Usage
//
//	watch := wasabikept.New(wasabikept.Options{Reacher: pool, Active: node.isActive})
//	for _, seen := range watch.Look(ctx, config.KeptCaches) {
//		loop.Observe(seen.KeptCacheSeen)
//	}
package wasabikept

import (
	"context"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// Interval is the time between two looks. A store that dies is asked in vain for
// as long.
const Interval = time.Second

// Reacher keeps a connection to each address that it reached.
type Reacher interface {
	// Reach reports whether an address can be reached, by the connection that it
	// keeps or by a new one.
	Reach(ctx context.Context, address string) bool
	// Drop closes what is kept for an address.
	Drop(address string)
}

// Options are the parts of a Watch. Both are needed.
type Options struct {
	Reacher Reacher
	// Active reports whether callers are sent to this instance.
	Active func() bool
}

// Watch remembers which stores can be reached. It is not safe for concurrent use.
type Watch struct {
	options Options
	up      map[string]bool
}

// New returns a watch that has seen nothing.
func New(o Options) *Watch {
	return &Watch{options: o, up: map[string]bool{}}
}

// Seen is what can be said of a store. Changed says that it is another thing than
// at the last look.
type Seen struct {
	wasabiridge.KeptCacheSeen
	Changed bool
}

// Look returns what can be said of all stores. It tells of each at every look, so
// that nothing hangs on one event being taken.
func (w *Watch) Look(ctx context.Context, stores []wasabiridge.KeptCache) []Seen {
	active := w.options.Active()
	listed := make(map[string]bool, len(stores))
	seen := make([]Seen, 0, len(stores))
	for _, s := range stores {
		listed[s.Address] = true
		up := !active || w.options.Reacher.Reach(ctx, s.Address)
		if !active {
			w.options.Reacher.Drop(s.Address)
		}
		was, known := w.up[s.Address]
		w.up[s.Address] = up
		seen = append(seen, Seen{KeptCacheSeen: wasabiridge.KeptCacheSeen{Address: s.Address, Up: up}, Changed: !known || was != up})
	}
	for address := range w.up {
		if !listed[address] {
			w.options.Reacher.Drop(address)
			delete(w.up, address)
		}
	}
	return seen
}
