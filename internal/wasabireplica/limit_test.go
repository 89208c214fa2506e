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
	// limitSpan is the time over which the requests at a server that names a limit are
	// added up, limitGrace how long after it first did that counts.
	limitSpan  = 4 * wasabiridge.Second
	limitGrace = 3 * wasabiridge.Second
	// answerTime is how long a server takes.
	answerTime = 200 * wasabiridge.Millis(1)
)

// needy is one server, with all that reached it.
type needy struct {
	limited  bool
	rate     float64
	since    wasabiridge.Millis
	arrivals []wasabiridge.Millis
}

// needyFleet is instances before servers of which some name limits.
type needyFleet struct {
	random    *rand.Rand
	agenda    wasabitest.Agenda
	now, end  wasabiridge.Millis
	instances []*rig
	names     []wasabiridge.InstanceID
	servers   []*needy
	rate      float64
	// cut says that instances with odd numbers do not see those with even ones.
	cut bool
	// silent says that instances tell each other nothing.
	silent            bool
	admitted, refused int
	// returns are the times to come back of those that were refused.
	returns []wasabiridge.Millis
}

func newNeedyFleet(seed uint64, instances, servers int, rate float64) *needyFleet {
	f := &needyFleet{random: rand.New(rand.NewPCG(seed, 2)), now: 1e6, end: 1e6, rate: rate}
	for i := range instances {
		f.names = append(f.names, wasabiridge.InstanceID(fmt.Sprint("i", i)))
		f.instances = append(f.instances, newRigOf(f.names[i], servers))
	}
	for range servers {
		f.servers = append(f.servers, &needy{})
	}
	f.agenda.Add(f.now, f.tick)
	f.agenda.Add(f.now, f.arrive)
	return f
}

func (f *needyFleet) pass(span wasabiridge.Millis) {
	f.end += span
	f.agenda.Run(f.end, func(now wasabiridge.Millis) {
		f.now = now
		for _, g := range f.instances {
			g.now = now
		}
	})
}

// tick tells the time, how many instances there are, and what they tell each other.
func (f *needyFleet) tick() {
	for i, g := range f.instances {
		g.tell(wasabiridge.InstancesCounted{Count: len(f.instances), Serving: f.seenBy(i)})
		g.tell(wasabiridge.Ticked{})
		loads, parts := g.placer.TakeNews(f.now)
		for j, other := range f.instances {
			if i != j && !f.silent && (!f.cut || i%2 == j%2) {
				other.tell(wasabiridge.PeerPlaced{From: f.names[i], Loads: loads, Parts: parts})
			}
		}
	}
	f.agenda.Add(f.now+100, f.tick)
}

// seenBy returns the instances that one sees.
func (f *needyFleet) seenBy(instance int) []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	for i, name := range f.names {
		if !f.cut || i%2 == instance%2 {
			out = append(out, name)
		}
	}
	return out
}

func (f *needyFleet) arrive() {
	f.request(f.instances[f.random.IntN(len(f.instances))])
	f.agenda.Add(f.now+wasabiridge.Millis(1+f.random.ExpFloat64()*1000/f.rate), f.arrive)
}

func (f *needyFleet) request(g *rig) {
	if a := g.limiter.Offer(f.now, short()); a.Verdict != wasabiridge.Admitted {
		f.refused++
		f.returns = append(f.returns, a.RetryAfter)
		return
	}
	pl, id := g.place(short())
	Expect(id).NotTo(BeZero(), "admitted and not placed")
	f.admitted++
	f.serve(g, pl, id)
}

// serve lets a server answer after a while.
func (f *needyFleet) serve(g *rig, pl wasabiridge.Placement, id wasabiridge.AttemptID) {
	at, asked := 0, f.now
	_, _ = fmt.Sscanf(string(pl.Backend.ID), "e%d", &at)
	s := f.servers[at]
	s.arrivals = append(s.arrivals, f.now)
	f.agenda.Add(f.now+answerTime, func() {
		g.tell(wasabiridge.LimitNamed{Backend: pl.Backend.ID, Limited: s.limited, Rate: s.rate, Asked: asked})
		g.answer(id)
	})
}

