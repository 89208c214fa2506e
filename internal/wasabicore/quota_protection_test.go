package wasabicore_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
	"github.com/wasabiridge/wasabiridge/internal/wasabilimit"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplace"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

const (
	// slots is the number of requests that a server runs concurrently, each for
	// serviceTime.
	slots, serviceTime = 8, 30 * wasabiridge.Millis(1)
	// servers is the number of servers. Together they can run 1,066 requests a second.
	servers = 4
	// usualRate is the usual rate of the busy client account, and othersRate that of all
	// other accounts together, in requests a second. The rate limit of the busy account
	// is limitFactor times its usual rate.
	usualRate, othersRate = 200.0, 400.0
	limitFactor           = 1.8
	// firstByteTarget is the time within which an answer counts as in time.
	firstByteTarget = 150 * wasabiridge.Millis(1)
)

// simulation is one instance in front of servers that each have a queue, in virtual
// time.
type simulation struct {
	core   *wasabicore.Core
	now    wasabiridge.Millis
	random *rand.Rand
	// free holds, for each slot of a server, the time at which it becomes free.
	free map[wasabiridge.BackendServerID][]wasabiridge.Millis
	// ends holds the results of attempts in flight, and at the time of each.
	ends []wasabiridge.AttemptEnded
	at   map[wasabiridge.AttemptID]wasabiridge.Millis
	// arrived holds the arrival time of each request.
	arrived map[wasabiridge.RequestID]wasabiridge.Millis
	// sent counts the requests of the other accounts, and inTime those of them that
	// were answered within firstByteTarget.
	sent, inTime int
}

// isOther reports whether a request belongs to one of the other accounts.
func isOther(id wasabiridge.RequestID) bool { return id[0] == 'o' }

func (h *simulation) take(effects []wasabiridge.Effect) {
	var sent []wasabiridge.Dispatch
	for _, e := range effects {
		if d, ok := e.(wasabiridge.Dispatch); ok {
			sent = append(sent, d)
		}
	}
	for _, d := range sent {
		h.core.Handle(h.now, wasabiridge.AttemptSent{Request: d.Request, Attempt: d.Attempt})
		free := h.free[d.Backend.ID]
		slices.Sort(free)
		free[0] = max(free[0], h.now) + serviceTime
		h.at[d.Attempt] = free[0]
		h.ends = append(h.ends, wasabiridge.AttemptEnded{
			Request: d.Request, Attempt: d.Attempt, Backend: d.Backend.ID, Result: wasabiridge.AttemptCompleted,
		})
	}
}

// deliverDue delivers the answers that are due.
func (h *simulation) deliverDue() {
	for i := 0; i < len(h.ends); i++ {
		e := h.ends[i]
		if h.at[e.Attempt] > h.now {
			continue
		}
		h.ends = slices.Delete(h.ends, i, i+1)
		i--
		if isOther(e.Request) && h.now-h.arrived[e.Request] <= firstByteTarget {
			h.inTime++
		}
		h.take(h.core.Handle(h.now, wasabiridge.AttemptFirstToken{Request: e.Request, Attempt: e.Attempt}))
		h.take(h.core.Handle(h.now, e))
	}
}

func (h *simulation) send(kind string, n int) {
	account := wasabiridge.ClientAccountID("hot")
	if kind == "o" {
		account = wasabiridge.ClientAccountID(fmt.Sprint("other", n%7))
		h.sent++
	}
	id := wasabiridge.RequestID(fmt.Sprint(kind, n))
	h.arrived[id] = h.now
	r := wasabiridge.Request{
		ID: id, Account: account, Arrived: h.now, Deadline: h.now + 2500,
		Action: wasabiridge.Action{Pool: "p", Priority: 5, FirstByteTarget: firstByteTarget, QueueLimit: 256},
	}
	h.take(h.core.Handle(h.now, wasabiridge.RequestArrived{Request: r}))
}

// simulate runs ten seconds in which the busy account sends the given multiple of its
// usual rate. It returns the share of the other accounts' requests that are answered
// in time.
func simulate(o wasabicore.Options, times float64) float64 {
	h := &simulation{
		now: 1_000_000, random: rand.New(rand.NewPCG(wasabitest.Seed, 3)), free: map[wasabiridge.BackendServerID][]wasabiridge.Millis{},
		at: map[wasabiridge.AttemptID]wasabiridge.Millis{}, arrived: map[wasabiridge.RequestID]wasabiridge.Millis{},
	}
	o.Quota = wasabiquota.New(wasabiquota.Options{Started: h.now - 10_000, Alone: true})
	h.core = wasabicore.New(o)
	pool := wasabiridge.Pool{ID: "p"}
	for i := range servers {
		id := wasabiridge.BackendServerID(fmt.Sprint("s", i))
		pool.Backends = append(pool.Backends, wasabiridge.BackendServer{ID: id, Kind: wasabiridge.BackendService, Slots: slots})
		h.free[id] = make([]wasabiridge.Millis, slots)
	}
	h.core.Handle(h.now, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{
		Version: 1, Pools: []wasabiridge.Pool{pool},
		Accounts: []wasabiridge.ClientAccount{{ID: "hot", Limit: &wasabiridge.AccountLimit{Rate: limitFactor * usualRate, Burst: limitFactor * usualRate}}},
	}})
	for n, end := 0, h.now+10_000; h.now < end; h.now++ {
		h.deliverDue()
		if h.now%20 == 0 {
			h.take(h.core.Handle(h.now, wasabiridge.Ticked{}))
		}
		for _, load := range []struct {
			kind string
			rate float64
		}{{"h", usualRate * times}, {"o", othersRate}} {
			for h.random.Float64() < load.rate/(1000+load.rate) {
				n++
				h.send(load.kind, n)
			}
		}
	}
	return float64(h.inTime) / float64(h.sent)
}

// Guards against one client account that sends a multiple of its usual rate and thereby
// starves all other accounts of server capacity.
var _ = Describe("Other client accounts, while one sends 7.5 times its usual rate", func() {
	ways := map[string]func() wasabicore.Options{
		"for the users' platform": func() wasabicore.Options {
			placer := wasabireplica.New(wasabireplica.Options{Seed: wasabitest.Seed})
			return wasabicore.Options{Placer: placer, Limiter: wasabireplica.NewLimiter(placer)}
		},
		"for the OpenAI API": func() wasabicore.Options {
			return wasabicore.Options{
				Placer: wasabiplace.New(wasabiplace.Options{Seed: wasabitest.Seed}), Limiter: wasabilimit.New(wasabilimit.Options{Instances: 1}),
			}
		},
	}
	for _, name := range slices.Sorted(maps.Keys(ways)) {
		It("are served as well as without the excess load, with the placer and limiter "+name, func() {
			calm, hot := simulate(ways[name](), 1), simulate(ways[name](), 7.5)
			fmt.Fprintf(GinkgoWriter, "%s: %.4f without it, %.4f with it\n", name, calm, hot)
			Expect(calm).To(BeNumerically(">", 0.95))
			Expect(hot).To(BeNumerically(">=", calm-0.01))
		})
	}
})
