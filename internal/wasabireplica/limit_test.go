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
	servers   []*needy
	rate      float64
	// silent says that instances tell each other nothing.
	silent            bool
	admitted, refused int
	// returns are the times to come back of those that were refused.
	returns []wasabiridge.Millis
}

func newNeedyFleet(seed uint64, instances, servers int, rate float64) *needyFleet {
	f := &needyFleet{random: rand.New(rand.NewPCG(seed, 2)), now: 1e6, end: 1e6, rate: rate}
	for range instances {
		f.instances = append(f.instances, newRig(servers))
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
		g.tell(wasabiridge.InstancesCounted{Count: len(f.instances)})
		g.tell(wasabiridge.Ticked{})
		loads, parts := g.placer.TakeNews()
		for j, other := range f.instances {
			if i != j && !f.silent {
				other.tell(wasabiridge.PeerPlaced{From: wasabiridge.InstanceID(fmt.Sprint("i", i)), Loads: loads, Parts: parts})
			}
		}
	}
	f.agenda.Add(f.now+100, f.tick)
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
})