// limit lets a server name a limit from now on.
func (f *needyFleet) limit(server int, rate float64) {
	f.servers[server].limited, f.servers[server].rate, f.servers[server].since = true, rate, f.now
}

// excess is by how many requests a server got more, in the worst span, than one and a
// half times what its limit allows and five.
func (s *needy) excess() float64 {
	worst := -1e9
	for _, from := range s.arrivals {
		if from >= s.since+limitGrace {
			worst = max(worst, float64(within(s.arrivals, from, from+limitSpan))-1.5*s.rate*float64(limitSpan)/1000-5)
		}
	}
	return worst
}

var _ = Describe("A server that names its limit", func() {
	cases := map[string]struct {
		instances, servers, needy int
		rate, limit               float64
	}{
		"one of nine, before six instances":            {6, 9, 1, 170, 5.7},
		"two of nine, before six instances":            {6, 9, 2, 170, 4.1},
		"all of nine, before six instances":            {6, 9, 9, 170, 5.7},
		"before a single instance":                     {1, 3, 1, 60, 5},
		"one that takes less than instances there are": {12, 9, 1, 170, 2},
		"one that takes nothing":                       {6, 9, 1, 170, 0},
		"three of 45, before sixty instances":          {60, 45, 3, 800, 5},
	}
	for _, name := range wasabitest.Names(cases) {
		c := cases[name]
		// Guards against servers in need that get what they got before.
		It("gets no more than it takes: "+name, func() {
			f := newNeedyFleet(1, c.instances, c.servers, c.rate)
			f.pass(2 * wasabiridge.Second)
			for i := range c.needy {
				f.limit(i, c.limit)
			}
			f.pass(20 * wasabiridge.Second)
			for i := range c.needy {
				Expect(f.servers[i].excess()).To(BeNumerically("<=", 0), "server %d", i)
			}
		})
	}

	// Guards against parts that count on news that may be lost.
	It("gets no more than it takes when instances tell each other nothing", func() {
		f := newNeedyFleet(2, 12, 9, 170)
		f.silent = true
		f.pass(wasabiridge.Second)
		f.limit(0, 4)
		f.pass(20 * wasabiridge.Second)
		Expect(f.servers[0].excess()).To(BeNumerically("<=", 0))
	})

	// Guards against larger parts while instances do not see each other.
	It("gets no more than it takes while half of the instances are cut off", func() {
		f := newNeedyFleet(3, 12, 9, 170)
		f.pass(wasabiridge.Second)
		f.limit(0, 6)
		f.pass(4 * wasabiridge.Second)
		f.cut = true
		f.pass(9 * wasabiridge.Second)
		f.cut = false
		f.pass(4 * wasabiridge.Second)
		for _, from := range f.servers[0].arrivals {
			if from >= f.servers[0].since+limitGrace {
				Expect(within(f.servers[0].arrivals, from, from+limitSpan)).To(BeNumerically("<=", 36), "what it takes, and one of each instance")
			}
		}
	})

	// Guards against a rate that is taken for a reason to send nothing.
	It("gets most of what it takes", func() {
		f := newNeedyFleet(4, 6, 9, 170)
		f.pass(wasabiridge.Second)
		f.limit(0, 6)
		f.pass(3 * wasabiridge.Second)
		from := f.now
		f.pass(10 * wasabiridge.Second)
		Expect(within(f.servers[0].arrivals, from, f.now)).To(BeNumerically(">=", 45), "of 60 that it takes")
	})

	// Guards against limits that outlast the need, at instances that send nothing there.
	It("gets as much as the others when it names no limit any more", func() {
		f := newNeedyFleet(5, 12, 3, 100)
		f.pass(wasabiridge.Second)
		f.limit(0, 2)
		f.pass(5 * wasabiridge.Second)
		f.servers[0].limited = false
		f.pass(3 * wasabiridge.Second)
		from := f.now
		f.pass(5 * wasabiridge.Second)
		Expect(within(f.servers[0].arrivals, from, f.now)).To(BeNumerically(">=", 100), "of 500 at three servers")
	})

	// Guards against a limit that lasts although nobody hears of it any more.
	It("is tried again when no answer has named its limit for long", func() {
		g := newRig(1)
		g.tell(wasabiridge.LimitNamed{Backend: "e0", Limited: true, Rate: 1e-9, Asked: g.now - 1})
		g.now += 11 * wasabiridge.Second
		for range 5 {
			Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
		}
	})

	// Guards against answers that overtake each other.
	It("is not taken to be without a limit by an answer to a request from before it named one", func() {
		g := newRig(1)
		g.tell(wasabiridge.LimitNamed{Backend: "e0", Limited: true, Rate: 1, Asked: g.now - 50})
		g.tell(wasabiridge.LimitNamed{Backend: "e0", Asked: g.now - 20})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Rejected))
		g.now += 20
		g.tell(wasabiridge.LimitNamed{Backend: "e0", Asked: g.now - 10})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
		g.tell(wasabiridge.LimitNamed{Backend: "e0", Limited: true, Rate: 1, Asked: g.now - 15})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted), "an answer from before the end")
	})

	// Guards against an end that is not believed because older news came after it was seen.
	It("is without a limit when another instance says so, whenever its limit was told", func() {
		g := newRig(1)
		tell := func(l wasabiridge.LimitNews) {
			g.tell(wasabiridge.PeerPlaced{From: "i", Loads: []wasabiridge.LoadNews{{Backend: "e0", Limit: l}}})
		}
		tell(wasabiridge.LimitNews{Known: true, Limited: true, Rate: 1, Age: 900})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Rejected))
		tell(wasabiridge.LimitNews{Known: true, Age: 300})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
	})

	// Guards against messages at every answer of a server that changes its mind.
	It("is told of once a second while only its rate changes", func() {
		g := newRig(1)
		told := 0
		for i := range 50 {
			g.tell(wasabiridge.LimitNamed{Backend: "e0", Limited: true, Rate: float64(1 + i), Asked: g.now - 10})
			loads, _ := g.placer.TakeNews(g.now)
			told += len(loads)
			g.now += 100
		}
		Expect(told).To(Equal(5))
	})

	// Guards against the limit of a process that is gone.
	It("is without a limit when it has started again", func() {
		g := newRig(1)
		g.pool.Backends[0].Incarnation = 1
		g.adopt()
		g.tell(wasabiridge.LimitNamed{Backend: "e0", Limited: true, Rate: 1, Asked: g.now})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Rejected))
		g.pool.Backends[0].Incarnation = 2
		g.adopt()
		g.tell(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 1, Incarnation: 2})
		g.now += 5 * wasabiridge.Second
		g.tell(wasabiridge.Ticked{})
		for range 5 {
			Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
		}
	})

	// Guards against callers that wait, or come back at once, when all servers are in need.
	It("lets callers know at once when to come back if none takes more", func() {
		f := newNeedyFleet(6, 6, 3, 60)
		f.pass(wasabiridge.Second)
		for i := range 3 {
			f.limit(i, 6)
		}
		f.pass(4 * wasabiridge.Second)
		f.refused, f.admitted, f.returns = 0, 0, nil
		f.pass(10 * wasabiridge.Second)
		Expect(f.admitted).To(BeNumerically("~", 180, 30), "three servers take six a second")
		for _, after := range f.returns {
			Expect(after).To(BeNumerically(">=", 250))
			Expect(after).To(BeNumerically("<=", 1000))
		}
	})

	// Guards against a rate that is another one in each answer.
	It("gets no more than the largest of the rates that it names in turn", func() {
		f := newNeedyFleet(7, 6, 9, 170)
		f.pass(wasabiridge.Second)
		f.limit(0, 6)
		for range 100 {
			f.servers[0].rate = [...]float64{0, 6, 3}[f.random.IntN(3)]
			f.pass(200)
		}
		f.servers[0].rate = 6
		Expect(f.servers[0].excess()).To(BeNumerically("<=", 0))
	})
})
