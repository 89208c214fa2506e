// Package wasabiloop runs the event loop around a Decider: one goroutine owns the
// Decider, takes events from a bounded queue, called the ring, and delivers the
// effects to the mailboxes of the requests.
//
// # Usage
//
//	loop := wasabiloop.New(wasabiloop.Options{Decider: core, Clock: clock})
//	defer loop.Close()
//	box := wasabiloop.NewMailbox()
//	if err := loop.Submit(request, box); err != nil {
//		return err // The request has not run.
//	}
//	defer loop.CloseMailbox(request.ID)
//	for effect := range box.Effects() {
//		...
//	}
//
// # Overload
//
// A new request is refused, without having run, when at least three quarters of
// the ring are in use. Events of accepted requests block their senders until the
// ring has room. This cannot deadlock, because the loop never waits for a request.
// Observations such as load reports and cache events are dropped and counted when
// the ring is full, because newer ones follow. A full mailbox means that the
// goroutine of its request is stalled; the loop closes the mailbox, and the
// goroutine must abort the request.
package wasabiloop

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

const (
	// DefaultRingSize is the default capacity of the ring, in events.
	DefaultRingSize = 8192
	// tickInterval is the interval of Ticked events.
	tickInterval = 20 * time.Millisecond
	// idleInterval is the same while the decider is idle. Instances that callers are not sent
	// to are idle nearly all of the time.
	idleInterval = 250 * time.Millisecond
	// mailboxSize is the capacity of a mailbox, in effects. A decider emits one
	// or two dispatches for a request and then waits for its events.
	mailboxSize = 16
)

// Options configures a Loop. Decider and Clock are required.
type Options struct {
	Decider wasabiridge.Decider
	Clock   wasabiridge.Clock
	// Recorder receives the timeline events. Nil drops them.
	Recorder wasabiridge.Recorder
	// RingSize is the capacity of the ring, in events. Zero or less means
	// DefaultRingSize.
	RingSize int
}

// Idler is implemented by a decider that knows when nothing depends on frequent Ticked events.
type Idler interface {
	// Idle reports whether there is no request and nothing is due.
	Idle() bool
}

// Loop drives a Decider. It is safe for concurrent use.
type Loop struct {
	options Options
	ring    chan message
	stop    chan struct{}
	done    chan struct{}
	close   sync.Once
	dropped atomic.Uint64
	// mailboxes is only accessed by the goroutine of the loop.
	mailboxes map[wasabiridge.RequestID]*Mailbox
	// undelivered holds dispatches that no request received, until the decider
	// gets their results. It is only accessed by the goroutine of the loop.
	undelivered []wasabiridge.Dispatch
}

// message is one entry of the ring. It holds an event, with the mailbox if the event
// is a new request; or a request whose mailbox is to be closed; or a function to call.
type message struct {
	event  wasabiridge.Event
	box    *Mailbox
	forget wasabiridge.RequestID
	call   func()
}

// New returns a running Loop. Close stops it.
func New(o Options) *Loop {
	if o.RingSize <= 0 {
		o.RingSize = DefaultRingSize
	}
	l := &Loop{
		options:   o,
		ring:      make(chan message, o.RingSize),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		mailboxes: map[wasabiridge.RequestID]*Mailbox{},
	}
	go l.run()
	return l
}

// Submit adds a new request, whose effects are delivered to the mailbox. It returns
// ErrUnavailable if at least three quarters of the ring are in use or the loop is
// closed; the
// request has not run then.
func (l *Loop) Submit(r wasabiridge.Request, box *Mailbox) error {
	if len(l.ring) >= cap(l.ring)-cap(l.ring)/4 {
		return wasabiridge.ErrUnavailable.New("loop: three quarters of the event ring are in use")
	}
	select {
	case l.ring <- message{event: wasabiridge.RequestArrived{Request: r}, box: box}:
		return nil
	case <-l.stop:
		return wasabiridge.ErrUnavailable.New("loop: closed")
	default:
		return wasabiridge.ErrUnavailable.New("loop: event ring is full")
	}
}

// Post passes an event of a request to the decider. It blocks while the ring is full.
func (l *Loop) Post(e wasabiridge.Event) {
	l.send(message{event: e})
}

