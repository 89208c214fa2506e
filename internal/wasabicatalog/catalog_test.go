package wasabicatalog_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestCatalog(t *testing.T) { wasabitest.Run(t, "catalog") }

var errDown = errors.New("down")

// fleet simulates instances, their messages and the platform in virtual time.
type fleet struct {
	random    *rand.Rand
	agenda    wasabitest.EventQueue
	now       wasabiridge.Millis
	instances []*instance
	// changed[v] is when version v took effect at the platform.
	changed []wasabiridge.Millis
	reads   int
	// platformDown reports that the platform fails all reads.
	platformDown bool
	// fault names an injected bug in the computation of ages.
	fault string
	// lossy reports that messages between instances can be lost.
	lossy bool
	// snapshot returns what the platform stores. Nil means the last version of changed.
	snapshot func() wasabiridge.ConfigSnapshot
	// alter changes an event before it is delivered. Nil means that none is changed.
	alter func(e wasabicatalog.Event) wasabicatalog.Event
	// violation describes the first confirmation time that was later than the truth
	// allows.
	violation string
}

// instance is one simulated instance.
type instance struct {
	id          wasabiridge.InstanceID
	machine     *wasabicatalog.Machine
	dead        bool
	partitioned bool
	// pausedUntil is the end of a pause of the process; events are delivered after it.
	pausedUntil wasabiridge.Millis
	// offset is how far the instance's clock is behind because it stopped during
	// suspensions. It is zero for a clock that counts them.
	offset      wasabiridge.Millis
	version     int
	confirmedAt wasabiridge.Millis
	// unchecked is set while the confirmation times are not compared with the truth, until
	// the instance has the newest version.
	unchecked bool
	// incarnation counts the restarts. Responses to earlier incarnations are lost.
	incarnation int
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), now: 1e6, changed: []wasabiridge.Millis{0}}
	for i := range n {
		id := wasabiridge.InstanceID(fmt.Sprint("i", i))
		f.instances = append(f.instances, &instance{id: id, machine: wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: id})})
		f.tick(f.instances[i])
	}
	return f
}

func (f *fleet) delay(limit int) wasabiridge.Millis {
	return wasabiridge.Millis(1 + f.random.IntN(limit))
}

// at runs a step after a delay.
func (f *fleet) at(after wasabiridge.Millis, run func()) { f.agenda.Schedule(f.now+after, run) }

// run advances the time.
func (f *fleet) run(span wasabiridge.Millis) {
	end := f.now + span
	f.agenda.Run(end, func(at wasabiridge.Millis) { f.now = at })
	f.now = end
}

func (f *fleet) tick(n *instance) {
	f.at(50, func() {
		f.deliver(n, wasabicatalog.Ticked{Peers: f.peers(n)})
		f.tick(n)
	})
}

func (f *fleet) peers(n *instance) []wasabicatalog.Peer {
	peers := make([]wasabicatalog.Peer, 0, len(f.instances))
	for _, other := range f.instances {
		if other != n && !other.dead {
			peers = append(peers, wasabicatalog.PeerOf(wasabiridge.InstanceEntry{ID: other.id, PeerAddress: string(other.id)}))
		}
	}
	return peers
}

func (f *fleet) clock(n *instance) wasabiridge.Millis { return f.now - n.offset }

// deliver passes an event to an instance, after the end of a pause.
func (f *fleet) deliver(n *instance, e wasabicatalog.Event) {
	if n.dead {
		return
	}
	if f.now < n.pausedUntil {
		incarnation := n.incarnation
		f.at(n.pausedUntil-f.now, func() { f.deliverTo(n, incarnation, e) })
		return
	}
	if f.alter != nil {
		e = f.alter(e)
	}
	for _, effect := range slices.Clone(n.machine.Handle(f.clock(n), e)) {
		f.carryOut(n, effect)
	}
	f.check(n)
}

// deliverTo passes a response to the incarnation of an instance that asked for it.
func (f *fleet) deliverTo(n *instance, incarnation int, e wasabicatalog.Event) {
	if n.incarnation == incarnation {
		f.deliver(n, e)
	}
}

