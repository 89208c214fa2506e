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
	// slots is how many requests a server runs at once, for took milliseconds each.
	slots, took = 8, 30 * wasabiridge.Millis(1)
	// servers can run 1,066 requests a second.
	servers = 4
	// usual is what the account sends in a second, others what all others do. Its limit is
	// 1.8 times the former.
	usual, others = 200.0, 400.0
	limitOf       = 1.8
	// aim is within which time an answer counts.
	aim = 150 * wasabiridge.Millis(1)
)

// hall is one instance before servers with a queue each, in virtual time.
type hall struct {
	core   *wasabicore.Core
	now    wasabiridge.Millis
	random *rand.Rand
	// free is when each slot of a server is free again.
	free map[wasabiridge.BackendServerID][]wasabiridge.Millis
	ends []wasabiridge.AttemptEnded
	at   map[wasabiridge.AttemptID]wasabiridge.Millis
	came map[wasabiridge.RequestID]wasabiridge.Millis
	// asked and inTime count the requests of others.
	asked, inTime int
}

// isOther reports whether a request is not of the account that sends too much.
func isOther(id wasabiridge.RequestID) bool { return id[0] == 'o' }

func (h *hall) take(effects []wasabiridge.Effect) {
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
		free[0] = max(free[0], h.now) + took
		h.at[d.Attempt] = free[0]
		h.ends = append(h.ends, wasabiridge.AttemptEnded{
			Request: d.Request, Attempt: d.Attempt, Backend: d.Backend.ID, Result: wasabiridge.AttemptCompleted,
		})
	}
}

// pass lets answers come that are due.
func (h *hall) pass() {
	for i := 0; i < len(h.ends); i++ {
		e := h.ends[i]
		if h.at[e.Attempt] > h.now {
			continue
		}
		h.ends = slices.Delete(h.ends, i, i+1)
		i--
		if isOther(e.Request) && h.now-h.came[e.Request] <= aim {
			h.inTime++
		}
		h.take(h.core.Handle(h.now, wasabiridge.AttemptFirstToken{Request: e.Request, Attempt: e.Attempt}))
		h.take(h.core.Handle(h.now, e))
	}
}

func (h *hall) ask(kind string, n int) {
	account := wasabiridge.ClientAccountID("hot")
	if kind == "o" {
		account = wasabiridge.ClientAccountID(fmt.Sprint("other", n%7))
		h.asked++
	}
	id := wasabiridge.RequestID(fmt.Sprint(kind, n))
	h.came[id] = h.now
	r := wasabiridge.Request{
		ID: id, Account: account, Arrived: h.now, Deadline: h.now + 2500,
		Action: wasabiridge.Action{Pool: "p", Priority: 5, FirstByteTarget: aim, QueueLimit: 256},
	}
	h.take(h.core.Handle(h.now, wasabiridge.RequestArrived{Request: r}))
}

// serve lets the account send so many times its usual for ten seconds. It returns the
// share of the others' requests that are answered in time.
func serve(o wasabicore.Options, times float64) float64 {
	h := &hall{
		now: 1_000_000, random: rand.New(rand.NewPCG(wasabitest.Seed, 3)), free: map[wasabiridge.BackendServerID][]wasabiridge.Millis{},
		at: map[wasabiridge.AttemptID]wasabiridge.Millis{}, came: map[wasabiridge.RequestID]wasabiridge.Millis{},
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
		Accounts: []wasabiridge.ClientAccount{{ID: "hot", Limit: &wasabiridge.AccountLimit{Rate: limitOf * usual, Burst: limitOf * usual}}},
	}})
	for n, end := 0, h.now+10_000; h.now < end; h.now++ {
		h.pass()
		if h.now%20 == 0 {
			h.take(h.core.Handle(h.now, wasabiridge.Ticked{}))
		}
		for _, load := range []struct {
			kind string
			rate float64
		}{{"h", usual * times}, {"o", others}} {
			for h.random.Float64() < load.rate/(1000+load.rate) {
				n++
				h.ask(load.kind, n)
			}
		}
	}
	return float64(h.inTime) / float64(h.asked)
}

// Guards against one account that sends many times its usual and takes the servers from
// all others.
var _ = Describe("Others, while one account sends 7.5 times its usual", func() {
	ways := map[string]func() wasabicore.Options{
		"of the users' platform": func() wasabicore.Options {
			placer := wasabireplica.New(wasabireplica.Options{Seed: wasabitest.Seed})
			return wasabicore.Options{Placer: placer, Limiter: wasabireplica.NewLimiter(placer)}
		},
		"of the OpenAI API": func() wasabicore.Options {
			return wasabicore.Options{
				Placer: wasabiplace.New(wasabiplace.Options{Seed: wasabitest.Seed}), Limiter: wasabilimit.New(wasabilimit.Options{Instances: 1}),
			}
		},
	}
	for _, name := range slices.Sorted(maps.Keys(ways)) {
		It("are served as well as without it, on the way "+name, func() {
			calm, hot := serve(ways[name](), 1), serve(ways[name](), 7.5)
			fmt.Fprintf(GinkgoWriter, "%s: %.4f without it, %.4f with it\n", name, calm, hot)
			Expect(calm).To(BeNumerically(">", 0.95))
			Expect(hot).To(BeNumerically(">=", calm-0.01))
		})
	}
})
