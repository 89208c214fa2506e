package wasabiquarantine_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// promptDriver drives a single table with requests of which no two are alike.
type promptDriver struct {
	*tableDriver
	sent uint64
}

// prompt returns a new request with the given parts, and a last part of its own.
func (d *promptDriver) prompt(parts ...wasabiridge.BlockHash) wasabiridge.Request {
	d.sent++
	own := append(append([]wasabiridge.BlockHash{}, parts...), wasabiridge.BlockHash(1e9+d.sent))
	return requestWith(wasabiridge.Fingerprint(1e6 + d.sent)).WithChain(wasabiridge.Chain{Root: wasabiridge.CacheRoot{Model: "m"}, Blocks: own})
}

// crash ends servers under new requests with the given parts, one after the other.
func (d *promptDriver) crash(times int, parts ...wasabiridge.BlockHash) {
	for range times {
		end := d.begin(d.prompt(parts...), wasabiridge.BackendServerID(rune('a'+d.sent)))
		d.now += 100
		end(crashed)
		d.now += 500
	}
}

// answer has a new request with the given parts answered.
func (d *promptDriver) answer(parts ...wasabiridge.BlockHash) {
	end := d.begin(d.prompt(parts...), "z")
	d.firstToken()
	d.now += 50
	end(answered)
}

// firstToken reports the first token of the attempt that was sent last.
func (d *promptDriver) firstToken() {
	d.table.Observe(d.now, wasabiridge.AttemptFirstToken{Attempt: d.next})
}

// Guards against blocking the wrong part of prompts: one that is popular, that was only
// inside a server beside the fatal one, or that belongs to another model or account.
func TestVerdictFollowsTheEvidenceOnParts(t *testing.T) {
	const free, suspect, blocked = wasabiridge.QuarantineFree, wasabiridge.QuarantineSuspect, wasabiridge.QuarantineBlocked
	part := func(parts ...wasabiridge.BlockHash) func(d *promptDriver) wasabiridge.Request {
		return func(d *promptDriver) wasabiridge.Request { return d.prompt(parts...) }
	}
	ofAccount := func(r wasabiridge.Request, account wasabiridge.ClientAccountID) wasabiridge.Request {
		r.Account, r.Chain.Root.Account = account, account
		return r
	}
	cases := map[string]struct {
		do   func(d *promptDriver)
		ask  func(d *promptDriver) wasabiridge.Request
		want wasabiridge.QuarantineVerdict
	}{
		"three moments":    {func(d *promptDriver) { d.crash(3, 7) }, part(7), free},
		"four moments":     {func(d *promptDriver) { d.crash(4, 7) }, part(7), blocked},
		"in another place": {func(d *promptDriver) { d.crash(4, 7) }, part(1, 2, 7, 3), blocked},
		"as the last part": {func(d *promptDriver) { d.crash(4, 7) }, func(d *promptDriver) wasabiridge.Request {
			return requestWith(5).WithChain(wasabiridge.Chain{Root: wasabiridge.CacheRoot{Model: "m"}, Blocks: []wasabiridge.BlockHash{1, 7}})
		}, free},
		"another part":       {func(d *promptDriver) { d.crash(4, 7) }, part(8), free},
		"answered between":   {func(d *promptDriver) { d.crash(3, 7); d.answer(7); d.crash(3, 7) }, part(7), free},
		"answered after all": {func(d *promptDriver) { d.crash(4, 7); d.answer(7) }, part(7), free},
		"four at one moment": {func(d *promptDriver) {
			var ends []func(wasabiridge.AttemptEnded)
			for _, s := range []wasabiridge.BackendServerID{"a", "b", "c", "d"} {
				ends = append(ends, d.begin(d.prompt(7), s))
			}
			d.now += 20
			for _, end := range ends {
				end(crashed)
			}
		}, part(7), free},
		"after the first token": {func(d *promptDriver) {
			for range 5 {
				end := d.begin(d.prompt(7), wasabiridge.BackendServerID(rune('a'+d.sent)))
				d.firstToken()
				d.now += 100
				end(crashed)
				d.now += 500
			}
		}, part(7), free},
		"an error of the server clears nothing": {func(d *promptDriver) {
			d.crash(3, 7)
			d.begin(d.prompt(7), "z")(failed)
			d.crash(1, 7)
		}, part(7), blocked},
		"beside a popular part": {func(d *promptDriver) {
			for range 4 {
				d.crash(1, 1, 7)
				d.answer(1, 8)
			}
		}, part(1, 8), free},
		"the same part of another model": {func(d *promptDriver) { d.crash(4, 7) }, func(d *promptDriver) wasabiridge.Request {
			r := d.prompt(7)
			r.Model, r.Chain.Root.Model = "n", "n"
			return r
		}, free},
		"of an isolated account": {func(d *promptDriver) { d.crash(4, 7) }, func(d *promptDriver) wasabiridge.Request { return ofAccount(d.prompt(7), "b") }, free},
		"of another account that shares its cache": {func(d *promptDriver) { d.crash(4, 7) }, func(d *promptDriver) wasabiridge.Request {
			r := d.prompt(7)
			r.Account = "b"
			return r
		}, blocked},
		"one of two that were always together":       {func(d *promptDriver) { d.crash(4, 6, 7) }, part(6), free},
		"both of two that were always together":      {func(d *promptDriver) { d.crash(4, 6, 7) }, part(6, 7), blocked},
		"the one of them that ends a server alone":   {func(d *promptDriver) { d.crash(4, 6, 7); d.crash(1, 7) }, part(7), blocked},
		"the other one, which then explains nothing": {func(d *promptDriver) { d.crash(4, 6, 7); d.crash(1, 7) }, part(6), free},
		"a rare part that ran beside it four times":  {func(d *promptDriver) { d.crash(1, 7); d.crash(4, 7, 9) }, part(9), free},
		"after the block, at the only instance":      {func(d *promptDriver) { d.crash(4, 7); d.wait(6 * wasabiridge.Second) }, part(7), suspect},
		"while another request is tried":             {func(d *promptDriver) { d.crash(4, 7); d.wait(6 * wasabiridge.Second); d.begin(d.prompt(7), "z") }, part(7), blocked},
		"after a trial ended a server": {func(d *promptDriver) {
			d.crash(4, 7)
			d.wait(6 * wasabiridge.Second)
			d.crash(1, 7)
			d.wait(30 * wasabiridge.Second)
		}, part(7), blocked},
		"after two trials, though weights are newer": {func(d *promptDriver) {
			d.crash(4, 7)
			d.wait(6 * wasabiridge.Second)
			d.crash(1, 7)
			d.wait(100 * wasabiridge.Second)
			d.crash(1, 7)
			d.table.Observe(d.now, wasabiridge.TargetWeightsSet{Model: "m", Weights: 9})
			d.wait(wasabiridge.Minute)
		}, part(7), blocked},
		"at an instance that is not to try it": {func(d *promptDriver) {
			d.table.SetMembers(nil, manyInstances())
			d.crash(4, 7)
			d.wait(6 * wasabiridge.Second)
		}, part(7), blocked},
		"forgotten, at an instance that is not to try it": {func(d *promptDriver) {
			d.table.SetMembers(nil, manyInstances())
			d.crash(4, 7)
			d.wait(11 * wasabiridge.Minute)
		}, part(7), free},
		"known from another instance": {func(d *promptDriver) {
			other := &promptDriver{tableDriver: newTableDriver()}
			other.crash(4, 7)
			d.receive(other.table.TakeUpdates(other.now).Wide...)
		}, part(7), blocked},
		"released by an operator": {func(d *promptDriver) { d.crash(4, 7); d.release() }, part(7), free},
		"a stream that was inside three of the servers": {func(d *promptDriver) {
			stream := requestWith(5)
			for range 4 {
				server := wasabiridge.BackendServerID(rune('a' + d.sent))
				beside, fatal := d.begin(stream, server), d.begin(d.prompt(7), server)
				d.now += 100
				beside(crashed)
				fatal(crashed)
				d.now += 500
			}
		}, func(*promptDriver) wasabiridge.Request { return requestWith(5) }, free},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		d := &promptDriver{tableDriver: newTableDriver()}
		cases[name].do(d)
		NewWithT(t).Expect(d.table.Check(d.now, cases[name].ask(d))).To(Equal(cases[name].want), name)
	}
}

