package wasabiquarantine_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

const fatal wasabiridge.Fingerprint = 1

// sendFatal makes callers send the fatal request in intervals, each time to a random
// instance.
func (f *fleet) sendFatal(every, span wasabiridge.Millis, callers, retries int) {
	for at := wasabiridge.Millis(0); at < span; at += every {
		f.agenda.Schedule(f.now+at, func() {
			for range callers {
				f.request(f.anyInstance(), requestWith(fatal), true, true, retries)
			}
		})
	}
}

// interruptThird takes a third of the instances offline, and brings them back five seconds
// later.
func (f *fleet) interruptThird(set func(n *instance, offline bool)) {
	for at, offline := range map[wasabiridge.Millis]bool{100: true, 5100: false} {
		f.agenda.Schedule(f.now+at, func() {
			for i := range len(f.instances) / 3 {
				set(f.instances[3*i], offline)
			}
		})
	}
}

// Guards against a request that ends every server that runs it and is sent again to any
// instance, while no instance knows what the others have seen. Some instances are killed,
// started, paused or partitioned just when they should receive the updates, and a tenth of
// the messages is lost. After the request has ended three servers, reachable instances may
// send it to at most three more.
func TestAtMostThreeFurtherSends(t *testing.T) {
	cases := map[string]struct {
		instances, active, servers int
		callers, retries           int
		every                      wasabiridge.Millis
		trouble                    func(f *fleet)
		// maxEnded bounds the servers that may end: three and three further ones, and those
		// to which callers send the request at the same moment, before anything is known.
		maxEnded int
	}{
		"one caller":                                    {6, 6, 9, 1, 0, 600, nil, 6},
		"one caller, with retries":                      {6, 6, 9, 1, 1, 600, nil, 6},
		"one caller, seldom":                            {6, 6, 9, 1, 0, 5000, nil, 6},
		"ten at the same moment":                        {6, 6, 9, 10, 0, 600, nil, 14},
		"ten at the same moment, seldom":                {6, 6, 9, 10, 0, 5000, nil, 14},
		"ten, seldom, hundreds of instances":            {374, 62, 1600, 10, 1, 5000, nil, 14},
		"ten, with retries, many servers":               {6, 6, 200, 10, 1, 600, nil, 14},
		"hundreds of instances":                         {374, 62, 1600, 1, 1, 300, nil, 6},
		"hundreds of instances, ten at the same moment": {374, 62, 1600, 10, 1, 600, nil, 14},
		"the instance that saw the third end is killed": {6, 6, 9, 1, 0, 600, func(f *fleet) {
			f.agenda.Schedule(f.now+1302, func() { f.instances[0].kill() })
		}, 6},
		"half of hundreds are killed and restart": {374, 62, 1600, 1, 1, 300, func(f *fleet) {
			f.agenda.Schedule(f.now+2000, func() {
				for i := range 187 {
					f.instances[i].kill()
				}
			})
			f.agenda.Schedule(f.now+4000, func() {
				for i := range 187 {
					f.start(i)
				}
			})
		}, 6},
		"a third is paused for five seconds": {374, 62, 1600, 1, 1, 300, func(f *fleet) {
			f.interruptThird(func(n *instance, away bool) { n.offline, n.paused = away, away })
		}, 6},
		// Each partitioned instance knows only of the ends that it saw itself.
		"a third is partitioned off for five seconds": {374, 62, 1600, 1, 1, 300, func(f *fleet) {
			f.interruptThird(func(n *instance, away bool) { n.offline, n.backAt = away, f.now })
		}, 34},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		c := cases[name]
		seeds := uint64(5)
		if c.instances > 100 {
			seeds = 1
		}
		for seed := range seeds {
			g := NewWithT(t)
			f := newFleet(seed, c.instances, c.active, c.servers, design{})
			f.lossRate = 0.1
			f.sendFatal(c.every, 14*wasabiridge.Second, c.callers, c.retries)
			if c.trouble != nil {
				c.trouble(f)
			}
			f.run(16 * wasabiridge.Second)
			g.Expect(f.furtherSends()).To(BeNumerically("<=", 3), "%s, seed %d", name, seed)
			g.Expect(len(f.ends)).To(BeNumerically("<=", c.maxEnded), "%s, seed %d", name, seed)
			t.Logf("%s, seed %d: %d servers ended, %d further sends, %d refused, %d messages", name, seed, len(f.ends), f.furtherSends(), f.refused[fatal], f.messages)
		}
	}
}