func (f *fleet) carryOut(n *instance, effect wasabicatalog.Effect) {
	sent := f.clock(n)
	switch e := effect.(type) {
	case wasabicatalog.ReadConfig:
		f.read(n, func(ok bool) wasabicatalog.Event {
			version := len(f.changed) - 1
			event := wasabicatalog.ConfigRead{Sent: sent, Snapshot: wasabiridge.ConfigSnapshot{
				Revision: uint64(version + 1), Config: wasabiridge.Config{Version: wasabiridge.ConfigVersion(version + 1), Keys: wasabiridge.KeysNone},
			}}
			if f.snapshot != nil {
				event.Snapshot = f.snapshot()
			}
			if !ok {
				event.Err = errDown
			}
			return event
		})
	case wasabicatalog.ReadBackends:
		f.read(n, func(ok bool) wasabicatalog.Event {
			event := wasabicatalog.BackendsRead{Sent: sent, Snapshot: wasabiridge.BackendSnapshot{Revision: 1}}
			if f.snapshot != nil {
				event.Snapshot.Revision = f.snapshot().Revision
			}
			if !ok {
				event.Err = errDown
			}
			return event
		})
	case wasabicatalog.QueryPeer:
		f.query(n, e, sent)
	case wasabicatalog.Changed:
		if e.FromPlatform {
			for _, other := range f.instances {
				f.at(f.delay(30), func() { f.deliver(other, wasabicatalog.UpdateReceived{From: n.id}) })
			}
		}
	}
}

// read sends a read to the platform, which reads its state at some moment in between.
func (f *fleet) read(n *instance, answer func(ok bool) wasabicatalog.Event) {
	f.reads++
	incarnation := n.incarnation
	f.at(f.delay(20), func() {
		event := answer(!f.platformDown && !n.partitioned)
		f.at(f.delay(200), func() { f.deliverTo(n, incarnation, event) })
	})
}

func (f *fleet) query(n *instance, e wasabicatalog.QueryPeer, sent wasabiridge.Millis) {
	lost := f.lossy && f.random.IntN(20) == 0
	incarnation := n.incarnation
	f.at(f.delay(10), func() {
		var to *instance
		for _, other := range f.instances {
			if other.id == e.Peer.ID {
				to = other
			}
		}
		event := wasabicatalog.PeerResponded{Sent: sent, Peer: e.Peer.ID}
		if lost || to.dead || f.now < to.pausedUntil {
			event.Err = errDown
			f.at(400, func() { f.deliverTo(n, incarnation, event) })
			return
		}
		event.Answer = to.machine.Answer(f.clock(to), e.Query)
		back := f.delay(350)
		f.at(back, func() {
			if f.fault == "age counted from arrival" {
				// Counts the age from the arrival of the response, as if the age had
				// been pushed.
				event.Sent = f.clock(n)
			}
			f.deliverTo(n, incarnation, event)
		})
	})
}

// check compares the confirmation time of an instance with the truth: at that time no
// version newer than the known one may have been in effect.
func (f *fleet) check(n *instance) {
	version, confirmedAt, known := n.machine.Config()
	if !known {
		return
	}
	Expect(int(version)).To(BeNumerically(">=", n.version), "a configuration never goes back")
	n.version, n.confirmedAt = int(version), confirmedAt
	next := int(version)
	if next >= len(f.changed) {
		n.unchecked = false
		return
	}
	if n.unchecked {
		return
	}
	// Uses the age as computed by the instance, because it decides by that age.
	age := f.clock(n) - confirmedAt
	if f.now-age > f.changed[next] && f.violation == "" {
		f.violation = fmt.Sprintf("%s has version %d confirmed at %d, but version %d took effect at %d", n.id, version, f.now-age, next+1, f.changed[next])
	}
}

// injectFaults starts faults of limited duration again and again.
func (f *fleet) injectFaults(suspend bool) {
	f.lossy = true
	f.at(f.delay(1500), func() {
		n := f.instances[f.random.IntN(len(f.instances))]
		span := f.delay(5000)
		switch f.random.IntN(5) {
		case 0:
			f.platformDown = true
			f.at(span, func() { f.platformDown = false })
		case 1:
			n.partitioned = true
			f.at(span, func() { n.partitioned = false })
		case 2:
			n.pausedUntil = f.now + span
			if suspend {
				// A clock that stops during a suspension misses the time.
				f.at(span, func() { n.offset += span })
			}
		case 3:
			// A restarted instance has no content.
			n.machine, n.version = wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: n.id}), 0
		case 4:
			f.changed = append(f.changed, f.now)
		}
		f.injectFaults(suspend)
	})
}