// release releases all blocked parts.
func (d *promptDriver) release() {
	for _, e := range d.table.Entries(d.now) {
		if e.Part && e.Blocked {
			d.table.Observe(d.now, wasabiridge.QuarantineReleased{Fingerprint: e.Fingerprint})
		}
	}
}

// manyInstances returns so many instances that another one ranks first.
func manyInstances() []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	for i := range 50 {
		out = append(out, wasabiridge.InstanceID(rune('A'+i)))
	}
	return out
}

// Guards against a blocked part that is forgotten, or taken for a request, when all
// instances are replaced.
func TestBlockedPartsAreStored(t *testing.T) {
	g := NewWithT(t)
	d := &promptDriver{tableDriver: newTableDriver()}
	d.crash(4, 7)
	var stored []wasabiridge.CrashUpdate
	for _, record := range d.table.TakeUpdates(d.now).Wide {
		value, err := wasabiquarantine.EncodeRow(9e6, record)
		g.Expect(err).NotTo(HaveOccurred())
		read, err := wasabiquarantine.DecodeRow(9e6, wasabiridge.Row{Key: wasabiquarantine.RowKey(record.Fingerprint), Value: value})
		g.Expect(err).NotTo(HaveOccurred())
		stored = append(stored, read)
	}
	for name, known := range map[string][]wasabiridge.CrashUpdate{"stored": stored, "repeated": d.table.RepeatedUpdates(d.now).Wide} {
		next := &promptDriver{tableDriver: newTableDriver()}
		next.receive(known...)
		g.Expect(next.table.Check(next.now, next.prompt(7))).To(Equal(wasabiridge.QuarantineBlocked), name)
	}
}
