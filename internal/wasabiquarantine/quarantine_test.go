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

// tableDriver drives a single table.
type tableDriver struct {
	table *wasabiquarantine.Table
	now   wasabiridge.Millis
	next  wasabiridge.AttemptID
}

func newTableDriver() *tableDriver {
	return &tableDriver{table: wasabiquarantine.New(wasabiquarantine.Options{Seed: 1}), now: 1e6}
}

func requestWith(f wasabiridge.Fingerprint) wasabiridge.Request {
	return wasabiridge.Request{Fingerprint: f, Account: "a", Model: "m"}
}

// begin sends an attempt, and returns a function that ends it.
func (b *tableDriver) begin(r wasabiridge.Request, server wasabiridge.BackendServerID) func(wasabiridge.AttemptEnded) {
	b.next++
	id := b.next
	b.table.Sent(b.now, r, id, wasabiridge.BackendServer{ID: server})
	return func(e wasabiridge.AttemptEnded) {
		e.Attempt = id
		b.table.Observe(b.now, e)
	}
}

var (
	crashed  = wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken, ServerCrashed: true}
	broken   = wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken}
	answered = wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCompleted}
	failed   = wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken, Failed: true}
	notRun   = wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun}
)

// endServers ends servers under a request, one after the other.
func (b *tableDriver) endServers(f wasabiridge.Fingerprint, servers ...wasabiridge.BackendServerID) {
	for _, s := range servers {
		end := b.begin(requestWith(f), s)
		b.now += 100
		end(crashed)
		b.now += 2000
	}
}

func (b *tableDriver) receive(c ...wasabiridge.CrashUpdate) {
	b.table.Observe(b.now, wasabiridge.CrashesReceived{From: "other", Crashes: c})
}

func (b *tableDriver) wait(d wasabiridge.Millis) {
	for end := b.now + d; b.now < end; {
		b.now = min(end, b.now+wasabiridge.Second)
		b.table.Observe(b.now, wasabiridge.Ticked{})
	}
}

