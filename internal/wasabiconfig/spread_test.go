package wasabiconfig_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconfig"
	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
)

// simulation runs many instances in one thread and in virtual time, each with a machine
// of the membership and one of the configuration. Messages and their responses are lost
// at random; the table is read directly.
type simulation struct {
	rng       *rand.Rand
	loss      float64
	now       wasabiridge.Millis
	order     uint64
	queue     agenda
	instances []*instance
	entries   []wasabiridge.InstanceEntry
	index     map[string]int
	head      wasabiridge.ConfigDocument
	tableUp   bool
	// split partitions the instances with a lower index from the others, which also
	// lose the table. Zero means no partition.
	split int
	// measure enables the counting of bytes, which takes time.
	measure bool
	// heartbeats and bytes count heartbeats including responses; documents counts
	// fetches that were answered; reads counts reads of the table.
	heartbeats, bytes, documents, reads int
	violation                           string
}

// instance is one incarnation of an instance.
type instance struct {
	config  *wasabiconfig.Machine
	member  *wasabimember.Machine
	inForce wasabiridge.ConfigDocument
	adopted wasabiridge.Millis
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

func newSimulation(seed uint64, instances int, loss float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), loss: loss, tableUp: true, index: map[string]int{}}
	for i := range instances {
		entry := wasabiridge.InstanceEntry{
			ID:          wasabiridge.InstanceID(fmt.Sprintf("region-%d-%03d", i%4, i)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
			CallerURL:   fmt.Sprintf("http://10.0.%d.%d:8080", i/250, i%250),
			Zone:        wasabiridge.AvailabilityZone(fmt.Sprintf("zone-%d", i%9)),
			Region:      wasabiridge.Region(fmt.Sprintf("region-%d", i%4)),
		}
		s.entries = append(s.entries, entry)
		s.index[entry.PeerAddress] = i
		s.instances = append(s.instances, &instance{})
	}
	for i := range instances {
		s.restart(i)
		s.after(s.upTo(tickSpan), func() { s.ticks(i) })
	}
	return s
}

// restart replaces the machines of an instance by new ones that know only the list of
// instances of the platform.
func (s *simulation) restart(i int) {
	incarnation := wasabiridge.Incarnation(s.rng.Uint32())
	s.instances[i] = &instance{
		config: wasabiconfig.NewMachine(s.rng.Uint64()),
		member: wasabimember.New(s.now, wasabimember.Options{Self: s.entries[i], Incarnation: incarnation, Seed: s.rng.Uint64()}),
	}
	s.handleMember(i, wasabimember.ListRead{Entries: s.entries})
}

func (s *simulation) upTo(span wasabiridge.Millis) wasabiridge.Millis {
	return wasabiridge.Millis(s.rng.Int64N(int64(span)))
}

func (s *simulation) after(span wasabiridge.Millis, run func()) {
	s.order++
	heap.Push(&s.queue, task{at: s.now + span, order: s.order, run: run})
}

// send delivers a message between two instances, or loses it.
func (s *simulation) send(i, j int, run func()) {
	if s.rng.Float64() >= s.loss && (i < s.split) == (j < s.split) {
		s.after(1+s.upTo(3), run)
	}
}

func (s *simulation) runUntil(end wasabiridge.Millis, done func() bool) {
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

func (s *simulation) ticks(i int) {
	s.handleMember(i, wasabimember.Ticked{})
	s.handle(i, wasabiconfig.Ticked{Instances: len(s.instances)})
	s.after(tickSpan, func() { s.ticks(i) })
}

// handleMember passes an event to the membership of an instance and returns the reply,
// if there is one.
func (s *simulation) handleMember(i int, e wasabimember.Event) wasabiridge.Heartbeat {
	n := s.instances[i]
	var reply wasabiridge.Heartbeat
	for _, effect := range append([]wasabimember.Effect(nil), n.member.Handle(s.now, e)...) {
		switch effect := effect.(type) {
		case wasabimember.Exchange:
			s.exchange(i, s.index[effect.Address], effect.Heartbeat)
		case wasabimember.Reply:
			reply = effect.Heartbeat
		case wasabimember.MemberReceived:
			s.handle(i, wasabiconfig.VersionReceived{Address: effect.Member.PeerAddress, Version: effect.Member.Config})
		}
	}
	return reply
}

// exchange simulates one heartbeat and its response.
func (s *simulation) exchange(i, j int, h wasabiridge.Heartbeat) {
	s.count(h)
	sender := s.instances[i]
	s.send(i, j, func() {
		reply := s.handleMember(j, wasabimember.HeartbeatReceived{Heartbeat: h})
		s.count(reply)
		s.send(j, i, func() {
			if s.instances[i] == sender {
				s.handleMember(i, wasabimember.ResponseReceived{Heartbeat: reply})
			}
		})
	})
}

func (s *simulation) count(h wasabiridge.Heartbeat) {
	s.heartbeats++
	if s.measure {
		s.bytes += proto.Size(wasabipeer.EncodeHeartbeat(h))
	}
}

func (s *simulation) handle(i int, e wasabiconfig.Event) {
	for _, effect := range append([]wasabiconfig.Effect(nil), s.instances[i].config.Handle(s.now, e)...) {
		s.carryOut(i, effect)
	}
}

func (s *simulation) carryOut(i int, e wasabiconfig.Effect) {
	n := s.instances[i]
	switch e := e.(type) {
	case wasabiconfig.FetchFromPeer:
		s.fetch(i, s.index[e.Address])
	case wasabiconfig.ReadTable:
		s.reads++
		s.after(5, func() { s.readTable(i, e.Have) })
	case wasabiconfig.Announce:
		s.handleMember(i, wasabimember.AnnounceRequested{Count: e.Peers})
	case wasabiconfig.Adopt:
		if e.Document.Version <= n.inForce.Version {
			s.violation = fmt.Sprintf("instance %d went from version %d to %d", i, n.inForce.Version, e.Document.Version)
		}
		n.inForce, n.adopted = e.Document, s.now
		s.handleMember(i, wasabimember.ConfigChanged{Version: e.Document.Version})
	}
}

func (s *simulation) fetch(i, j int) {
	requester := s.instances[i]
	s.send(i, j, func() {
		s.documents++
		d := s.instances[j].inForce
		s.send(j, i, func() {
			if s.instances[i] == requester {
				s.handle(i, wasabiconfig.Fetched{Address: s.entries[j].PeerAddress, Document: d})
			}
		})
	})
}

func (s *simulation) readTable(i int, have wasabiridge.ConfigVersion) {
	answer := wasabiconfig.TableRead{}
	if !s.tableUp || i < s.split != (s.split > 0) {
		answer.Err = wasabiridge.ErrUnavailable.New("outage")
	} else if s.head.Version > have {
		answer.Document = s.head
	}
	s.handle(i, answer)
}

// put makes the next version the head of the table and, unless the writer dies with it,
// accepted at an instance.
func (s *simulation) put(text string, at int, writerLives bool) {
	s.head = wasabiridge.ConfigDocument{Version: s.head.Version + 1, Text: []byte(text), Author: "ana", At: s.now}
	if writerLives {
		s.handle(at, wasabiconfig.Accepted{Document: s.head})
	}
}

func (s *simulation) converged() bool {
	for _, n := range s.instances {
		if n.inForce.Version != s.head.Version {
			return false
		}
	}
	return true
}
