package wasabireplica_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

const (
	// Requests at a limited server are counted over spans of limitSpan. Spans that
	// start within limitGrace of the first limit do not count, because the instances
	// still have to receive it.
	limitSpan  = 4 * wasabiridge.Second
	limitGrace = 3 * wasabiridge.Second
	// answerTime is the response time of a server.
	answerTime = 200 * wasabiridge.Millis(1)
)

// limitedServer is one server and the times of all requests that it received.
type limitedServer struct {
	limited  bool
	rate     float64
	since    wasabiridge.Millis
	arrivals []wasabiridge.Millis
}

// limitedFleet simulates instances in front of servers, some of which report limits.
type limitedFleet struct {
	random    *rand.Rand
	agenda    wasabitest.EventQueue
	now, end  wasabiridge.Millis
	instances []*rig
	names     []wasabiridge.InstanceID
	servers   []*limitedServer
	rate      float64
	// partitioned separates the instances with odd numbers from those with even ones.
	partitioned bool
	// silent keeps the instances from sending each other updates.
	silent bool
	// serving is the number of instances that callers are sent to, the first ones. Zero means
	// all. The others receive requests, too, and no updates.
	serving int
	// idle stops all requests.
	idle              bool
	admitted, refused int
	// retryAfters are the delays after which refused callers may retry.
	retryAfters []wasabiridge.Millis
}

func newLimitedFleet(seed uint64, instances, servers int, rate float64) *limitedFleet {
	f := &limitedFleet{random: rand.New(rand.NewPCG(seed, 2)), now: 1e6, end: 1e6, rate: rate}
	for i := range instances {
		f.names = append(f.names, wasabiridge.InstanceID(fmt.Sprint("i", i)))
		f.instances = append(f.instances, newRigOf(f.names[i], servers))
	}
	for range servers {
		f.servers = append(f.servers, &limitedServer{})
	}
	f.agenda.Schedule(f.now, f.tick)
	f.agenda.Schedule(f.now, f.arrive)
	return f
}

func (f *limitedFleet) advance(span wasabiridge.Millis) {
	f.end += span
	f.agenda.Run(f.end, func(now wasabiridge.Millis) {
		f.now = now
		for _, g := range f.instances {
			g.now = now
		}
	})
}

// tick sends every instance the time, the instances that it sees and the updates of the
// others.
func (f *limitedFleet) tick() {
	for i, g := range f.instances {
		g.observe(wasabiridge.InstancesCounted{Count: len(f.instances), Serving: f.visibleTo(i)})
		g.observe(wasabiridge.Ticked{})
		loads, segments := g.placer.TakeUpdates(f.now)
		for j, other := range f.instances {
			if i != j && (f.serving == 0 || j < f.serving) && !f.silent && (!f.partitioned || i%2 == j%2) {
				other.observe(wasabiridge.PeerPlaced{From: f.names[i], Loads: loads, Segments: segments})
			}
		}
	}
	f.agenda.Schedule(f.now+100, f.tick)
}

// visibleTo returns the instances that one instance sees, itself included.
func (f *limitedFleet) visibleTo(instance int) []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	for i, name := range f.names {
		if (!f.partitioned || i%2 == instance%2) && (f.serving == 0 || i < f.serving) {
			out = append(out, name)
		}
	}
	return out
}

func (f *limitedFleet) arrive() {
	if !f.idle {
		f.request(f.instances[f.random.IntN(len(f.instances))])
	}
	f.agenda.Schedule(f.now+wasabiridge.Millis(1+f.random.ExpFloat64()*1000/f.rate), f.arrive)
}

func (f *limitedFleet) request(g *rig) {
	if a := g.limiter.Offer(f.now, short()); a.Verdict != wasabiridge.Admitted {
		f.refused++
		f.retryAfters = append(f.retryAfters, a.RetryAfter)
		return
	}
	pl, id := g.place(short())
	Expect(id).NotTo(BeZero(), "admitted but not placed")
	f.admitted++
	f.serve(g, pl, id)
}

// serve schedules the answer of a server.
func (f *limitedFleet) serve(g *rig, pl wasabiridge.Placement, id wasabiridge.AttemptID) {
	at, sentAt := 0, f.now
	_, _ = fmt.Sscanf(string(pl.Backend.ID), "e%d", &at)
	s := f.servers[at]
	s.arrivals = append(s.arrivals, f.now)
	f.agenda.Schedule(f.now+answerTime, func() {
		g.observe(wasabiridge.LimitAnnounced{Backend: pl.Backend.ID, Limited: s.limited, Rate: s.rate, RequestSentAt: sentAt})
		g.answer(id)
	})
}

