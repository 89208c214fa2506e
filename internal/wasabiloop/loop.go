// Package wasabiloop runs the decisions: one goroutine owns the Decider, takes
// events from a bounded ring and hands the effects to whoever asked.
//
// # Usage
//
//	loop := wasabiloop.New(wasabiloop.Options{Decider: core, Clock: clock})
//	defer loop.Close()
//	box := wasabiloop.NewMailbox()
//	if err := loop.Submit(request, box); err != nil {
//		return err // Nothing ran.
//	}
//	defer loop.Forget(request.ID)
//	for effect := range box.Effects() {
//		...
//	}
//
// # Full rings
//
// A new request finds the ring full when more than three quarters of it are
// taken: it is refused, and nothing ran. Events of requests that were taken
// wait; the loop never waits for a request, so they move on. Observations
// such as load reports and cache events are dropped and counted, because
// newer ones follow. A mailbox that is full means that its owner stands still
// while the decider goes on; the mailbox is closed, and the owner gives its
// request up.
package wasabiloop

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// DefaultRing is how many events wait for the decider at most.
	DefaultRing = 8192
	// tickInterval is how often the decider is told that time has passed.
	tickInterval = 20 * time.Millisecond
	// mailboxSize is how many effects wait for a request. A decider sends a
	// request a dispatch or two at a time and then waits for events.
	mailboxSize = 16
)

// Options are the parts of a loop. Decider and Clock are needed.
type Options struct {
	Decider wasabiridge.Decider
	Clock   wasabiridge.Clock
	// Recorder takes time line events. Nil drops them.
	Recorder wasabiridge.Recorder
	// Ring is the size of the ring. Zero means DefaultRing.
	Ring int
}

// Loop drives a Decider. It is safe for concurrent use.
type Loop struct {
	options Options
	ring    chan message
	stop    chan struct{}
	done    chan struct{}
	close   sync.Once
	dropped atomic.Uint64
	// boxes belongs to the goroutine of the loop.
	boxes map[wasabiridge.RequestID]*Mailbox
	// unwanted holds dispatches that nobody carries out, until the decider is
	// told. It belongs to the goroutine of the loop too.
	unwanted []wasabiridge.Dispatch
}

// message is one entry of the ring: an event, and for a new request its
// mailbox.
type message struct {
	event  wasabiridge.Event
	box    *Mailbox
	forget wasabiridge.RequestID
	call   func()
}

// New starts a loop. Close ends it.
func New(o Options) *Loop {
	if o.Ring <= 0 {
		o.Ring = DefaultRing
	}
	l := &Loop{
		options: o,
		ring:    make(chan message, o.Ring),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		boxes:   map[wasabiridge.RequestID]*Mailbox{},
	}
	go l.run()
	return l
}

// Submit presents a new request, whose effects go to the mailbox. It reports
// ErrUnavailable when the ring has no room; nothing ran then.
func (l *Loop) Submit(r wasabiridge.Request, box *Mailbox) error {
	if len(l.ring) >= cap(l.ring)-cap(l.ring)/4 {
		return wasabiridge.ErrUnavailable.New("loop: too many events wait")
	}
	select {
	case l.ring <- message{event: wasabiridge.RequestArrived{Request: r}, box: box}:
		return nil
	case <-l.stop:
		return wasabiridge.ErrUnavailable.New("loop: closed")
	default:
		return wasabiridge.ErrUnavailable.New("loop: ring is full")
	}
}

// Post tells the decider what happened to a request. It waits for room.
func (l *Loop) Post(e wasabiridge.Event) {
	l.send(message{event: e})
}

// Observe tells the decider something that may be lost. It reports false,
// and counts, when there is no room.
func (l *Loop) Observe(e wasabiridge.Event) bool {
	select {
	case l.ring <- message{event: e}:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Forget closes the mailbox of a request that is over. A dispatch that nobody
// took is answered as not run, so that the decider never waits for it.
func (l *Loop) Forget(id wasabiridge.RequestID) {
	l.send(message{forget: id})
}

// Inspect runs a function between two events, so that it may read the
// decider. It reports false when the loop is closed.
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

// Dropped returns how many observations were lost for lack of room.
func (l *Loop) Dropped() uint64 {
	return l.dropped.Load()
}

// Close ends the loop and closes all mailboxes. It returns after the
// goroutine has ended.
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
	defer l.closeBoxes()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-l.ring:
			l.take(m)
			l.answerUnwanted()
		case <-ticker.C:
			l.handle(wasabiridge.Ticked{})
			l.answerUnwanted()
		case <-l.stop:
			return
		}
	}
}

func (l *Loop) closeBoxes() {
	for _, box := range l.boxes {
		box.close()
	}
}

func (l *Loop) take(m message) {
	if m.call != nil {
		m.call()
		return
	}
	if m.forget != "" {
		l.forget(m.forget)
		return
	}
	if arrived, ok := m.event.(wasabiridge.RequestArrived); ok && m.box != nil {
		l.boxes[arrived.Request.ID] = m.box
	}
	l.handle(m.event)
}

func (l *Loop) forget(id wasabiridge.RequestID) {
	box, ok := l.boxes[id]
	if !ok {
		return
	}
	delete(l.boxes, id)
	box.close()
	for e := range box.effects {
		l.discard(e)
	}
}

// handle gives the decider an event and carries out what it wants.
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

// discard notes a dispatch that nobody carries out.
func (l *Loop) discard(effect wasabiridge.Effect) {
	if d, ok := effect.(wasabiridge.Dispatch); ok {
		l.unwanted = append(l.unwanted, d)
	}
}

// answerUnwanted answers dispatches that nobody carries out. Without the
// answer the decider would count them against their backend servers for ever.
func (l *Loop) answerUnwanted() {
	for len(l.unwanted) > 0 {
		d := l.unwanted[0]
		l.unwanted = l.unwanted[1:]
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

// deliver puts an effect into its request's mailbox. It reports false when
// the request is gone or stands still.
func (l *Loop) deliver(effect wasabiridge.Effect) bool {
	id := requestOf(effect)
	box, ok := l.boxes[id]
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
