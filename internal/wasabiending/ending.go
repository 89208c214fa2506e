// Package wasabiending checks whether a server whose connection broke has ended, that
// is, whether nothing listens at its address any more. The check is inconclusive, and
// reports false, when the server still listens or no reply arrives.
//
// # Usage
//
//	var endings wasabiending.Checker
//	if endings.HasEnded(ctx, "10.0.0.7:8080") {
//		...
//	}
package wasabiending

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a check. redialDelay is the delay before a second connection
	// to a server that accepted the first one: its listener may be closed after its
	// connections.
	dialTimeout = 100 * time.Millisecond
	redialDelay = 10 * time.Millisecond
	// resultLifetime is how long the result of a check is reused, so that all requests
	// of a server share one check. Servers take longer than that to start.
	resultLifetime = 200 * time.Millisecond
)

// Checker checks each server once for all requests that it had. The zero value is ready
// to use and safe for concurrent use.
type Checker struct {
	mu     sync.Mutex
	checks map[string]*check
}

// check is one check of a server. ended may be read after done is closed.
type check struct {
	startedAt time.Time
	done      chan struct{}
	ended     bool
}

// HasEnded reports whether the server at an address, given as IP:port, has ended. It
// reports false when the context ends before the result is known.
func (c *Checker) HasEnded(ctx context.Context, address string) bool {
	if ctx.Err() != nil {
		return false
	}
	entry, first := c.check(address)
	if first {
		entry.ended = refusesConnections(address)
		close(entry.done)
	}
	select {
	case <-entry.done:
		return entry.ended
	case <-ctx.Done():
		return false
	}
}

// check returns the current check of an address, and whether the caller has to perform
// it.
func (c *Checker) check(address string) (*check, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, entry := range c.checks {
		if time.Since(entry.startedAt) >= resultLifetime {
			delete(c.checks, other)
		}
	}
	if entry := c.checks[address]; entry != nil {
		return entry, false
	}
	if c.checks == nil {
		c.checks = map[string]*check{}
	}
	entry := &check{startedAt: time.Now(), done: make(chan struct{})}
	c.checks[address] = entry
	return entry, true
}

// refusesConnections reports whether an address refuses connections, because nothing
// listens there.
func refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if dialRefused(ctx, address) {
		return true
	}
	select {
	case <-time.After(redialDelay):
		return dialRefused(ctx, address)
	case <-ctx.Done():
		return false
	}
}

func dialRefused(ctx context.Context, address string) bool {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
