package wasabimember_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestMember(t *testing.T) {
	wasabitest.Run(t, "member")
}

const (
	// tickEvery is twice the tick interval of the daemon. It shortens the test
	// runs and can only delay what the tests detect.
	tickEvery = 100 * wasabiridge.Millis(1)
	// begin is the virtual time at which a run starts. Incarnations count up
	// from it, so that encoded messages are as long as in production.
	begin = 1_764_000_000_000 * wasabiridge.Millis(1)
)

// delivery is an event in transit to an instance.
type delivery struct {
	at    wasabiridge.Millis
	order int
	to    int
	event wasabimember.Event
	// from is the instance that gets the response to a HeartbeatReceived event. It is -1
	// for other events.
	from int
}

type queue []delivery

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simInstance is an instance that runs in virtual time.
type simInstance struct {
	id      wasabiridge.InstanceID
	machine *wasabimember.Machine
	// down drops all events; paused stores them until the pause ends.
	down, paused bool
	waiting      []delivery
	messages     int
	bytes        int
	changes      int
	// alive is the membership view that results from all Changed effects.
	alive    map[wasabiridge.InstanceID]bool
	backends map[wasabiridge.BackendServerID]bool
	config   wasabiridge.ConfigVersion
}

func (n *simInstance) changed(m wasabiridge.Member) {
	n.changes++
	if m.Dead || m.Leaving {
		delete(n.alive, m.ID)
		return
	}
	n.alive[m.ID] = true
}

// driver runs machines in virtual time with message loss and delay from a
// seeded generator.
type driver struct {
	now    wasabiridge.Millis
	random *rand.Rand
	seed   uint64
	loss   float64
	delay  func(from, to int) wasabiridge.Millis
	// partitioned reports whether messages from one instance to another are lost.
	partitioned func(from, to int) bool
	instances   []*simInstance
	entries     []wasabiridge.InstanceEntry
	// list is the platform's list. It initially contains all entries.
	list  []wasabiridge.InstanceEntry
	queue queue
	order int
	// lateFetches is the fraction of configuration fetches that complete a
	// second late.
	lateFetches float64
	// measure makes the driver count message bytes, which is slow.
	measure bool
}

func newDriver(count int, seed uint64, loss float64) *driver {
	d := &driver{now: begin, random: rand.New(rand.NewPCG(seed, 1)), seed: seed, loss: loss}
	d.delay = func(int, int) wasabiridge.Millis { return 1 + wasabiridge.Millis(d.random.Int64N(4)) }
	d.partitioned = func(int, int) bool { return false }
	for i := range count {
		d.entries = append(d.entries, entryOf(i))
	}
	d.list = d.entries
	for i := range count {
		d.instances = append(d.instances, &simInstance{})
		d.start(i, 1)
	}
	return d
}

func entryOf(i int) wasabiridge.InstanceEntry {
	return wasabiridge.InstanceEntry{
		ID:          wasabiridge.InstanceID(fmt.Sprintf("region-%d-%03d", i%4, i)),
		PeerAddress: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		CallerURL:   fmt.Sprintf("http://10.0.%d.%d:8080", i/250, i%250),
		Zone:        wasabiridge.AvailabilityZone(fmt.Sprintf("zone-%d", i%9)),
		Region:      wasabiridge.Region(fmt.Sprintf("region-%d", i%4)),
	}
}

// start starts a new incarnation of an instance.
func (d *driver) start(i int, incarnation wasabiridge.Incarnation) {
	*d.instances[i] = simInstance{
		id: d.entries[i].ID,
		machine: wasabimember.New(d.now, wasabimember.Options{
			Self: d.entries[i], Incarnation: wasabiridge.Incarnation(begin) + incarnation, Seed: d.seed*1000 + uint64(i),
		}),
		backends: map[wasabiridge.BackendServerID]bool{},
		alive:    map[wasabiridge.InstanceID]bool{d.entries[i].ID: true},
	}
	d.post(i, wasabimember.ListRead{Entries: d.list}, 0)
	if incarnation == 1 {
		d.post(i, wasabimember.Ticked{}, wasabiridge.Millis(d.random.Int64N(int64(tickEvery))))
	}
}