// Guards against blocking the wrong requests: a request that ends servers must be
// distinguished from one that ran beside it, whose connection broke, or that reached
// servers that failed for other reasons.
func TestStandingFollowsTheEvidence(t *testing.T) {
	const free, suspect, deferred, blocked = wasabiridge.QuarantineFree, wasabiridge.QuarantineSuspect, wasabiridge.QuarantineDeferred, wasabiridge.QuarantineBlocked
	received := func(epoch uint32, ages ...wasabiridge.Millis) wasabiridge.CrashUpdate {
		c := wasabiridge.CrashUpdate{Fingerprint: 1, Account: "a", Model: "m", Epoch: epoch}
		for i, age := range ages {
			c.Crashes = append(c.Crashes, wasabiridge.ServerCrash{Backend: wasabiridge.BackendServerID(fmt.Sprint("h", i)), RunTime: 50, Age: age, Weights: 1})
		}
		return c
	}
	// others ends n servers under other requests at the present moment.
	others := func(b *tableDriver, n int) {
		for i := range n {
			b.receive(wasabiridge.CrashUpdate{Fingerprint: wasabiridge.Fingerprint(50 + i), Account: "a", Crashes: []wasabiridge.ServerCrash{{Backend: wasabiridge.BackendServerID(fmt.Sprint("o", i)), RunTime: 50}}})
		}
	}
	cases := map[string]struct {
		do   func(b *tableDriver)
		want wasabiridge.QuarantineVerdict
	}{
		"nothing happened": {func(*tableDriver) {}, free},
		"connections broke, servers still listen": {func(b *tableDriver) {
			b.begin(requestWith(1), "s1")(broken)
			b.begin(requestWith(1), "s2")(broken)
			b.begin(requestWith(1), "s3")(broken)
		}, free},
		"one server ended":            {func(b *tableDriver) { b.endServers(1, "s1") }, suspect},
		"three, one after the other":  {func(b *tableDriver) { b.endServers(1, "s1", "s2", "s3") }, blocked},
		"three ends of one server":    {func(b *tableDriver) { b.endServers(1, "s1", "s1", "s1") }, blocked},
		"three under another request": {func(b *tableDriver) { b.endServers(2, "s1", "s2", "s3") }, free},
		"three at one moment": {func(b *tableDriver) {
			one, two, three := b.begin(requestWith(1), "s1"), b.begin(requestWith(1), "s2"), b.begin(requestWith(1), "s3")
			b.now += 20
			one(crashed)
			two(crashed)
			three(crashed)
		}, suspect},
		"three at one moment, and one more": {func(b *tableDriver) {
			one, two, three := b.begin(requestWith(1), "s1"), b.begin(requestWith(1), "s2"), b.begin(requestWith(1), "s3")
			b.now += 20
			one(crashed)
			two(crashed)
			three(crashed)
			b.endServers(1, "s4")
		}, blocked},
		"three of a failed rack, and one at once": {func(b *tableDriver) {
			one, two, three := b.begin(requestWith(1), "s1"), b.begin(requestWith(1), "s2"), b.begin(requestWith(1), "s3")
			b.now += 20
			one(crashed)
			two(crashed)
			three(crashed)
			others(b, 2)
			b.endServers(1, "s4")
		}, suspect},
		"three of a failed rack, and one later": {func(b *tableDriver) {
			one, two, three := b.begin(requestWith(1), "s1"), b.begin(requestWith(1), "s2"), b.begin(requestWith(1), "s3")
			b.now += 20
			one(crashed)
			two(crashed)
			three(crashed)
			others(b, 2)
			b.now += 300
			b.endServers(1, "s4")
		}, blocked},
		"three one after the other, within a failed rack": {func(b *tableDriver) {
			others(b, 2)
			for _, server := range []wasabiridge.BackendServerID{"s1", "s2", "s3"} {
				end := b.begin(requestWith(1), server)
				b.now += 20
				end(crashed)
			}
		}, suspect},
		"three one after the other, without a delay": {func(b *tableDriver) {
			for _, server := range []wasabiridge.BackendServerID{"s1", "s2", "s3"} {
				end := b.begin(requestWith(1), server)
				b.now += 20
				end(crashed)
			}
		}, blocked},
		"two callers at the server that ended": {func(b *tableDriver) {
			one, two := b.begin(requestWith(1), "s1"), b.begin(requestWith(1), "s1")
			one(crashed)
			two(crashed)
			b.endServers(1, "s2")
		}, suspect},
		"an answer in between": {func(b *tableDriver) {
			b.endServers(1, "s1", "s2")
			b.begin(requestWith(1), "s3")(answered)
			b.endServers(1, "s4")
		}, suspect},
		"an answer after the third": {func(b *tableDriver) {
			other := b.begin(requestWith(1), "s4")
			b.endServers(1, "s1", "s2", "s3")
			other(answered)
		}, free},
		"an error reported by a server":             {func(b *tableDriver) { b.endServers(1, "s1"); b.begin(requestWith(1), "s2")(failed) }, free},
		"a refusal does not count as an answer":     {func(b *tableDriver) { b.endServers(1, "s1"); b.begin(requestWith(1), "s2")(notRun) }, suspect},
		"other instances saw two, this one saw one": {func(b *tableDriver) { b.receive(received(0, 300, 100)); b.endServers(1, "s1") }, blocked},
		"the same end reported by two instances": {func(b *tableDriver) {
			b.endServers(1, "h0")
			b.receive(received(0, 2000))
			b.receive(received(0, 2003))
		}, suspect},
		"answered elsewhere": {func(b *tableDriver) { b.endServers(1, "s1", "s2", "s3"); b.receive(received(1)) }, free},
		"late update from before the answer": {func(b *tableDriver) {
			b.endServers(1, "s1")
			b.begin(requestWith(1), "s2")(answered)
			b.receive(received(0, 500, 300, 100))
		}, free},
		"released": {func(b *tableDriver) {
			b.endServers(1, "s1", "s2", "s3")
			b.table.Observe(b.now, wasabiridge.QuarantineReleased{Fingerprint: 1})
		}, free},
		"a minute later":        {func(b *tableDriver) { b.endServers(1, "s1", "s2", "s3"); b.wait(57 * wasabiridge.Second) }, blocked},
		"the block has expired": {func(b *tableDriver) { b.endServers(1, "s1", "s2", "s3"); b.wait(95 * wasabiridge.Second) }, suspect},
		"one trial at a time": {func(b *tableDriver) {
			b.endServers(1, "s1", "s2", "s3")
			b.wait(95 * wasabiridge.Second)
			b.begin(requestWith(1), "s4")
		}, deferred},
		"the next after a trial not run": {func(b *tableDriver) {
			b.endServers(1, "s1", "s2", "s3")
			b.wait(95 * wasabiridge.Second)
			b.begin(requestWith(1), "s4")(notRun)
		}, suspect},
		"a trial ended a server too": {func(b *tableDriver) {
			b.endServers(1, "s1", "s2", "s3")
			b.wait(95 * wasabiridge.Second)
			b.endServers(1, "s4")
			b.wait(95 * wasabiridge.Second)
		}, blocked},
		"two trials ended servers, long block": {func(b *tableDriver) {
			b.endServers(1, "s1", "s2", "s3")
			b.wait(95 * wasabiridge.Second)
			b.endServers(1, "s4")
			b.wait(4 * wasabiridge.Minute)
			b.endServers(1, "s5")
			b.wait(50 * wasabiridge.Minute)
		}, blocked},
		"removed after the retention": {func(b *tableDriver) { b.endServers(1, "s1", "s2", "s3"); b.wait(15 * wasabiridge.Minute) }, free},
		"newer weights": {func(b *tableDriver) {
			b.table.Observe(b.now, wasabiridge.TargetWeightsSet{Model: "m", Weights: 1})
			b.endServers(1, "s1", "s2", "s3")
			b.table.Observe(b.now, wasabiridge.TargetWeightsSet{Model: "m", Weights: 2})
		}, suspect},
		"newer weights of another model": {func(b *tableDriver) {
			b.table.Observe(b.now, wasabiridge.TargetWeightsSet{Model: "m", Weights: 1})
			b.endServers(1, "s1", "s2", "s3")
			b.table.Observe(b.now, wasabiridge.TargetWeightsSet{Model: "n", Weights: 2})
		}, blocked},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		b := newTableDriver()
		cases[name].do(b)
		NewWithT(t).Expect(b.table.Check(b.now, requestWith(1))).To(Equal(cases[name].want), name)
	}
}