// limit makes a server report a limit from now on.
func (f *limitedFleet) limit(server int, rate float64) {
	f.servers[server].limited, f.servers[server].rate, f.servers[server].since = true, rate, f.now
}

// excess returns by how many requests the worst span exceeds one and a half times what
// the limit allows, plus five.
func (s *limitedServer) excess() float64 {
	worst := -1e9
	for _, from := range s.arrivals {
		if from >= s.since+limitGrace {
			worst = max(worst, float64(countWithin(s.arrivals, from, from+limitSpan))-1.5*s.rate*float64(limitSpan)/1000-5)
		}
	}
	return worst
}

var _ = Describe("A server that reports a rate limit", func() {
	cases := map[string]struct {
		instances, servers, limitedServers int
		rate, limit                        float64
	}{
		"one of nine servers, six instances":   {6, 9, 1, 170, 5.7},
		"two of nine servers, six instances":   {6, 9, 2, 170, 4.1},
		"all of nine servers, six instances":   {6, 9, 9, 170, 5.7},
		"a single instance":                    {1, 3, 1, 60, 5},
		"a rate below the number of instances": {12, 9, 1, 170, 2},
		"a rate of zero":                       {6, 9, 1, 170, 0},
		"three of 45 servers, sixty instances": {60, 45, 3, 800, 5},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		c := cases[name]
		// Guards against limited servers that keep receiving as many requests as
		// before.
		It("receives no more than its limit: "+name, func() {
			f := newLimitedFleet(1, c.instances, c.servers, c.rate)
			f.advance(2 * wasabiridge.Second)
			for i := range c.limitedServers {
				f.limit(i, c.limit)
			}
			f.advance(20 * wasabiridge.Second)
			for i := range c.limitedServers {
				Expect(f.servers[i].excess()).To(BeNumerically("<=", 0), "server %d", i)
			}
		})
	}

	// Guards against shares that depend on updates between instances, which may be
	// lost.
	It("receives no more than its limit when no updates between instances arrive", func() {
		f := newLimitedFleet(2, 12, 9, 170)
		f.silent = true
		f.advance(wasabiridge.Second)
		f.limit(0, 4)
		f.advance(20 * wasabiridge.Second)
		Expect(f.servers[0].excess()).To(BeNumerically("<=", 0))
	})

	// Guards against shares that grow while instances do not see each other.
	It("receives no more than its limit while the instances are partitioned into halves", func() {
		f := newLimitedFleet(3, 12, 9, 170)
		f.advance(wasabiridge.Second)
		f.limit(0, 6)
		f.advance(4 * wasabiridge.Second)
		f.partitioned = true
		f.advance(9 * wasabiridge.Second)
		f.partitioned = false
		f.advance(4 * wasabiridge.Second)
		for _, from := range f.servers[0].arrivals {
			if from >= f.servers[0].since+limitGrace {
				Expect(countWithin(f.servers[0].arrivals, from, from+limitSpan)).To(BeNumerically("<=", 36), "its limit, and one request of each instance")
			}
		}
	})

	// Guards against instances that count themselves although the others do not, because
	// callers are not sent to them.
	It("receives no more than its limit when some requests arrive at instances that callers are not sent to", func() {
		f := newLimitedFleet(8, 24, 9, 340)
		f.serving = 12
		f.advance(wasabiridge.Second)
		f.limit(0, 5.7)
		f.advance(20 * wasabiridge.Second)
		Expect(f.servers[0].excess()).To(BeNumerically("<=", 0))
	})

	// Guards against a limit that ends at all instances at the same moment because no answer
	// has confirmed it for long.
	It("receives no more than its limit when callers pause for long and return", func() {
		f := newLimitedFleet(9, 24, 9, 340)
		f.advance(wasabiridge.Second)
		f.limit(0, 2)
		f.advance(6 * wasabiridge.Second)
		f.idle = true
		f.advance(11 * wasabiridge.Second)
		f.idle = false
		f.advance(6 * wasabiridge.Second)
		Expect(f.servers[0].excess()).To(BeNumerically("<=", 0))
	})

	// Guards against instances that stop sending to a limited server, which then
	// receives far fewer requests than it takes.
	It("receives most of what its limit allows", func() {
		f := newLimitedFleet(4, 6, 9, 170)
		f.advance(wasabiridge.Second)
		f.limit(0, 6)
		f.advance(3 * wasabiridge.Second)
		from := f.now
		f.advance(10 * wasabiridge.Second)
		Expect(countWithin(f.servers[0].arrivals, from, f.now)).To(BeNumerically(">=", 45), "of 60 that its limit allows")
	})

	// Guards against limits that outlast the overload at instances that send no
	// requests to the server and so receive no answers.
	It("receives as much as the others once it reports no limit any more", func() {
		f := newLimitedFleet(5, 12, 3, 100)
		f.advance(wasabiridge.Second)
		f.limit(0, 2)
		f.advance(5 * wasabiridge.Second)
		f.servers[0].limited = false
		f.advance(3 * wasabiridge.Second)
		from := f.now
		f.advance(5 * wasabiridge.Second)
		Expect(countWithin(f.servers[0].arrivals, from, f.now)).To(BeNumerically(">=", 100), "of 500 at three servers")
	})

	// Guards against a limit that stays in force although no answer reports it any
	// more.
	It("receives requests again when its limit has expired", func() {
		g := newRig(1)
		g.observe(wasabiridge.LimitAnnounced{Backend: "e0", Limited: true, Rate: 1e-9, RequestSentAt: g.now - 1})
		g.now += 11 * wasabiridge.Second
		for range 5 {
			Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
		}
	})

	// Guards against answers that arrive out of order.
	It("keeps its limit when a request sent before the limit is answered without one", func() {
		g := newRig(1)
		g.observe(wasabiridge.LimitAnnounced{Backend: "e0", Limited: true, Rate: 1, RequestSentAt: g.now - 50})
		g.observe(wasabiridge.LimitAnnounced{Backend: "e0", RequestSentAt: g.now - 20})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Rejected))
		g.now += 20
		g.observe(wasabiridge.LimitAnnounced{Backend: "e0", RequestSentAt: g.now - 10})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
		g.observe(wasabiridge.LimitAnnounced{Backend: "e0", Limited: true, Rate: 1, RequestSentAt: g.now - 15})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted), "the request was sent before the limit ended")
	})

	// Guards against the end of a limit being ignored because an update about the limit
	// arrived later than the request was sent whose answer ended it.
	It("loses its limit when another instance reports the end, however late the limit was received", func() {
		g := newRig(1)
		observe := func(l wasabiridge.LimitUpdate) {
			g.observe(wasabiridge.PeerPlaced{From: "i", Loads: []wasabiridge.LoadUpdate{{Backend: "e0", Limit: l}}})
		}
		observe(wasabiridge.LimitUpdate{Known: true, Limited: true, Rate: 1, Age: 900})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Rejected))
		observe(wasabiridge.LimitUpdate{Known: true, Age: 300})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
	})

	// Guards against an update after every answer of a server whose rate changes
	// constantly.
	It("causes one update per second while only its rate changes", func() {
		g := newRig(1)
		sent := 0
		for i := range 50 {
			g.observe(wasabiridge.LimitAnnounced{Backend: "e0", Limited: true, Rate: float64(1 + i), RequestSentAt: g.now - 10})
			loads, _ := g.placer.TakeUpdates(g.now)
			sent += len(loads)
			g.now += 100
		}
		Expect(sent).To(Equal(5))
	})

	// Guards against a limit that outlives the process that reported it.
	It("has no limit after a restart", func() {
		g := newRig(1)
		g.pool.Backends[0].Incarnation = 1
		g.adopt()
		g.observe(wasabiridge.LimitAnnounced{Backend: "e0", Limited: true, Rate: 1, RequestSentAt: g.now})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Rejected))
		g.pool.Backends[0].Incarnation = 2
		g.adopt()
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 1, Incarnation: 2})
		g.now += 5 * wasabiridge.Second
		g.observe(wasabiridge.Ticked{})
		for range 5 {
			Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
		}
	})

	// Guards against callers that wait in vain or retry immediately when all servers
	// are limited.
	It("lets callers know at once when to retry if all servers are at their limits", func() {
		f := newLimitedFleet(6, 6, 3, 60)
		f.advance(wasabiridge.Second)
		for i := range 3 {
			f.limit(i, 6)
		}
		f.advance(4 * wasabiridge.Second)
		f.refused, f.admitted, f.retryAfters = 0, 0, nil
		f.advance(10 * wasabiridge.Second)
		Expect(f.admitted).To(BeNumerically("~", 180, 30), "three servers take six requests a second each")
		for _, after := range f.retryAfters {
			Expect(after).To(BeNumerically(">=", 250))
			Expect(after).To(BeNumerically("<=", 1000))
		}
	})

	// Guards against exceeding the limit of a server that reports a different rate in
	// each answer.
	It("receives no more than the highest of the rates that it reports in turn", func() {
		f := newLimitedFleet(7, 6, 9, 170)
		f.advance(wasabiridge.Second)
		f.limit(0, 6)
		for range 100 {
			f.servers[0].rate = [...]float64{0, 6, 3}[f.random.IntN(3)]
			f.advance(200)
		}
		f.servers[0].rate = 6
		Expect(f.servers[0].excess()).To(BeNumerically("<=", 0))
	})
})