func (d *driver) post(to int, e wasabimember.Event, after wasabiridge.Millis) {
	d.push(delivery{at: d.now + after, to: to, event: e, from: -1})
}

func (d *driver) push(v delivery) {
	d.order++
	v.order = d.order
	heap.Push(&d.queue, v)
}

// run advances the virtual time by span.
func (d *driver) run(span wasabiridge.Millis) {
	d.runUntil(d.now+span, func() bool { return false })
}

// runUntil advances the virtual time until done returns true, which is checked
// every 10 ms. It returns the time that passed.
func (d *driver) runUntil(end wasabiridge.Millis, done func() bool) wasabiridge.Millis {
	begin, nextCheck := d.now, d.now
	for len(d.queue) > 0 && d.queue[0].at <= end {
		if d.queue[0].at >= nextCheck {
			if done() {
				return d.now - begin
			}
			nextCheck = d.queue[0].at + 10
		}
		v := heap.Pop(&d.queue).(delivery)
		d.now = v.at
		d.deliver(v)
	}
	d.now = end
	return end - begin
}

func (d *driver) deliver(v delivery) {
	n := d.instances[v.to]
	_, ticked := v.event.(wasabimember.Ticked)
	if ticked {
		d.post(v.to, v.event, tickEvery)
	}
	if n.down || (n.paused && ticked) {
		return
	}
	if n.paused {
		n.waiting = append(n.waiting, v)
		return
	}
	d.handle(v)
}

func (d *driver) handle(v delivery) {
	n := d.instances[v.to]
	for _, e := range n.machine.Handle(d.now, v.event) {
		switch e := e.(type) {
		case wasabimember.Exchange:
			d.transmit(v.to, d.index(e.To), wasabimember.HeartbeatReceived{Heartbeat: e.Heartbeat}, e.Heartbeat)
		case wasabimember.Reply:
			d.transmit(v.to, v.from, wasabimember.ResponseReceived(e), e.Heartbeat)
		case wasabimember.Changed:
			n.changed(e.Member)
		case wasabimember.BackendsLeaving:
			for _, b := range e.Backends {
				n.backends[b] = true
			}
		case wasabimember.MemberReceived:
			if e.Member.Config > n.config {
				n.config = e.Member.Config
				wait := 10 * wasabiridge.Millis(1)
				if d.random.Float64() < d.lateFetches {
					wait += wasabiridge.Second
				}
				d.post(v.to, wasabimember.ConfigChanged{Version: n.config}, wait)
			}
		}
	}
}

func (d *driver) index(id wasabiridge.InstanceID) int {
	for i, e := range d.entries {
		if e.ID == id {
			return i
		}
	}
	panic("unknown " + id)
}

func (d *driver) transmit(from, to int, e wasabimember.Event, h wasabiridge.Heartbeat) {
	h.SentAt = d.now
	size := 0
	if d.measure {
		size = proto.Size(wasabipeer.EncodeHeartbeat(h))
	}
	for _, i := range []int{from, to} {
		d.instances[i].messages++
		d.instances[i].bytes += size
	}
	if d.random.Float64() < d.loss || d.partitioned(from, to) {
		return
	}
	d.push(delivery{at: d.now + d.delay(from, to), to: to, event: e, from: from})
}

// resume ends a pause. Events that arrived during the pause are handled at
// once, late.
func (d *driver) resume(i int) {
	n := d.instances[i]
	n.paused = false
	for _, v := range n.waiting {
		d.handle(v)
	}
	n.waiting = nil
}

// sees reports whether the view of every running instance has exactly wanted
// living members.
func (d *driver) sees(wanted int) bool {
	for _, n := range d.instances {
		if !n.down && !n.paused && len(n.alive) != wanted {
			return false
		}
	}
	return true
}

// settle runs until every instance has all others in its view.
func (d *driver) settle(g Gomega) wasabiridge.Millis {
	took := d.runUntil(d.now+2*wasabiridge.Minute, func() bool { return d.sees(len(d.instances)) })
	g.Expect(d.sees(len(d.instances))).To(BeTrue(), "views are incomplete after %d ms", took)
	for i, n := range d.instances {
		g.Expect(n.machine.Alive()).To(HaveLen(len(d.instances)), "instance %d", i)
	}
	d.run(15 * wasabiridge.Second)
	return took
}
