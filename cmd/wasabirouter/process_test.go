package main

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicommand"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestProcesses(t *testing.T) { wasabitest.Run(t, "processes") }

// slowEngine is an engine whose responses take long enough to be interrupted.
var slowEngine = wasabifake.Spec{Decode: 5, BlockTokens: 256}

var _ = Describe("a router process that is killed", func() {
	// Guards against incomplete streams and duplicate bookings when an instance is killed.
	// A caller with an open stream must get a complete one at the next address. A caller
	// that repeats a booking, which the service executed before the instance died, must
	// not have it executed again.
	It("loses no answer and duplicates no booking under load", func() {
		r := newRig(rigOptions{routers: 3, engines: 2, spec: slowEngine, fromFile: true})
		victim := r.routers[0]
		located, ok := r.caller(0).locate(victim.url())
		Expect(ok).To(BeTrue())
		keys := map[string]string{"key of the caller": "in-flight", "ticket of the router": located.Ticket}
		for _, name := range wasabitest.SortedKeys(keys) {
			r.service.Inject(wasabiserver.Fault{Point: wasabiserver.BeforeHeaders, Kind: wasabiserver.Stall})
			go r.caller(0).book(victim.url(), keys[name])
			Eventually(func() int { return r.service.Executions(keys[name]) }, waitTimeout).Should(Equal(1), name)
		}
		l := r.startLoad(12, 6)
		l.progress(20, 20)
		victim.kill()
		for _, name := range wasabitest.SortedKeys(keys) {
			for _, p := range r.routers[1:] {
				Expect(r.caller(0).book(p.url(), keys[name]).Code).To(BeElementOf("still_running", "outcome_unknown"), name)
			}
		}
		l.progress(40, 40)
		victim.restart()
		l.progress(40, 40)
		l.verify()
		for _, name := range wasabitest.SortedKeys(keys) {
			Expect(r.service.Executions(keys[name])).To(Equal(1), name)
		}
	})
})

var _ = Describe("a router process that is drained", func() {
	// Guards against broken streams and refused connections when an instance is replaced.
	// Long streams are open, callers with a cached address still connect, and the
	// supervisor repeats SIGTERM twice. All streams must be completed, no connection
	// refused before the address expires, and the process must exit with code 0.
	It("completes all streams and accepts connections until its address expires", func() {
		r := newRig(rigOptions{routers: 3, engines: 2, spec: slowEngine, fromFile: true, lifetime: 1500})
		draining := r.routers[0]
		const longTokens = 500
		want := r.want("A long answer", longTokens)
		l := r.startLoad(9, 0)
		long := make(chan reply, 8)
		for range cap(long) {
			go func() { long <- r.caller(0).stream(draining.url(), "A long answer", longTokens) }()
		}
		l.progress(9, 0)
		held, ok := r.caller(0).locate(draining.url())
		Expect(ok).To(BeTrue())
		Expect(held.Addresses[0].URL).To(Equal(draining.url()))
		expired := time.Now().Add(held.Lifetime.Duration())
		draining.signal(syscall.SIGTERM)
		for arrived := 0; time.Now().Before(expired); arrived++ {
			if arrived == 2 {
				draining.signal(syscall.SIGTERM)
			}
			Expect(r.caller(0).stream(held.Addresses[0].URL, "A short answer", 2).Code).To(BeEmpty())
		}
		draining.signal(syscall.SIGTERM)
		for range cap(long) {
			var got reply
			Eventually(long, waitTimeout).Should(Receive(&got))
			Expect(got).To(And(HaveField("Code", ""), HaveField("Text", want)))
		}
		Eventually(draining.process(), waitTimeout).Should(gexec.Exit(0))
		l.progress(9, 0)
		l.verify()
		Expect(l.codes).To(BeEmpty())
	})
})

