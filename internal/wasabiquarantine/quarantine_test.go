package wasabiquarantine_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// bench drives one table by hand.
type bench struct {
	table *wasabiquarantine.Table
	now   wasabiridge.Millis
	next  wasabiridge.AttemptID
}

func newBench() *bench {
	return &bench{table: wasabiquarantine.New(wasabiquarantine.Options{Seed: 1}), now: 1e6}
}

func asked(f wasabiridge.Fingerprint) wasabiridge.Request {
	return wasabiridge.Request{Fingerprint: f, Account: "a", Model: "m"}
}

// begin sends an attempt, and returns how to end it.
func (b *bench) begin(r wasabiridge.Request, server wasabiridge.BackendServerID) func(wasabiridge.AttemptEnded) {
	b.next++
	id := b.next
	b.table.Sent(b.now, r, id, wasabiridge.BackendServer{ID: server})
	return func(e wasabiridge.AttemptEnded) {
		e.Attempt = id
		b.table.Observe(b.now, e)
	}
}

var (
	crashed  = wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken, ServerEnded: true}
	broken   = wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken}
	answered = wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCompleted}
	failed   = wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken, Failed: true}
	notRun   = wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun}
)

// ends lets servers end under a request, one after the other.
func (b *bench) ends(f wasabiridge.Fingerprint, servers ...wasabiridge.BackendServerID) {
	for _, s := range servers {
		end := b.begin(asked(f), s)
		b.now += 100
		end(crashed)
		b.now += 2000
	}
}

func (b *bench) hear(c ...wasabiridge.CrashNews) {
	b.table.Observe(b.now, wasabiridge.CrashesHeard{From: "other", Crashes: c})
}

func (b *bench) wait(d wasabiridge.Millis) {
	for end := b.now + d; b.now < end; {
		b.now = min(end, b.now+wasabiridge.Second)
		b.table.Observe(b.now, wasabiridge.Ticked{})
	}
}

