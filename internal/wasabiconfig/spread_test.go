package wasabiconfig_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconfig"
)

// spread runs many machines in one thread and in virtual time. Heartbeats,
// fetches and their answers are lost at random; the table is read directly.
type spread struct {
	rng      *rand.Rand
	loss     float64
	beat     wasabiridge.Millis
	now      wasabiridge.Millis
	order    uint64
	queue    agenda
	machines []*wasabiconfig.Machine
	held     []wasabiridge.ConfigDocument
	adopted  []wasabiridge.Millis
	head     wasabiridge.ConfigDocument
	storeUp  bool
	// split cuts the instances below it from the others, and these from the
	// table. Zero means that all reach each other.
	split int
	// beats, fetches, documents and reads count messages and reads of the
	// table.
	beats, fetches, documents, reads int
	broken                           string
}

type task struct {
	at    wasabiridge.Millis
	order uint64
	run   func()
}

type agenda []task

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(task)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

const tickSpan = 50

func newSpread(seed uint64, instances int, loss float64) *spread {
	s := &spread{rng: rand.New(rand.NewPCG(seed, 1)), loss: loss, beat: wasabiridge.Second, storeUp: true}
	for i := range instances {
		s.machines = append(s.machines, nil)
		s.held = append(s.held, wasabiridge.ConfigDocument{})
		s.adopted = append(s.adopted, 0)
		s.restart(i)
		s.after(s.upTo(tickSpan), func() { s.ticks(i) })
		s.after(s.upTo(s.beat), func() { s.beatsOf(i) })
	}
	return s
}

// restart gives an instance a machine that knows nothing.
func (s *spread) restart(i int) {
	s.machines[i] = wasabiconfig.NewMachine(s.rng.Uint64())
	s.held[i] = wasabiridge.ConfigDocument{}
	s.adopted[i] = 0
}

func (s *spread) upTo(span wasabiridge.Millis) wasabiridge.Millis {
	return wasabiridge.Millis(s.rng.Int64N(int64(span)))
}

func (s *spread) after(span wasabiridge.Millis, run func()) {
	s.order++
	heap.Push(&s.queue, task{at: s.now + span, order: s.order, run: run})
}

// send carries a message between two instances, or loses it.
func (s *spread) send(i, j int, run func()) {
	if s.rng.Float64() >= s.loss && (i < s.split) == (j < s.split) {
		s.after(1+s.upTo(3), run)
	}
}

func (s *spread) runUntil(end wasabiridge.Millis, done func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= end && !done() {
		t := heap.Pop(&s.queue).(task)
		s.now = t.at
		t.run()
	}
	if !done() {
		s.now = end
	}
}

func never() bool { return false }

func (s *spread) ticks(i int) {
	s.handle(i, wasabiconfig.Ticked{Instances: len(s.machines)})
	s.after(tickSpan, func() { s.ticks(i) })
}

func (s *spread) beatsOf(i int) {
	s.exchange(i)
	s.after(s.beat, func() { s.beatsOf(i) })
}

// exchange is one heartbeat with a random peer and its answer.
func (s *spread) exchange(i int) {
	j := s.rng.IntN(len(s.machines) - 1)
	if j >= i {
		j++
	}
	s.beats++
	mine := s.held[i].Version
	s.send(i, j, func() {
		s.handle(j, wasabiconfig.Heard{Address: address(i), Version: mine})
		s.beats++
		theirs := s.held[j].Version
		s.send(i, j, func() { s.handle(i, wasabiconfig.Heard{Address: address(j), Version: theirs}) })
	})
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256) }

func (s *spread) handle(i int, e wasabiconfig.Event) {
	machine := s.machines[i]
	effects := append([]wasabiconfig.Effect(nil), machine.Handle(s.now, e)...)
	for _, effect := range effects {
		s.carryOut(i, effect)
	}
}

func (s *spread) carryOut(i int, e wasabiconfig.Effect) {
	switch e := e.(type) {
	case wasabiconfig.FetchFromPeer:
		s.fetch(i, e.Address)
	case wasabiconfig.ReadTable:
		s.reads++
		s.after(5, func() { s.readTable(i, e.Have) })
	case wasabiconfig.Announce:
		for range min(e.Peers, len(s.machines)-1) {
			s.exchange(i)
		}
	case wasabiconfig.Adopt:
		if e.Document.Version <= s.held[i].Version {
			s.broken = fmt.Sprintf("instance %d went from version %d to %d", i, s.held[i].Version, e.Document.Version)
		}
		s.held[i] = e.Document
		s.adopted[i] = s.now
	}
}

func (s *spread) fetch(i int, from string) {
	s.fetches++
	var j int
	for address(j) != from {
		j++
	}
	machine := s.machines[i]
	s.send(i, j, func() {
		s.documents++
		d := s.held[j]
		s.send(i, j, func() {
			if s.machines[i] == machine {
				s.handle(i, wasabiconfig.Fetched{Address: from, Document: d})
			}
		})
	})
}

func (s *spread) readTable(i int, have wasabiridge.ConfigVersion) {
	answer := wasabiconfig.TableRead{}
	if !s.storeUp || i < s.split != (s.split > 0) {
		answer.Err = wasabiridge.ErrUnavailable.New("outage")
	} else if s.head.Version > have {
		answer.Document = s.head
	}
	s.handle(i, answer)
}

// put makes the next version the head of the table and, unless the writer
// dies with it, accepted at an instance.
func (s *spread) put(text string, at int, writerLives bool) {
	s.head = wasabiridge.ConfigDocument{Version: s.head.Version + 1, Text: []byte(text), Author: "ana", At: s.now}
	if writerLives {
		s.handle(at, wasabiconfig.Accepted{Document: s.head})
	}
}

func (s *spread) everywhere() bool {
	for _, d := range s.held {
		if d.Version != s.head.Version {
			return false
		}
	}
	return true
}