var _ = Describe("a router process that is paused", func() {
	// Guards against stale actions of an instance that is paused beyond the expiry of its
	// lease, during a rollout, a stream and a booking. Meanwhile the other instances adopt
	// a new configuration, complete the rollout and carry out another one. After the pause,
	// the instance first assumes that nothing has changed. The engines must keep the newer
	// weights, the booking must run once, and the instance must adopt the newer
	// configuration instead of distributing its own.
	It("does not revert changes when it resumes after its lease has expired", func() {
		r := newRig(rigOptions{routers: 3, engines: 4, spec: slowEngine, loadTime: wasabiridge.Second / 2})
		stop := r.watchVersions()
		r.rollOut(r.routers[0], 2)
		var paused *router
		Eventually(func() *router { paused = r.driver(); return paused }, waitTimeout).ShouldNot(BeNil())
		Eventually(func() int { return weights(r.engines)[2] }, waitTimeout).Should(BeNumerically(">", 0))
		c := r.caller(0)
		r.service.Inject(wasabiserver.Fault{Point: wasabiserver.BeforeHeaders, Kind: wasabiserver.Stall})
		go c.book(paused.url(), "under way")
		Eventually(func() int { return r.service.Executions("under way") }, waitTimeout).Should(Equal(1))
		streamed, started := make(chan reply, 1), make(chan struct{})
		go func() {
			streamed <- r.caller(0).streamFrom(paused.url(), "A long answer", 200, func() { close(started) })
		}()
		Eventually(started, waitTimeout).Should(BeClosed())
		paused.signal(syscall.SIGSTOP)

		others := slices.DeleteFunc(slices.Clone(r.routers), func(p *router) bool { return p == paused })
		Expect(r.put(others[0], 1, "other", r.configText("other"))).To(Equal(accepted))
		Eventually(func() *router { return r.driver() }, "60s").Should(BeElementOf(others[0], others[1]))
		Eventually(func() int { return weights(r.engines)[2] }, waitTimeout).Should(Equal(4))
		r.rollOut(others[0], 3)
		Eventually(func() int { return weights(r.engines)[3] }, waitTimeout).Should(Equal(4))
		for _, p := range others {
			Expect(c.book(p.url(), "under way").Code).To(BeElementOf("still_running", "outcome_unknown"))
		}

		paused.signal(syscall.SIGCONT)
		Expect(r.converge()).To(BeEquivalentTo(2))
		Consistently(func() int { return weights(r.engines)[3] }, "2s").Should(Equal(4))
		var got reply
		Eventually(streamed, waitTimeout).Should(Receive(&got))
		Expect(got.Code).To(BeElementOf("", codeIncomplete, "no_backend"))
		if got.Code == "" {
			var complete []string
			for version := range wasabiridge.WeightsVersion(3) {
				e := startStandIn(wasabifake.Spec{ID: "oracle", Weights: version + 1}, 0)
				complete = append(complete, answerOf(e, "A long answer", 200))
			}
			Expect(got.Text).To(BeElementOf(complete), "the answer must come from one version of the weights")
		}
		r.eventuallyServing()
		Expect(r.service.Executions("under way")).To(Equal(1))
		Expect(stop()).To(BeEmpty(), "decreases of the configuration version")
	})
})

var _ = Describe("a request that arrives while a router process is paused", func() {
	// headerTimeout expires during the pause of the router.
	const headerTimeout = 300 * wasabiridge.Millis(1)
	// callers is the number of concurrent requests. Several are needed, because it is
	// random whether the router processes a request or its expired time-out first.
	const callers = 40
	// pauseCases connect to a router and pause it with SIGSTOP, in different orders.
	pauseCases := map[string]func(r *rig, p *router) []net.Conn{
		"on a connection accepted before the pause": func(r *rig, p *router) []net.Conn {
			conns := dial(p, callers)
			// Connections are accepted in order, so after this request all are accepted.
			Expect(r.caller(1).stream(p.url(), "Are you there?", 2).Code).To(BeEmpty())
			p.signal(syscall.SIGSTOP)
			return conns
		},
		"on a connection opened during the pause": func(_ *rig, p *router) []net.Conn {
			p.signal(syscall.SIGSTOP)
			return dial(p, callers)
		},
		"on a connection used before the pause": func(_ *rig, p *router) []net.Conn {
			// Connections are opened one at a time: one that is idle for longer than
			// the header time-out before its first request is closed.
			var conns []net.Conn
			for range callers {
				c := dial(p, 1)[0]
				sendOn(c, 2)
				Expect(readResponse(c)).To(HaveSuffix(streamEnd))
				conns = append(conns, c)
			}
			p.signal(syscall.SIGSTOP)
			return conns
		},
	}
	for _, name := range wasabitest.SortedKeys(pauseCases) {
		// Guards against closing connections after a pause of the process: a request that
		// arrived during the pause is complete in the receive buffer, but with the header
		// time-out expired, the router closed the connection without reading it, and the
		// caller got no response.
		It("gets a complete response after the pause: "+name, func() {
			r := newRig(rigOptions{routers: 2, engines: 1, spec: wasabifake.Spec{Slots: callers, BlockTokens: 256}, fromFile: true, headerTimeout: headerTimeout, oneCore: true})
			p := r.routers[0]
			conns := pauseCases[name](r, p)
			for _, c := range conns {
				sendOn(c, 2)
			}
			// The header time-out must expire during the pause.
			time.Sleep(4 * headerTimeout.Duration())
			p.signal(syscall.SIGCONT)
			for _, c := range conns {
				Expect(readResponse(c)).To(HaveSuffix(streamEnd))
			}
		})
	}
})