var _ = Describe("Confirmation times", func() {
	// The failure it guards against: a key is revoked; an instance that is partitioned,
	// was paused or receives late responses still assumes that its configuration is the
	// newest, and accepts the key.
	It("are never later than the truth, over 1000 seeds of delays, pauses, restarts and outages", func() {
		for seed := range uint64(1000) {
			f := newFleet(seed, 4)
			f.injectFaults(false)
			f.run(10 * wasabiridge.Second)
			Expect(f.violation).To(BeEmpty(), "seed %d", seed)
		}
	})

	faults := map[string]func(f *fleet){
		"ages counted from the arrival of a response": func(f *fleet) { f.fault = "age counted from arrival"; f.injectFaults(false) },
		"a clock that stops during a suspension":      func(f *fleet) { f.injectFaults(true) },
	}
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		It("are found to be too late with "+name, func() {
			found := ""
			for seed := uint64(0); seed < 300 && found == ""; seed++ {
				f := newFleet(seed, 4)
				faults[name](f)
				f.run(10 * wasabiridge.Second)
				found = f.violation
			}
			Expect(found).NotTo(BeEmpty())
		})
	}
})

var _ = Describe("Polling of the platform", func() {
	sizes := map[string]int{"9 instances": 9, "69 instances": 69, "370 instances": 370}
	for _, name := range slices.Sorted(maps.Keys(sizes)) {
		It("is done by few instances, and a change reaches nearly all within 1.2 s: "+name, func() {
			f := newFleet(1, sizes[name])
			f.run(3 * wasabiridge.Second)
			before := f.reads
			f.changed = append(f.changed, f.now)
			f.run(5 * wasabiridge.Second)
			Expect(f.reads-before).To(BeNumerically("<=", 12*5), "platform reads of all instances in five seconds")
			for _, n := range f.instances {
				Expect(n.version).To(Equal(2), string(n.id))
			}
			f2 := newFleet(2, sizes[name])
			f2.run(3 * wasabiridge.Second)
			f2.changed = append(f2.changed, f2.now)
			f2.run(1200)
			late := 0
			for _, n := range f2.instances {
				if n.version != 2 {
					late++
				}
			}
			Expect(late).To(BeNumerically("<=", len(f2.instances)/100), "instances without the change after 1.2 s")
		})
	}

	failures := map[string]func(f *fleet, poller *instance){
		"dies":                             func(_ *fleet, n *instance) { n.dead = true },
		"is partitioned from the platform": func(_ *fleet, n *instance) { n.partitioned = true },
		"is paused":                        func(f *fleet, n *instance) { n.pausedUntil = f.now + wasabiridge.Minute },
	}
	for _, name := range slices.Sorted(maps.Keys(failures)) {
		It("continues when the first poller "+name, func() {
			f := newFleet(3, 9)
			f.run(3 * wasabiridge.Second)
			ids := slices.Clone(f.instances)
			slices.SortFunc(ids, func(a, b *instance) int {
				return wasabicatalog.RankOf(wasabiridge.InstanceEntry{ID: a.id}, members(f.instances)) - wasabicatalog.RankOf(wasabiridge.InstanceEntry{ID: b.id}, members(f.instances))
			})
			failures[name](f, ids[0])
			f.run(4 * wasabiridge.Second)
			for _, n := range ids[1:] {
				Expect(f.now-n.confirmedAt).To(BeNumerically("<", 2500), string(n.id))
			}
		})
	}
})

