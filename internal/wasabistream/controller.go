// Package wasabistream remembers at which software version the streams of callers began, so
// that a caller whose connection broke can resume its stream at any instance.
//
// # Streams
//
// What two versions of a backend server's software write does not fit together, so a stream
// continues only where it began. The caller names the request that began the stream; only
// the instance that served it knows the version. When it sends a request that begins a
// stream to a server, it notifies three others, chosen by rendezvous hashing of the stream,
// so that they know before the first event comes. An instance at which a stream is resumed
// looks it up in its own table, then asks the instances with the highest ranks, and then the
// others.
//
// An attempt without any event may be followed by one at another version. That one is not
// sent before all instances that were notified of the first have acknowledged the second, or
// have ended. So a record may arrive late, twice or never: a missing one makes a stream
// unresumable, and none makes it continue elsewhere.
//
// # Unknown streams
//
// If no instance knows the stream, it continues only if all streams of its pool began at the
// same version. That is proven by an instance which has followed the platform's list of
// backend servers for longer than a stream lasts and has read it within the last second, if
// neither it nor any other instance that answers has seen a second version. Versions that
// are new in a pool are not used for new streams before every such list contains them; see
// SettleTime. An instance that has just started proves nothing; it reads the versions from
// the platform's table, in which each is registered before streams begin at it. See Registry.
//
// # Usage
//
//	streams := wasabistream.New(wasabistream.Options{Clock: clock, Active: active, Finder: client, Send: send})
//	streams.Begin(wasabiridge.StreamUpdate{Key: wasabistream.Key(account, request), Origin: origin, Sequence: 1, Life: life})
//	finding := streams.Find(ctx, account, resumes, pool, window)
package wasabistream

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

const (
	// flushDelay is how long a stream waits for other messages to the same instance, before
	// one is sent for it. Beyond maxMessages such messages in a second, it waits for
	// slowFlushDelay, within which instances that serve callers send each other an update.
	flushDelay     = 10 * time.Millisecond
	slowFlushDelay = 110 * time.Millisecond
	maxMessages    = 200
	// sendTimeout bounds sending streams to one instance.
	sendTimeout = 500 * time.Millisecond
	// firstAsked is the number of instances that are asked first, and maxAsked that of all.
	firstAsked = 8
	maxAsked   = 64
	// askTimeout bounds the time to ask a group of instances.
	askTimeout = 150 * time.Millisecond
	// startTime is how long after its start an instance may not know any other one.
	startTime = 2 * wasabiridge.Second
	// peersLife is how long the instances that may be notified of streams are not computed again.
	peersLife = 100 * wasabiridge.Millis(1)
	// watchInterval is how often the age of the list is noted.
	watchInterval = 250 * time.Millisecond
)

// Options configure a Controller. Clock is required.
type Options struct {
	// Clock keeps running while the process is suspended.
	Clock wasabiridge.Clock
	// Active returns the other instances that callers are sent to, Members all others that
	// run. Nil means that there are none.
	Active  func() []wasabiridge.InstanceEntry
	Members func() []wasabiridge.InstanceEntry
	// Listed returns the platform's list of backend servers and when it was last read.
	// Nil means that it is not known.
	Listed func() (entries []wasabiridge.BackendEntry, readAt wasabiridge.Millis)
	// Registry reads the versions at which streams may have begun. Nil means that they are
	// not registered.
	Registry *Registry
	// Finder asks other instances, Send sends an update to one. Both are required with
	// Active or Members.
	Finder wasabiridge.StreamFinder
	Send   func(ctx context.Context, address string, update wasabiridge.StateUpdate) error
	// Ended reports whether no process listens at an address any more. Nil means that it is
	// not known.
	Ended func(ctx context.Context, address string) bool
	Log   zerolog.Logger
	// Schedule calls a function after a delay. Nil means time.AfterFunc.
	Schedule func(delay time.Duration, run func())
}

// Controller connects a Table and a History to the other instances. It is safe for
// concurrent use.
type Controller struct {
	options Options

	mu      sync.Mutex
	table   *Table
	history *History
	counts  Counts
	// peers is the last result of homesAt, computed at peersAt.
	peers   []wasabiridge.InstanceEntry
	peersAt wasabiridge.Millis
	// messages counts the messages for streams since secondBegan.
	messages    int
	secondBegan wasabiridge.Millis
}

// Counts holds counters since the start.
type Counts struct {
	// Remembered is the number of streams in the table, Dropped that of those for which
	// there was no room.
	Remembered int
	Dropped    uint64
	// Found counts the streams that callers resumed, by how they were found.
	Found map[Result]uint64
}