// streamEnd is the end of a complete stream in chunked encoding.
const streamEnd = "[DONE]\n\n\r\n0\r\n\r\n"

// dial opens n connections to a router.
func dial(p *router, n int) []net.Conn {
	GinkgoHelper()
	conns := make([]net.Conn, n)
	for i := range conns {
		var err error
		conns[i], err = net.Dial("tcp", p.settings.Caller.Listen)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conns[i].Close)
	}
	return conns
}

// sendOn writes a request for a stream to a connection.
func sendOn(c net.Conn, tokens int) {
	GinkgoHelper()
	body := question("Are you there?", tokens, true)
	_, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
	Expect(err).NotTo(HaveOccurred())
}

// readResponse reads a chunked response to its end, or until the connection is closed.
func readResponse(c net.Conn) string {
	GinkgoHelper()
	Expect(c.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
	var text strings.Builder
	buffer := make([]byte, 4096)
	for !strings.HasSuffix(text.String(), "\r\n0\r\n\r\n") {
		n, err := c.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	return text.String()
}

var _ = Describe("router processes without the platform", func() {
	// Each of the outages makes the platform fail and returns the function that restores it.
	outages := map[string]func(r *rig) (back func()){
		"refuses connections": func(r *rig) func() {
			r.store.Crash()
			return func() { Expect(r.store.Start("")).To(Succeed()) }
		},
		"refuses all calls": func(r *rig) func() {
			r.setPlan(wasabifault.Plan{Unavailable: 1})
			return func() { r.setPlan(wasabifault.Plan{}) }
		},
		"hangs": func(r *rig) func() {
			r.setPlan(wasabifault.Plan{DelayMin: wasabiridge.Minute, DelayMax: wasabiridge.Minute})
			return func() { r.setPlan(wasabifault.Plan{}) }
		},
	}
	for _, name := range wasabitest.SortedKeys(outages) {
		// Guards against depending on the platform's store for streams. While the store
		// fails, streams must continue, bookings with a ticket must succeed, and no
		// response may misstate whether a booking ran. The same holds after all instances
		// restart at once, as in a power failure. When the store is back, bookings with
		// the callers' own keys must succeed again.
		It("serve and report booking outcomes correctly while it "+name, func() {
			r := newRig(rigOptions{routers: 3, engines: 2, spec: slowEngine, fromFile: true})
			l := r.startLoad(6, 3)
			l.progress(6, 6)
			back := outages[name](r)
			for range 2 {
				l.progress(12, 0)
				located, ok := r.caller(0).locate(r.routers[0].url())
				Expect(ok).To(BeTrue())
				Expect(r.caller(0).book(r.routers[0].url(), located.Ticket).Code).To(BeEmpty(), "booking with a ticket")
				for _, p := range r.routers {
					p.kill()
				}
				r.startAll()
				r.eventuallyServing()
			}
			back()
			l.progress(6, 6)
			l.verify()
		})
	}
})

var _ = Describe("nine router processes that start together", func() {
	// Guards against routers that cannot start without the platform, as after a power
	// failure of all instances. Every router must serve within a minute; the times are
	// printed.
	It("all serve without the platform", func() {
		r := newRig(rigOptions{routers: 9, engines: 2, fromFile: true})
		r.store.Crash()
		for _, p := range r.routers {
			p.kill()
		}
		took := make([]time.Duration, len(r.routers))
		var answered sync.WaitGroup
		for i, p := range r.routers {
			c := r.caller(i)
			started := time.Now()
			p.launch()
			answered.Go(func() {
				for c.stream(p.url(), "Are you there?", 2).Code != "" && time.Since(started) < time.Minute {
					time.Sleep(time.Millisecond)
				}
				took[i] = time.Since(started)
			})
		}
		answered.Wait()
		slices.Sort(took)
		GinkgoWriter.Printf("start to first response: p50 %v, max %v\n", took[len(took)/2], took[len(took)-1])
		Expect(took[len(took)-1]).To(BeNumerically("<", time.Minute))
	})
})

var _ = Describe("configurations put by operators", func() {
	// Guards against partly accepted configurations: an operator puts one while the
	// platform loses requests or responses, refuses calls or delays writes, and an instance
	// is killed. A configuration reported as accepted must be in force everywhere, one
	// reported as rejected nowhere, and one with an unknown outcome everywhere or nowhere.
	// No instance may revert to an older version.
	It("are accepted everywhere or nowhere, and never revert", func() {
		lost, late := wasabifault.Outcome{Kind: wasabifault.LostAnswer}, wasabifault.Outcome{Kind: wasabifault.LateEffect, EffectDelay: 300}
		never, unavailable := wasabifault.Outcome{Kind: wasabifault.LostRequest}, wasabifault.Outcome{Kind: wasabifault.Unavailable}
		cases := map[string]struct {
			fates []wasabifault.Outcome
			// crash terminates the store while the response is in flight.
			crash bool
			exits []wasabicommand.Exit
		}{
			"answer lost":                   {fates: []wasabifault.Outcome{lost}, exits: []wasabicommand.Exit{accepted}},
			"answer lost, store terminated": {fates: []wasabifault.Outcome{{Kind: wasabifault.LostAnswer, After: wasabiridge.Second}}, crash: true, exits: []wasabicommand.Exit{wasabicommand.ExitUnknown}},
			"request lost":                  {fates: []wasabifault.Outcome{never}, exits: []wasabicommand.Exit{accepted, wasabicommand.ExitUnknown}},
			"requests lost":                 {fates: []wasabifault.Outcome{never, never, never, never, never, never}, exits: []wasabicommand.Exit{wasabicommand.ExitUnknown}},
			"late effect":                   {fates: []wasabifault.Outcome{late}, exits: []wasabicommand.Exit{accepted, wasabicommand.ExitUnknown}},
			"unavailable":                   {fates: []wasabifault.Outcome{unavailable}, exits: []wasabicommand.Exit{wasabicommand.ExitUnavailable, accepted}},
		}
		r := newRig(rigOptions{routers: 3, engines: 1})
		stop := r.watchVersions()
		exits := map[string]wasabicommand.Exit{}
		for i, name := range wasabitest.SortedKeys(cases) {
			c := cases[name]
			base := r.converge()
			r.platform.Table.Faults().SetNextOutcomes(wasabifault.Write, c.fates...)
			put := make(chan wasabicommand.Exit, 1)
			go func() {
				defer GinkgoRecover()
				put <- r.put(r.routers[i%3], base, name, r.configText(name))
			}()
			if c.crash {
				Eventually(func() int { return len(r.history()) }, waitTimeout).Should(BeEquivalentTo(base + 1))
				r.store.Crash()
			}
			exits[name] = <-put
			Expect(exits[name]).To(BeElementOf(c.exits), name)
			if c.crash {
				Expect(r.store.Start("")).To(Succeed())
			}
			r.routers[(i+1)%3].restart()
		}
		r.converge()
		Expect(stop()).To(BeEmpty(), "decreases of the configuration version")
		times := map[string]int{}
		for _, author := range r.history() {
			times[author]++
		}
		for name, exit := range exits {
			switch exit {
			case accepted:
				Expect(times[name]).To(Equal(1), name)
			case wasabicommand.ExitUnknown:
				Expect(times[name]).To(BeNumerically("<=", 1), name)
			default:
				Expect(times[name]).To(BeZero(), name)
			}
		}
	})

	// Guards against lost updates: two operators edit the same version and put it at two
	// instances at once. One must be accepted and the other reported as a conflict.
	It("conflict when they have the same base, and exactly one is accepted", func() {
		r := newRig(rigOptions{routers: 3, engines: 1})
		for range 2 {
			base := r.converge()
			exits := make(chan wasabicommand.Exit, 2)
			for _, p := range r.routers[:2] {
				go func() {
					defer GinkgoRecover()
					exits <- r.put(p, base, "operator", r.configText(string(p.id)))
				}()
			}
			Expect([]wasabicommand.Exit{<-exits, <-exits}).To(ConsistOf(wasabicommand.ExitOK, wasabicommand.ExitConflict))
		}
		Expect(r.converge()).To(BeEquivalentTo(3))
	})
})

var _ = Describe("an engine behind router processes", func() {
	// Guards against lost or repeated tokens when an engine crashes within a stream: the
	// caller must get one complete stream with each token once.
	It("crashes, and its streams are resumed completely at another", func() {
		r := newRig(rigOptions{routers: 3, engines: 2, spec: wasabifake.Spec{Decode: 10}, fromFile: true})
		const tokens = 60
		want := r.want("Why does the seat stop?", tokens)
		for _, p := range r.routers {
			r.eventuallyUses(p, r.engines...)
			written := r.engines[0].WrittenTokens() + r.engines[1].WrittenTokens()
			got := make(chan reply, 1)
			go func() { got <- r.caller(0).stream(p.url(), "Why does the seat stop?", tokens) }()
			Eventually(func() int { return r.engines[0].WrittenTokens() + r.engines[1].WrittenTokens() }, waitTimeout).Should(BeNumerically(">", written+10))
			crashing := r.engines[0]
			if crashing.Load().Running == 0 {
				crashing = r.engines[1]
			}
			crashing.Crash()
			Eventually(got, waitTimeout).Should(Receive(And(HaveField("Code", ""), HaveField("Text", want))))
			Expect(crashing.Start("")).To(Succeed())
		}
	})

	// Guards against breaking off a stream too early: when its engine crashes, the only
	// other engine has just restarted, and the router has not detected that yet. The stream
	// must wait until it has.
	It("crashes when the only other one has just restarted, and its streams are resumed", func() {
		r := newRig(rigOptions{routers: 1, engines: 2, spec: wasabifake.Spec{Decode: 10}, fromFile: true})
		const tokens = 60
		want := r.want("Why does the seat stop?", tokens)
		other, crashing := r.engines[0], r.engines[1]
		other.Crash()
		r.routers[0].eventuallyLoses(other)
		got := make(chan reply, 1)
		go func() { got <- r.caller(0).stream(r.routers[0].url(), "Why does the seat stop?", tokens) }()
		Eventually(crashing.WrittenTokens, waitTimeout).Should(BeNumerically(">", 10))
		Expect(other.Start("")).To(Succeed())
		crashing.Crash()
		var answer reply
		Eventually(got, waitTimeout).Should(Receive(&answer))
		Expect(answer).To(And(HaveField("Code", ""), HaveField("Text", want)))
	})

	// Guards against stale cache estimates: an engine with a cached manual restarts with a
	// cold cache, and its last cache events are lost. Routers that assume that the manual is
	// still cached must not relay a response based on that.
	It("restarts with a cold cache, and no response relies on its former cache", func() {
		r := newRig(rigOptions{routers: 3, engines: 1, spec: wasabifake.Spec{BlockTokens: 64}, fromFile: true})
		manual := strings.Repeat("Check rail, seat and footrest. ", 200)
		want := r.want(manual, 4)
		for _, p := range r.routers {
			r.eventuallyUses(p, r.engines...)
			ask := func() reply { return r.caller(0).stream(p.url(), manual, 4) }
			Expect(ask().Code).To(BeEmpty())
			Expect(ask().Cached).To(BeNumerically(">", 0), "the cache is warm")
			r.engines[0].DropEvents(100)
			r.engines[0].Crash()
			Expect(r.engines[0].Start("")).To(Succeed())
			var got reply
			Eventually(func() string { got = ask(); return got.Code }, waitTimeout).Should(BeEmpty())
			Expect(got).To(And(HaveField("Text", want), HaveField("Cached", 0)))
		}
	})

	// Guards against new requests to an engine that is draining, which it announces in its
	// load reports. Its streams must complete, and after a few seconds no router may send it
	// requests.
	It("drains, and every router stops sending it new requests", func() {
		r := newRig(rigOptions{routers: 3, engines: 2, spec: slowEngine, fromFile: true})
		draining := r.engines[0]
		l := r.startLoad(12, 0)
		Eventually(draining.StartedAnswers, waitTimeout).Should(BeNumerically(">", 3))
		began := time.Now()
		draining.SetLeaving()
		var last atomic.Int64
		Eventually(func(g Gomega) {
			served := draining.StartedAnswers()
			last.Store(time.Since(began).Milliseconds())
			l.progress(24, 0)
			g.Expect(draining.StartedAnswers()).To(Equal(served))
		}, waitTimeout).Should(Succeed())
		GinkgoWriter.Printf("no new requests after %d ms\n", last.Load())
		served := draining.StartedAnswers()
		l.progress(60, 0)
		Expect(draining.StartedAnswers()).To(Equal(served))
		l.verify()
		Expect(l.codes).To(BeEmpty())
	})
})