// What tells a request that ends servers from one that ran beside it, was cut off, or
// met servers that fail for other reasons.
func TestStandingFollowsTheEvidence(t *testing.T) {
	const free, suspect, deferred, barred = wasabiridge.StandingFree, wasabiridge.StandingSuspect, wasabiridge.StandingDeferred, wasabiridge.StandingBarred
	heard := func(epoch uint32, ages ...wasabiridge.Millis) wasabiridge.CrashNews {
		c := wasabiridge.CrashNews{Fingerprint: 1, Account: "a", Model: "m", Epoch: epoch}
		for i, age := range ages {
			c.Ends = append(c.Ends, wasabiridge.ServerEnd{Backend: wasabiridge.BackendServerID(fmt.Sprint("h", i)), Ran: 50, Age: age, Weights: 1})
		}
		return c
	}
	// others lets servers end at this moment under other requests.
	others := func(b *bench, n int) {
		for i := range n {
			b.hear(wasabiridge.CrashNews{Fingerprint: wasabiridge.Fingerprint(50 + i), Account: "a", Ends: []wasabiridge.ServerEnd{{Backend: wasabiridge.BackendServerID(fmt.Sprint("o", i)), Ran: 50}}})
		}
	}
	cases := map[string]struct {
		do   func(b *bench)
		want wasabiridge.Standing
	}{
		"nothing happened": {func(*bench) {}, free},
		"connections broke, servers listen": {func(b *bench) {
			b.begin(asked(1), "s1")(broken)
			b.begin(asked(1), "s2")(broken)
			b.begin(asked(1), "s3")(broken)
		}, free},
		"one server ended":            {func(b *bench) { b.ends(1, "s1") }, suspect},
		"three, one after the other":  {func(b *bench) { b.ends(1, "s1", "s2", "s3") }, barred},
		"three lives of one server":   {func(b *bench) { b.ends(1, "s1", "s1", "s1") }, barred},
		"three under another request": {func(b *bench) { b.ends(2, "s1", "s2", "s3") }, free},
		"three at one moment": {func(b *bench) {
			one, two, three := b.begin(asked(1), "s1"), b.begin(asked(1), "s2"), b.begin(asked(1), "s3")
			b.now += 20
			one(crashed)
			two(crashed)
			three(crashed)
		}, suspect},
		"three at one moment, and one more": {func(b *bench) {
			one, two, three := b.begin(asked(1), "s1"), b.begin(asked(1), "s2"), b.begin(asked(1), "s3")
			b.now += 20
			one(crashed)
			two(crashed)
			three(crashed)
			b.ends(1, "s4")
		}, barred},
		"three of a rack, and one at once": {func(b *bench) {
			one, two, three := b.begin(asked(1), "s1"), b.begin(asked(1), "s2"), b.begin(asked(1), "s3")
			b.now += 20
			one(crashed)
			two(crashed)
			three(crashed)
			others(b, 2)
			b.ends(1, "s4")
		}, suspect},
		"three of a rack, and one later": {func(b *bench) {
			one, two, three := b.begin(asked(1), "s1"), b.begin(asked(1), "s2"), b.begin(asked(1), "s3")
			b.now += 20
			one(crashed)
			two(crashed)
			three(crashed)
			others(b, 2)
			b.now += 300
			b.ends(1, "s4")
		}, barred},
		"one after the other within a rack": {func(b *bench) {
			others(b, 2)
			for _, server := range []wasabiridge.BackendServerID{"s1", "s2", "s3"} {
				end := b.begin(asked(1), server)
				b.now += 20
				end(crashed)
			}
		}, suspect},
		"one after the other at once": {func(b *bench) {
			for _, server := range []wasabiridge.BackendServerID{"s1", "s2", "s3"} {
				end := b.begin(asked(1), server)
				b.now += 20
				end(crashed)
			}
		}, barred},
		"two callers at the server that ended": {func(b *bench) {
			one, two := b.begin(asked(1), "s1"), b.begin(asked(1), "s1")
			one(crashed)
			two(crashed)
			b.ends(1, "s2")
		}, suspect},
		"an answer in between":           {func(b *bench) { b.ends(1, "s1", "s2"); b.begin(asked(1), "s3")(answered); b.ends(1, "s4") }, suspect},
		"an answer after the third":      {func(b *bench) { other := b.begin(asked(1), "s4"); b.ends(1, "s1", "s2", "s3"); other(answered) }, free},
		"a failure of a server's own":    {func(b *bench) { b.ends(1, "s1"); b.begin(asked(1), "s2")(failed) }, free},
		"a refusal is no answer":         {func(b *bench) { b.ends(1, "s1"); b.begin(asked(1), "s2")(notRun) }, suspect},
		"others saw two, one here":       {func(b *bench) { b.hear(heard(0, 300, 100)); b.ends(1, "s1") }, barred},
		"the same end from two sides":    {func(b *bench) { b.ends(1, "h0"); b.hear(heard(0, 2000)); b.hear(heard(0, 2003)) }, suspect},
		"answered elsewhere":             {func(b *bench) { b.ends(1, "s1", "s2", "s3"); b.hear(heard(1)) }, free},
		"late news of before the answer": {func(b *bench) { b.ends(1, "s1"); b.begin(asked(1), "s2")(answered); b.hear(heard(0, 500, 300, 100)) }, free},
		"released": {func(b *bench) {
			b.ends(1, "s1", "s2", "s3")
			b.table.Observe(b.now, wasabiridge.QuarantineReleased{Fingerprint: 1})
		}, free},
		"a minute later":      {func(b *bench) { b.ends(1, "s1", "s2", "s3"); b.wait(57 * wasabiridge.Second) }, barred},
		"the bar has lapsed":  {func(b *bench) { b.ends(1, "s1", "s2", "s3"); b.wait(95 * wasabiridge.Second) }, suspect},
		"one trial at a time": {func(b *bench) { b.ends(1, "s1", "s2", "s3"); b.wait(95 * wasabiridge.Second); b.begin(asked(1), "s4") }, deferred},
		"the next after a trial not run": {func(b *bench) {
			b.ends(1, "s1", "s2", "s3")
			b.wait(95 * wasabiridge.Second)
			b.begin(asked(1), "s4")(notRun)
		}, suspect},
		"a trial ended a server too": {func(b *bench) {
			b.ends(1, "s1", "s2", "s3")
			b.wait(95 * wasabiridge.Second)
			b.ends(1, "s4")
			b.wait(95 * wasabiridge.Second)
		}, barred},
		"two trials, for long": {func(b *bench) {
			b.ends(1, "s1", "s2", "s3")
			b.wait(95 * wasabiridge.Second)
			b.ends(1, "s4")
			b.wait(4 * wasabiridge.Minute)
			b.ends(1, "s5")
			b.wait(50 * wasabiridge.Minute)
		}, barred},
		"forgotten at last": {func(b *bench) { b.ends(1, "s1", "s2", "s3"); b.wait(15 * wasabiridge.Minute) }, free},
		"newer weights": {func(b *bench) {
			b.table.Observe(b.now, wasabiridge.WeightsNamed{Model: "m", Weights: 1})
			b.ends(1, "s1", "s2", "s3")
			b.table.Observe(b.now, wasabiridge.WeightsNamed{Model: "m", Weights: 2})
		}, suspect},
		"newer weights of another model": {func(b *bench) {
			b.table.Observe(b.now, wasabiridge.WeightsNamed{Model: "m", Weights: 1})
			b.ends(1, "s1", "s2", "s3")
			b.table.Observe(b.now, wasabiridge.WeightsNamed{Model: "n", Weights: 2})
		}, barred},
	}
	for _, name := range wasabitest.Names(cases) {
		b := newBench()
		cases[name].do(b)
		NewWithT(t).Expect(b.table.Judge(b.now, asked(1))).To(Equal(cases[name].want), name)
	}
}