// New returns a Controller that remembers no stream.
func New(o Options) *Controller {
	if o.Schedule == nil {
		o.Schedule = func(delay time.Duration, run func()) { time.AfterFunc(delay, run) }
	}
	return &Controller{options: o, table: NewTable(), history: NewHistory(), counts: Counts{Found: map[Result]uint64{}}}
}

// Run follows the list of backend servers until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := wasabipulse.New(watchInterval)
	defer ticker.Stop()
	for {
		c.Watch()
		select {
		case <-ticker.C:
			ticker.Next(watchInterval)
		case <-ctx.Done():
			return
		}
	}
}

// Watch takes the current list of backend servers.
func (c *Controller) Watch() {
	if c.options.Listed == nil {
		return
	}
	entries, readAt := c.options.Listed()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.Read(readAt, entries)
}

// Begin records that a request is sent to a server at which a stream may begin, and notifies
// other instances. The caller may resume the stream within the life of the update. Begin does
// not block. It returns the addresses of the instances that it notifies.
func (c *Controller) Begin(u wasabiridge.StreamUpdate) []string {
	now := c.options.Clock.Now()
	peers := c.homesAt(now)
	c.mu.Lock()
	notified, idle := c.table.Begin(now, u, peers)
	c.mu.Unlock()
	delay := c.flushDelay(now, len(idle))
	for _, address := range idle {
		c.options.Schedule(delay, func() { c.flush(address) })
	}
	return notified
}

// flushDelay returns how long a number of messages wait for others to the same instances.
func (c *Controller) flushDelay(now wasabiridge.Millis, messages int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.secondBegan >= wasabiridge.Second {
		c.secondBegan, c.messages = now, 0
	}
	if c.messages+messages > maxMessages {
		return slowFlushDelay
	}
	c.messages += messages
	return flushDelay
}

// homesAt returns the instances that may be notified of a stream. They are computed at most once
// per peersLife.
func (c *Controller) homesAt(now wasabiridge.Millis) []wasabiridge.InstanceEntry {
	c.mu.Lock()
	peers, fresh := c.peers, c.peersAt > 0 && now-c.peersAt < peersLife
	c.mu.Unlock()
	if fresh {
		return peers
	}
	peers = c.active()
	if len(peers) < homes {
		peers = append(peers, c.members(peers)...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers, c.peersAt = peers, now
	return peers
}

// Replace replaces what Begin sent to instances, by an update with a higher sequence.
// It reports false if one of them may not have received it, so that it could still report
// what it was notified of first.
func (c *Controller) Replace(ctx context.Context, u wasabiridge.StreamUpdate, notified []string) bool {
	c.mu.Lock()
	c.table.Withdraw(u.Key, notified)
	c.table.Receive(c.options.Clock.Now(), u)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	acknowledged := make(chan bool, len(notified))
	for _, address := range notified {
		go func() {
			err := c.options.Send(ctx, address, wasabiridge.StateUpdate{Streams: []wasabiridge.StreamUpdate{u}})
			acknowledged <- err == nil || c.options.Ended != nil && c.options.Ended(ctx, address)
		}()
	}
	all := true
	for range notified {
		all = <-acknowledged && all
	}
	return all
}

// Add adds the streams that wait to be sent to an instance to an update for it.
func (c *Controller) Add(address string, update *wasabiridge.StateUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update.Streams = append(update.Streams, c.table.Take(address)...)
}

// flush sends the streams that wait to be sent to an instance, unless another message has
// carried them.
func (c *Controller) flush(address string) {
	var update wasabiridge.StateUpdate
	c.Add(address, &update)
	if len(update.Streams) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := c.options.Send(ctx, address, update); err != nil {
		c.options.Log.Debug().Err(err).Str("address", address).Int("streams", len(update.Streams)).Msg("Streams not sent.")
	}
}

// Receive takes an update of another instance.
func (c *Controller) Receive(update wasabiridge.StateUpdate) {
	if len(update.Streams) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range update.Streams {
		c.table.Receive(c.options.Clock.Now(), u)
	}
}

// Answer answers the query of another instance.
func (c *Controller) Answer(q wasabiridge.StreamQuery) wasabiridge.StreamAnswer {
	c.Watch()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	out := c.table.Find(now, q.Key)
	out.History = c.history.Of(now, q.Pool, q.Window)
	return out
}

// Counts returns the counters.
func (c *Controller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Counts{Found: map[Result]uint64{}}
	out.Remembered, out.Dropped = c.table.Len()
	for r, n := range c.counts.Found {
		out.Found[r] = n
	}
	return out
}