// TryPost passes an event that may be lost to the decider. If the ring is full, it
// drops the event, increments the counter of Dropped and returns false.
func (l *Loop) TryPost(e wasabiridge.Event) bool {
	select {
	case l.ring <- message{event: e}:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// CloseMailbox closes the mailbox of a request that has ended. Dispatches left in the
// mailbox are reported to the decider as cancelled, so that it does not wait for
// their results.
func (l *Loop) CloseMailbox(id wasabiridge.RequestID) {
	l.send(message{forget: id})
}

// Inspect calls f in the goroutine of the loop, where it may read the decider, and
// waits for it to return. It reports false if the loop is closed.
func (l *Loop) Inspect(f func()) bool {
	done := make(chan struct{})
	l.send(message{call: func() { f(); close(done) }})
	select {
	case <-done:
		return true
	case <-l.done:
		return false
	}
}

// Dropped returns the number of events that TryPost dropped.
func (l *Loop) Dropped() uint64 {
	return l.dropped.Load()
}

// Close stops the loop and closes all mailboxes. It returns after the goroutine of
// the loop has ended.
func (l *Loop) Close() {
	l.close.Do(func() { close(l.stop) })
	<-l.done
}

func (l *Loop) send(m message) {
	select {
	case l.ring <- m:
	case <-l.done:
	}
}

func (l *Loop) run() {
	defer close(l.done)
	defer l.closeMailboxes()
	ticker := wasabipulse.New(tickInterval)
	defer ticker.Stop()
	idler, _ := l.options.Decider.(Idler)
	idle := false
	for {
		select {
		case m := <-l.ring:
			l.process(m)
			l.cancelUndelivered()
			if idle && !idler.Idle() {
				idle = false
				ticker.Next(tickInterval)
			}
		case <-ticker.C:
			l.handle(wasabiridge.Ticked{})
			l.cancelUndelivered()
			interval := tickInterval
			if idle = idler != nil && idler.Idle(); idle {
				interval = idleInterval
			}
			ticker.Next(interval)
		case <-l.stop:
			return
		}
	}
}

func (l *Loop) closeMailboxes() {
	for _, box := range l.mailboxes {
		box.close()
	}
}

func (l *Loop) process(m message) {
	if m.call != nil {
		m.call()
		return
	}
	if m.forget != "" {
		l.forget(m.forget)
		return
	}
	if arrived, ok := m.event.(wasabiridge.RequestArrived); ok && m.box != nil {
		l.mailboxes[arrived.Request.ID] = m.box
	}
	l.handle(m.event)
}

func (l *Loop) forget(id wasabiridge.RequestID) {
	box, ok := l.mailboxes[id]
	if !ok {
		return
	}
	delete(l.mailboxes, id)
	box.close()
	for e := range box.effects {
		l.discard(e)
	}
}

// handle passes an event to the decider and carries out the effects.
func (l *Loop) handle(e wasabiridge.Event) {
	for _, effect := range l.options.Decider.Handle(l.options.Clock.Now(), e) {
		l.carryOut(effect)
	}
}

func (l *Loop) carryOut(effect wasabiridge.Effect) {
	if record, ok := effect.(wasabiridge.Record); ok {
		l.record(record.Event)
		return
	}
	if !l.deliver(effect) {
		l.discard(effect)
	}
}

// discard marks a dispatch as undelivered. Other effects are dropped.
func (l *Loop) discard(effect wasabiridge.Effect) {
	if d, ok := effect.(wasabiridge.Dispatch); ok {
		l.undelivered = append(l.undelivered, d)
	}
}

// cancelUndelivered reports undelivered dispatches to the decider as cancelled.
// Without a result the decider would count them as in flight at their backend
// servers forever.
func (l *Loop) cancelUndelivered() {
	for len(l.undelivered) > 0 {
		d := l.undelivered[0]
		l.undelivered = l.undelivered[1:]
		l.handle(wasabiridge.AttemptEnded{
			Request: d.Request,
			Attempt: d.Attempt,
			Backend: d.Backend.ID,
			Result:  wasabiridge.AttemptCancelled,
		})
	}
}

func (l *Loop) record(e wasabiridge.TimelineEvent) {
	if l.options.Recorder != nil {
		l.options.Recorder.Record(e)
	}
}

// deliver puts an effect into the mailbox of its request. It returns false if the
// request has no mailbox any more or its mailbox is full.
func (l *Loop) deliver(effect wasabiridge.Effect) bool {
	id := requestOf(effect)
	box, ok := l.mailboxes[id]
	if !ok {
		return false
	}
	if box.offer(effect) {
		return true
	}
	l.forget(id)
	return false
}

func requestOf(effect wasabiridge.Effect) wasabiridge.RequestID {
	switch e := effect.(type) {
	case wasabiridge.Dispatch:
		return e.Request
	case wasabiridge.Cancel:
		return e.Request
	case wasabiridge.Refuse:
		return e.Request
	}
	return ""
}