// However often weights are named, few trials end servers: three ends, then two trials.
func TestTrialsAreFew(t *testing.T) {
	g, b := NewWithT(t), newBench()
	ended := 0
	for version := range 20 {
		b.table.Observe(b.now, wasabiridge.WeightsNamed{Model: "m", Weights: wasabiridge.WeightsVersion(version + 1)})
		for i := range 5 {
			if b.table.Judge(b.now, asked(1)) == wasabiridge.StandingBarred {
				break
			}
			b.ends(1, wasabiridge.BackendServerID(fmt.Sprint(version, "/", i)))
			ended++
		}
	}
	g.Expect(ended).To(Equal(5))
}

// One account's requests fill only its own share, and never drop what is barred.
func TestMarksAreBounded(t *testing.T) {
	g, b := NewWithT(t), newBench()
	b.ends(1, "s1", "s2", "s3")
	other := wasabiridge.CrashNews{Fingerprint: 7, Account: "b", Ends: []wasabiridge.ServerEnd{{Backend: "s9"}}}
	b.hear(other)
	for i := range 10000 {
		b.hear(wasabiridge.CrashNews{Fingerprint: wasabiridge.Fingerprint(100 + i), Account: "a", Ends: []wasabiridge.ServerEnd{{Backend: "s"}}})
	}
	g.Expect(len(b.table.Entries(b.now))).To(BeNumerically("<=", 65))
	g.Expect(b.table.Judge(b.now, asked(1))).To(Equal(wasabiridge.StandingBarred))
	g.Expect(b.table.Holds(7)).To(BeTrue())
	g.Expect(b.table.Holds(10099)).To(BeTrue(), "the newest stays")
	for i := range 200 {
		// An account whose whole share is barred gives up the oldest for the newest.
		b.now += 10000
		b.ends(wasabiridge.Fingerprint(20000+i), "s1", "s2", "s3")
		g.Expect(b.table.Judge(b.now, asked(wasabiridge.Fingerprint(20000+i)))).To(Equal(wasabiridge.StandingBarred))
	}
	g.Expect(b.table.Holds(7)).To(BeTrue(), "another account's")
	b.ends(1, "s1", "s2", "s3")
	for account := range 10000 {
		b.hear(wasabiridge.CrashNews{Fingerprint: wasabiridge.Fingerprint(1e6 + account), Account: wasabiridge.ClientAccountID(fmt.Sprint(account)), Ends: []wasabiridge.ServerEnd{{Backend: "s"}}})
	}
	g.Expect(len(b.table.Entries(b.now))).To(BeNumerically("<=", 4096))
	g.Expect(b.table.Judge(b.now, asked(1))).To(Equal(wasabiridge.StandingBarred))
	g.Expect(len(b.table.Repeated(b.now).Wide)).To(BeNumerically("<=", 32))
}

// Instances hear the same news in another order, some of it twice. They know the same in
// the end.
func TestNewsComesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []wasabiridge.CrashNews
		for range rapid.IntRange(1, 12).Draw(t, "news") {
			c := wasabiridge.CrashNews{Fingerprint: wasabiridge.Fingerprint(rapid.IntRange(1, 3).Draw(t, "request")), Account: "a", Epoch: uint32(rapid.IntRange(0, 2).Draw(t, "epoch"))}
			for range rapid.IntRange(0, 4).Draw(t, "ends") {
				server := rapid.IntRange(1, 5).Draw(t, "server")
				c.Ends = append(c.Ends, wasabiridge.ServerEnd{
					Backend: wasabiridge.BackendServerID(fmt.Sprint("s", server)), Incarnation: 1, Ran: wasabiridge.Millis(rapid.IntRange(1, 3).Draw(t, "ran")),
					Age: wasabiridge.Millis(100 * server),
				})
			}
			all = append(all, c)
		}
		seen := func(order []wasabiridge.CrashNews) map[wasabiridge.Fingerprint]string {
			b := newBench()
			for _, c := range order {
				b.hear(c)
			}
			out := map[wasabiridge.Fingerprint]string{}
			for _, e := range b.table.Entries(b.now) {
				slices.SortFunc(e.Ends, func(x, y wasabiridge.ServerEnd) int { return int(x.At-y.At)*100 + len(x.Backend) - len(y.Backend) })
				out[e.Fingerprint] = fmt.Sprint(e.Epoch, e.Barred, e.Ends)
			}
			return out
		}
		shuffled := append(slices.Clone(all), all[:len(all)/2]...)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if a, b := seen(all), seen(shuffled); !maps.Equal(a, b) {
			t.Fatalf("%v\n%v", a, b)
		}
	})
}