// The failure it guards against: pollers and the instance that sends orders to engines
// were chosen by hash only. An instance with a fifth of a CPU core was chosen and was
// paused for seconds at a time.
var _ = It("gives the lowest ranks to the largest instances", func() {
	var all []wasabiridge.Member
	for i := range 20 {
		all = append(all, wasabiridge.Member{InstanceEntry: wasabiridge.InstanceEntry{
			ID: wasabiridge.InstanceID(fmt.Sprint("i", i)), Capacity: 0.2 + 0.6*float64(i%4/3),
		}})
	}
	for _, m := range all {
		rank := wasabicatalog.RankOf(m.InstanceEntry, all)
		Expect(rank < 5).To(Equal(m.Capacity > 0.5), "%s has rank %d", m.ID, rank)
	}
})

func members(instances []*instance) []wasabiridge.Member {
	var out []wasabiridge.Member
	for _, n := range instances {
		out = append(out, wasabiridge.Member{InstanceEntry: wasabiridge.InstanceEntry{ID: n.id}})
	}
	return out
}

// The failure it guards against: operators add two thousand rules. Instances behind a
// slow link query another instance for the configuration, and no response is complete
// within the time-out of the query, however often they retry.
var _ = It("compresses a configuration of thousands of rules to fit a response over a slow link", func() {
	cfg := wasabiridge.Config{Version: 2}
	for i := range 2000 {
		cfg.Rules = append(cfg.Rules, wasabiridge.Rule{
			ID:   wasabiridge.RuleID(fmt.Sprintf("r-%x", i*7919)),
			When: wasabiridge.Condition{Host: fmt.Sprintf("h%x.example", i*104729), Path: fmt.Sprintf("/p%d/*", i)},
			Then: wasabiridge.Action{Pool: "p", Timeout: 4000, Attempts: 2, Retry: true, FirstByteTarget: 300},
		})
	}
	responder := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "knows"})
	responder.Handle(1000, wasabicatalog.ConfigRead{Sent: 1000, Snapshot: wasabiridge.ConfigSnapshot{Revision: 5, Config: cfg}})
	answer := responder.Answer(1100, wasabiridge.CatalogQuery{})
	Expect(len(answer.Config.Content)).To(BeNumerically("<", 100<<10))

	requester := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "asks"})
	requester.Handle(1200, wasabicatalog.PeerResponded{Sent: 1150, Peer: "knows", Answer: answer})
	version, confirmedAt, known := requester.Config()
	Expect(known).To(BeTrue())
	Expect(version).To(BeEquivalentTo(2))
	Expect(confirmedAt).To(BeNumerically("<=", 1050))
	Expect(requester.Answer(1200, wasabiridge.CatalogQuery{}).Config.Digest).To(Equal(answer.Config.Digest))

	answer.Config.Content = answer.Config.Content[:100]
	broken := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "broken"})
	broken.Handle(1200, wasabicatalog.PeerResponded{Sent: 1150, Peer: "knows", Answer: answer})
	_, _, known = broken.Config()
	Expect(known).To(BeFalse(), "truncated content was applied")
})

var _ = Describe("The list of backend servers", func() {
	entry := func(id string, leaving bool) wasabiridge.BackendEntry {
		return wasabiridge.BackendEntry{Server: wasabiridge.BackendServer{ID: wasabiridge.BackendServerID(id)}, Leaving: leaving}
	}
	read := func(m *wasabicatalog.Machine, at wasabiridge.Millis, revision uint64, entries ...wasabiridge.BackendEntry) []string {
		m.Handle(at, wasabicatalog.BackendsRead{Sent: at, Snapshot: wasabiridge.BackendSnapshot{Revision: revision, Entries: entries}})
		var ids []string
		for _, e := range m.Backends().Entries {
			ids = append(ids, string(e.Server.ID))
		}
		return ids
	}

	fail := func(m *wasabicatalog.Machine, at wasabiridge.Millis) {
		m.Handle(at, wasabicatalog.BackendsRead{Sent: at, Err: wasabiridge.ErrUnavailable.New("no answer")})
	}

	It("drops a vanished entry at once", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		Expect(read(m, 1000, 1, entry("a", false), entry("b", false))).To(Equal([]string{"a", "b"}))
		Expect(read(m, 1600, 2, entry("a", false))).To(Equal([]string{"a"}))
	})

	// The failure it guards against: the platform is down for five seconds and all
	// entries expire, although the replicas are healthy. An instance that assumed them
	// gone would refuse every request until they have registered again.
	It("keeps entries that expired in an outage for two seconds after it, but not those that were leaving", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		read(m, 1000, 1, entry("a", false), entry("b", false), entry("c", true))
		fail(m, 2000)
		fail(m, 4000)
		Expect(read(m, 7000, 2)).To(Equal([]string{"a", "b"}))
		Expect(read(m, 8000, 3, entry("a", false))).To(Equal([]string{"a", "b"}))
		Expect(read(m, 9100, 4, entry("a", false))).To(Equal([]string{"a"}))
	})

	// The failure it guards against: an instance is paused for eight seconds. Meanwhile
	// a replica announces that it is leaving, finishes its requests and is removed from
	// the list. After the pause the first read of the instance fails and the next one
	// succeeds. If the instance assumed that the entry had merely expired, it would
	// pass this on, and all instances would send requests to a replica that has left.
	It("drops an entry that vanished while the instance itself was paused", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		read(m, 1000, 1, entry("a", false), entry("b", false))
		fail(m, 9000)
		Expect(read(m, 9400, 2, entry("a", false))).To(Equal([]string{"a"}))
	})

	It("ignores a read with an older revision", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		read(m, 1000, 5, entry("a", false))
		Expect(read(m, 1200, 4, entry("b", false))).To(Equal([]string{"a"}))
	})
})

