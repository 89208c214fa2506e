package wasabiquota_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// designs are the designs under comparison, by the names that the benchmark prints. "told"
// is the design in use: every instance sends running totals to the others.
var designs = map[string]func(*fleet, int) limiter{"fixed": newFixed, "lent": newLeased, "told": newRunningTotals}

// sendBelowLimit sends requests of an account that fit into a token bucket with a fraction
// of its limit.
func sendBelowLimit(f *fleet, id wasabiridge.ClientAccountID, rate, fraction float64, until wasabiridge.Millis, to func() int) {
	level, at := 0.0, f.now
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		level, at = min(level+float64(f.now-at)/1000*rate*fraction, rate*fraction), f.now
		if cost := f.drawCost(); float64(cost) <= level {
			level -= float64(cost)
			f.request(to(), id, cost)
		}
		f.schedule(f.now+1+wasabiridge.Millis(f.random.ExpFloat64()*meanCost/rate/fraction*900), next)
	}
	f.schedule(f.now, next)
}

// countRefusedBelowLimit returns how many requests were sent within nine tenths of a limit,
// first to any instances and then all to one, and how many of them were refused.
func countRefusedBelowLimit(rate float64, build func(*fleet, int) limiter) (asked, refused int) {
	for seed := range uint64(2) {
		f := newFleet(seed, 15, []wasabiridge.ClientAccount{limitedAccount("a", rate)}, build)
		f.runUntil(f.now + 3000)
		sendBelowLimit(f, "a", rate, 0.9, f.now+10_000, f.anyOf(15))
		f.runUntil(f.now + 12_000)
		sendBelowLimit(f, "a", rate, 0.9, f.now+5000, func() int { return 3 })
		f.runUntil(f.now + 8000)
		asked, refused = asked+f.asked["a"], refused+f.refused["a"]
	}
	return asked, refused
}

// rateAfterMove returns which part of the rate is admitted in the first second after the
// demand has moved to another instance, and later.
func rateAfterMove(build func(*fleet, int) limiter) (first, later float64) {
	f := newFleet(1, 15, []wasabiridge.ClientAccount{limitedAccount("a", largeRate/3)}, build)
	f.runUntil(f.now + 3000)
	f.load("a", 0.95*largeRate/3, f.now+5000, func() int { return 1 })
	f.runUntil(f.now + 5000)
	at := f.now
	f.load("a", 0.95*largeRate/3, f.now+5000, func() int { return 2 })
	f.runUntil(f.now + 5000)
	return f.unitsRunIn("a", at, at+1000) / largeRate * 3, f.unitsRunIn("a", at+1000, at+5000) / largeRate / 4 * 3
}

// size is a number of instances with callers, of busy accounts, and of requests per second.
type size struct{ instances, accounts, requests int }

// trafficPerInstance returns the messages and kilobytes that each instance sends per
// second.
func trafficPerInstance(z size, build func(*fleet, int) limiter) (messages, kilobytes float64) {
	f := newFleet(1, z.instances, nil, build)
	var accounts []wasabiridge.ClientAccount
	mean := float64(z.requests) / float64(z.accounts) * meanCost
	for i := range z.accounts {
		accounts = append(accounts, limitedAccount(fmt.Sprintf("a%04d", i), 1.8*mean))
	}
	f.adopt(accounts, 0)
	f.runUntil(f.now + 3000)
	for _, a := range accounts {
		f.load(a.ID, mean, f.now+500, f.anyOf(z.instances))
	}
	f.messages, f.bytes = 0, 0
	f.runUntil(f.now + 500)
	each := 0.5 * float64(z.instances)
	return float64(f.messages) / each, float64(f.bytes) / each / 1000
}

var _ = Describe("An account within nine tenths of its limit", func() {
	for _, limit := range []float64{smallRate, largeRate / 6} {
		It(fmt.Sprintf("is not refused any request: %.0f tokens per second", limit), func() {
			asked, refused := countRefusedBelowLimit(limit, newRunningTotals)
			Expect(asked).To(BeNumerically(">", 400))
			Expect(refused).To(BeZero())
		})
	}

	It("can use the whole limit at the instance to which its demand moves", func() {
		first, later := rateAfterMove(newRunningTotals)
		Expect(first).To(BeNumerically(">", 0.75), "part of the rate, with a demand of 0.95")
		Expect(later).To(BeNumerically(">", 0.75))
	})
})

// BenchmarkDesigns compares the designs and prints the results.
func BenchmarkDesigns(b *testing.B) {
	for b.Loop() {
		for _, name := range slices.Sorted(maps.Keys(designs)) {
			compare(name, designs[name])
		}
	}
}

func compare(name string, build func(*fleet, int) limiter) {
	for _, limit := range []float64{smallRate, largeRate / 6} {
		asked, refused := countRefusedBelowLimit(limit, build)
		fmt.Fprintf(os.Stderr, "%s: %.0f tokens per second, demand within nine tenths: %d of %d requests refused\n", name, limit, refused, asked)
	}
	for _, kind := range slices.Sorted(maps.Keys(faults)) {
		if faults[kind].bound != nil {
			continue
		}
		f, from := runFault(0, faults[kind], largeRate/12, build), wasabiridge.Millis(1_003_000)
		share, _ := f.maxWindow("a", *limitedAccount("a", largeRate/12).Limit, from)
		ran := f.unitsRunIn("a", from, f.now) / float64(f.now-from) * 1000 / (largeRate / 12)
		fmt.Fprintf(os.Stderr, "%s: %s: %.3f of the limit in the busiest window, %.3f of the rate admitted\n", name, kind, share, ran)
	}
	first, later := rateAfterMove(build)
	fmt.Fprintf(os.Stderr, "%s: %.3f of the rate admitted in the first second after the demand has moved, %.3f later\n", name, first, later)
	for _, z := range []size{{9, 8, 300}, {15, 16, 1200}, {62, 1000, 9300}} {
		messages, kilobytes := trafficPerInstance(z, build)
		fmt.Fprintf(os.Stderr, "%s: %d instances with callers, %d busy accounts: %.0f messages and %.1f KB per second and instance\n", name, z.instances, z.accounts, messages, kilobytes)
	}
}