// Guards against blocking harmless requests when many servers end: a rack, a zone, and
// three times a third of all servers are lost. Requests that ran there are retried, and
// popular requests run everywhere. None of them ended a server, so none may be refused, and
// a complete answer to a popular request must clear it at every instance.
func TestHarmlessRequestsAreNotBlocked(t *testing.T) {
	cases := map[string]struct{ instances, active, servers, popular, perSecond int }{
		"few":      {6, 6, 9, 50, 300},
		"hundreds": {374, 62, 1600, 500, 9300},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		t.Run(name, func(t *testing.T) {
			c := cases[name]
			runHarmlessRequests(t, newFleet(1, c.instances, c.active, c.servers, design{}), c.popular, c.perSecond)
		})
	}
}

func runHarmlessRequests(t *testing.T, f *fleet, popular, perSecond int) {
	g := NewWithT(t)
	f.lossRate = 0.1
	next := wasabiridge.Fingerprint(1e6)
	const span = 15 * wasabiridge.Second
	for at := range span {
		f.agenda.Schedule(f.now+at, func() {
			for range perSecond*int(at+1)/1000 - perSecond*int(at)/1000 {
				next++
				r := wasabiridge.Request{Fingerprint: next, Account: wasabiridge.ClientAccountID(fmt.Sprint("a", next%40000)), Model: "m"}
				if f.random.IntN(3) == 0 {
					r.Fingerprint = 1 + wasabiridge.Fingerprint(f.random.IntN(popular))
					r.Account = wasabiridge.ClientAccountID(fmt.Sprint("a", r.Fingerprint%8))
				}
				f.request(f.anyInstance(), r, false, true, 1)
			}
		})
	}
	lose := func(at wasabiridge.Millis, one, of int) {
		f.agenda.Schedule(f.now+at, func() {
			for i, s := range f.servers {
				if i%of < one {
					f.crash(s)
				}
			}
		})
	}
	lose(1000, 1, 40)
	lose(2500, 1, 9)
	for i := range 3 {
		lose(wasabiridge.Millis(4000+3500*i), 1, 3)
	}
	f.run(span + propagation)
	refused := 0
	for _, n := range f.refused {
		refused += n
	}
	g.Expect(refused).To(BeZero())
	deferred := 0
	for _, n := range f.deferred {
		deferred += n
	}
	t.Logf("%d requests deferred", deferred)
	held := 0
	for _, n := range f.instances {
		for _, e := range n.table.Entries(f.now) {
			if f.served[e.Fingerprint] > 0 && e.Fingerprint <= wasabiridge.Fingerprint(popular) {
				held++
				if held < 20 {
					fmt.Println("HELD", f.now-1e6, n.id, e.Fingerprint, e.Epoch, e.Crashes)
				}
			}
		}
	}
	g.Expect(held).To(BeZero(), "suspicions of popular requests that were answered everywhere")
	t.Logf("%d served, %d messages with %d records", len(f.served), f.messages, f.sentRecords)
}

// Compares runs without updates, repeats or isolation, with one caller and with ten that
// send the fatal request at the same moment, beside harmless requests. Without updates more
// servers must end, and with all mechanisms no harmless request may be refused.
func TestMechanismComparison(t *testing.T) {
	designs := map[string]design{"whole": {}, "no updates": {noUpdates: true}, "no repeats": {noRepeats: true}, "no isolation": {noIsolation: true}}
	g := NewWithT(t)
	type total struct{ ended, further, refused, deferred int }
	totals := map[string]total{}
	for _, name := range wasabitest.SortedKeys(designs) {
		for _, callers := range []int{1, 10} {
			var sum total
			for seed := range uint64(40) {
				f := newFleet(seed, 6, 6, 30, designs[name])
				f.lossRate = 0.1
				f.sendFatal(600, 15*wasabiridge.Second, callers, 1)
				for at := wasabiridge.Millis(0); at < 15*wasabiridge.Second; at += 5 {
					f.agenda.Schedule(f.now+at, func() {
						f.request(f.anyInstance(), requestWith(wasabiridge.Fingerprint(10+f.random.IntN(50))), false, true, 1)
					})
				}
				f.run(20 * wasabiridge.Second)
				if designs[name] == (design{}) {
					g.Expect(f.furtherSends()).To(BeNumerically("<=", 3))
				}
				sum.ended += len(f.ends)
				sum.further += f.furtherSends()
				sum.refused -= f.refused[fatal]
				for _, n := range f.refused {
					sum.refused += n
				}
				sum.deferred -= f.deferred[fatal]
				for _, n := range f.deferred {
					sum.deferred += n
				}
			}
			totals[fmt.Sprint(name, callers)] = sum
			t.Logf("%s, callers %d: %d servers ended in 40 runs, %d further sends, of harmless requests %d refused and %d deferred",
				name, callers, sum.ended, sum.further, sum.refused, sum.deferred)
		}
	}
	for _, callers := range []string{"1", "10"} {
		g.Expect(totals["no updates"+callers].ended).To(BeNumerically(">", totals["whole"+callers].ended))
		g.Expect(totals["whole"+callers].refused).To(BeZero())
	}
}