var _ = Describe("Wanted versions of weights", func() {
	snapshot := func(v int) wasabiridge.ConfigSnapshot {
		return wasabiridge.ConfigSnapshot{
			Revision: uint64(v), Config: wasabiridge.Config{Version: 1}, Weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{"m": wasabiridge.WeightsVersion(v)},
		}
	}

	// The failure it guards against: an instance restarts twelve seconds after new
	// weights became wanted. If it assumed that they are new, it would send requests to
	// replicas on the old weights for another twelve seconds.
	It("keep the time at which they were set across a restart of one instance", func() {
		old := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "old"})
		old.Handle(1000, wasabicatalog.ConfigRead{Sent: 1000, Snapshot: snapshot(1)})
		old.Handle(2000, wasabicatalog.ConfigRead{Sent: 2000, Snapshot: snapshot(2)})
		fresh := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "fresh"})
		fresh.Handle(9000, wasabicatalog.ConfigRead{Sent: 9000, Snapshot: snapshot(2)})
		Expect(fresh.TargetVersions()[0].Observed).To(BeFalse())
		fresh.Handle(9100, wasabicatalog.PeerResponded{Sent: 9050, Answer: old.Answer(9070, wasabiridge.CatalogQuery{})})
		for _, n := range fresh.TargetVersions() {
			if n.Weights == 2 {
				Expect(n).To(Equal(wasabicatalog.TargetVersion{Model: "m", Weights: 2, At: 980, Observed: true}))
			}
		}
	})

	// Guards against a row that goes back to an older version without a trace in the log.
	It("are reported when the store names an older one, once until it names another", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		older := func(now wasabiridge.Millis, revision, version int) []wasabicatalog.Effect {
			s := snapshot(version)
			s.Revision = uint64(revision)
			return slices.DeleteFunc(slices.Clone(m.Handle(now, wasabicatalog.ConfigRead{Sent: now, Snapshot: s})), func(e wasabicatalog.Effect) bool {
				_, is := e.(wasabicatalog.TargetOlder)
				return !is
			})
		}
		Expect(older(1000, 1, 5)).To(BeEmpty())
		Expect(older(2000, 2, 4)).To(Equal([]wasabicatalog.Effect{wasabicatalog.TargetOlder{Model: "m", Read: 4, Known: 5, Revision: 2}}))
		Expect(older(3000, 3, 4)).To(BeEmpty())
		Expect(older(4000, 4, 3)).To(HaveLen(1))
		Expect(older(5000, 5, 5)).To(BeEmpty())
		Expect(older(6000, 6, 4)).To(HaveLen(1))
		Expect(m.Snapshot().Weights).To(HaveKeyWithValue(wasabiridge.ModelID("m"), wasabiridge.WeightsVersion(5)))
		effects := m.Handle(7000, wasabicatalog.ConfigRead{Sent: 7000, Snapshot: snapshot(7)})
		Expect(effects).To(ContainElement(HaveField("Target.Weights", wasabiridge.WeightsVersion(7))))
	})

	// The failure it guards against: an instance starts when version 2 has been wanted
	// for eleven seconds and version 3 has just been set, and reads the configuration
	// itself. Another instance sends it the time of version 2. Without a further change
	// for seconds, it would go on sending requests to replicas that still serve version
	// 1.
	It("take effect at once when another instance sends them", func() {
		old := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "old"})
		for v, at := range []wasabiridge.Millis{1000, 2000} {
			old.Handle(at, wasabicatalog.ConfigRead{Sent: at, Snapshot: snapshot(v + 1)})
		}
		fresh := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "fresh"})
		fresh.Handle(13100, wasabicatalog.ConfigRead{Sent: 13100, Snapshot: snapshot(3)})
		answer := old.Answer(13200, wasabiridge.CatalogQuery{})
		effects := fresh.Handle(13200, wasabicatalog.PeerResponded{Sent: 13200, Peer: "old", Answer: answer})
		Expect(effects).To(ContainElement(wasabicatalog.Changed{}))
		Expect(fresh.TargetVersions()).To(ContainElement(wasabicatalog.TargetVersion{Model: "m", Weights: 2, At: 1000, Observed: true}))
	})

	// The failure it guards against: all instances lose power four seconds after new
	// weights were set, and none knows any longer when that was. With every further
	// read the version was assumed to have been set just now and seen at once; a
	// replica answered on weights that were replaced eleven seconds before.
	It("keep an unknown age when they are read again", func() {
		fresh := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "fresh"})
		fresh.Handle(9000, wasabicatalog.ConfigRead{Sent: 9000, Snapshot: snapshot(2)})
		for now := wasabiridge.Millis(9600); now < 14000; now += 600 {
			fresh.Handle(now, wasabicatalog.ConfigRead{Sent: now, Snapshot: snapshot(2)})
		}
		Expect(fresh.TargetVersions()).To(Equal([]wasabicatalog.TargetVersion{{Model: "m", Weights: 2, At: 9000}}))
	})

	// The failure it guards against: a version is first read up to a second after it
	// was set. If it counted from that read, older weights would answer a second too
	// long.
	It("count from the last read without them, but at most from the largest assumed delay between reads", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		m.Handle(1000, wasabicatalog.ConfigRead{Sent: 1000, Snapshot: snapshot(1)})
		m.Handle(1700, wasabicatalog.ConfigRead{Sent: 1690, Snapshot: snapshot(2)})
		m.Handle(9700, wasabicatalog.ConfigRead{Sent: 9690, Snapshot: snapshot(3)})
		Expect(m.TargetVersions()[1].At).To(BeEquivalentTo(1000))
		Expect(m.TargetVersions()[2].At).To(BeNumerically("~", 9700-2600, 1))
	})

	// The failure it guards against: the instance that starts has the lowest rank. It
	// reads everything from the platform itself, so it never queried another instance
	// and never learned of version 2.
	It("are queried after the start, also by an instance that reads everything itself", func() {
		fresh := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "fresh", Capacity: 2})
		fresh.Handle(13100, wasabicatalog.ConfigRead{Sent: 13100, Snapshot: snapshot(3)})
		fresh.Handle(13100, wasabicatalog.BackendsRead{Sent: 13100})
		tick := wasabicatalog.Ticked{Peers: []wasabicatalog.Peer{{ID: "old", Address: "old", Weight: 1}}}
		isQuerying := func(at wasabiridge.Millis) bool {
			return slices.ContainsFunc(fresh.Handle(at, tick), func(e wasabicatalog.Effect) bool {
				_, ok := e.(wasabicatalog.QueryPeer)
				return ok
			})
		}
		Expect(isQuerying(13400)).To(BeTrue())
		fresh.Handle(13450, wasabicatalog.PeerResponded{Sent: 13400, Peer: "old", Answer: wasabiridge.CatalogResponse{
			Config: wasabiridge.CatalogPart{Age: -1}, Backends: wasabiridge.CatalogPart{Age: -1},
		}})
		Expect(isQuerying(13700)).To(BeFalse())
	})
})