// Guards against trials without a bound: however often new weights are announced, a request
// ends at most five servers, three before the block and two in trials.
func TestTrialsAreFew(t *testing.T) {
	g, b := NewWithT(t), newTableDriver()
	ended := 0
	for version := range 20 {
		b.table.Observe(b.now, wasabiridge.TargetWeightsSet{Model: "m", Weights: wasabiridge.WeightsVersion(version + 1)})
		for i := range 5 {
			if b.table.Check(b.now, requestWith(1)) == wasabiridge.QuarantineBlocked {
				break
			}
			b.endServers(1, wasabiridge.BackendServerID(fmt.Sprint(version, "/", i)))
			ended++
		}
	}
	g.Expect(ended).To(Equal(5))
}

// Guards against records that evict more important ones: the records of one account use
// only its own share, and suspects never evict a blocked request.
func TestRecordsAreBounded(t *testing.T) {
	g, b := NewWithT(t), newTableDriver()
	b.endServers(1, "s1", "s2", "s3")
	other := wasabiridge.CrashUpdate{Fingerprint: 7, Account: "b", Crashes: []wasabiridge.ServerCrash{{Backend: "s9"}}}
	b.receive(other)
	for i := range 10000 {
		b.receive(wasabiridge.CrashUpdate{Fingerprint: wasabiridge.Fingerprint(100 + i), Account: "a", Crashes: []wasabiridge.ServerCrash{{Backend: "s"}}})
	}
	g.Expect(len(b.table.Entries(b.now))).To(BeNumerically("<=", 65))
	g.Expect(b.table.Check(b.now, requestWith(1))).To(Equal(wasabiridge.QuarantineBlocked))
	g.Expect(b.table.IsSuspect(7)).To(BeTrue())
	g.Expect(b.table.IsSuspect(10099)).To(BeTrue(), "the newest is kept")
	for i := range 200 {
		// An account with blocked requests only evicts its oldest record for the newest.
		b.now += 10000
		b.endServers(wasabiridge.Fingerprint(20000+i), "s1", "s2", "s3")
		g.Expect(b.table.Check(b.now, requestWith(wasabiridge.Fingerprint(20000+i)))).To(Equal(wasabiridge.QuarantineBlocked))
	}
	g.Expect(b.table.IsSuspect(7)).To(BeTrue(), "a record of another account")
	b.endServers(1, "s1", "s2", "s3")
	for account := range 10000 {
		b.receive(wasabiridge.CrashUpdate{Fingerprint: wasabiridge.Fingerprint(1e6 + account), Account: wasabiridge.ClientAccountID(fmt.Sprint(account)), Crashes: []wasabiridge.ServerCrash{{Backend: "s"}}})
	}
	g.Expect(len(b.table.Entries(b.now))).To(BeNumerically("<=", 4096))
	g.Expect(b.table.Check(b.now, requestWith(1))).To(Equal(wasabiridge.QuarantineBlocked))
	g.Expect(len(b.table.RepeatedUpdates(b.now).Wide)).To(BeNumerically("<=", 32))
}

// Guards against instances that disagree: those that receive the same updates in another
// order, some of them twice, must end up with the same records.
func TestUpdatesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []wasabiridge.CrashUpdate
		for range rapid.IntRange(1, 12).Draw(t, "news") {
			c := wasabiridge.CrashUpdate{Fingerprint: wasabiridge.Fingerprint(rapid.IntRange(1, 3).Draw(t, "request")), Account: "a", Epoch: uint32(rapid.IntRange(0, 2).Draw(t, "epoch"))}
			for range rapid.IntRange(0, 4).Draw(t, "ends") {
				server := rapid.IntRange(1, 5).Draw(t, "server")
				c.Crashes = append(c.Crashes, wasabiridge.ServerCrash{
					Backend: wasabiridge.BackendServerID(fmt.Sprint("s", server)), Incarnation: 1, RunTime: wasabiridge.Millis(rapid.IntRange(1, 3).Draw(t, "ran")),
					Age: wasabiridge.Millis(100 * server),
				})
			}
			all = append(all, c)
		}
		seen := func(order []wasabiridge.CrashUpdate) map[wasabiridge.Fingerprint]string {
			b := newTableDriver()
			for _, c := range order {
				b.receive(c)
			}
			out := map[wasabiridge.Fingerprint]string{}
			for _, e := range b.table.Entries(b.now) {
				slices.SortFunc(e.Crashes, func(x, y wasabiridge.ServerCrash) int { return int(x.At-y.At)*100 + len(x.Backend) - len(y.Backend) })
				out[e.Fingerprint] = fmt.Sprint(e.Epoch, e.Blocked, e.Crashes)
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
