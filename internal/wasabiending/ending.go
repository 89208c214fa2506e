// Package wasabiending tells whether a server whose connection broke has ended: then
// nothing listens at its address any more. A server that listens on, and a path on which
// nothing comes back, tell nothing.
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
	// dialTimeout bounds the question whether a server still listens, dialAgain is when
	// one that does is asked once more: its listener may be closed after the connections.
	dialTimeout = 100 * time.Millisecond
	dialAgain   = 10 * time.Millisecond
	// answerLife is for how long an answer counts, so that all the requests that a server
	// had ask once. Servers need longer to start.
	answerLife = 200 * time.Millisecond
)

// Checker asks each server once for all the requests that it had. The zero value works
// and is safe for concurrent use.
type Checker struct {
	mu    sync.Mutex
	asked map[string]*question
}

// question is one question about a server. Its answer may be read after done is closed.
type question struct {
	at    time.Time
	done  chan struct{}
	ended bool
}

// HasEnded reports whether the server at an address, given as IP:port, has ended. It
// reports false when the context ends before that is known.
func (c *Checker) HasEnded(ctx context.Context, address string) bool {
	if ctx.Err() != nil {
		return false
	}
	q, first := c.question(address)
	if first {
		q.ended = refuses(address)
		close(q.done)
	}
	select {
	case <-q.done:
		return q.ended
	case <-ctx.Done():
		return false
	}
}

// question returns the question about an address, and whether the caller is to find its
// answer.
func (c *Checker) question(address string) (*question, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, q := range c.asked {
		if time.Since(q.at) >= answerLife {
			delete(c.asked, other)
		}
	}
	if q := c.asked[address]; q != nil {
		return q, false
	}
	if c.asked == nil {
		c.asked = map[string]*question{}
	}
	q := &question{at: time.Now(), done: make(chan struct{})}
	c.asked[address] = q
	return q, true
}

// refuses reports whether nothing listens at an address, by a connection that is turned
// away.
func refuses(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if dialRefused(ctx, address) {
		return true
	}
	select {
	case <-time.After(dialAgain):
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
