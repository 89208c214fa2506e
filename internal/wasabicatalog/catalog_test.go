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
	random *rand.Rand
	agenda wasabitest.Agenda
	now    wasabiridge.Millis
	nodes  []*node
	// changed[v] is when version v took effect at the platform.
	changed []wasabiridge.Millis
	reads   int
	// down says that the platform answers nobody; cut lists instances that do
	// not reach it.
	down bool
	// plant makes ages wrong as a bug would.
	plant string
	// lossy says that messages between instances get lost.
	lossy bool
	// wrong is the first proof that was newer than the truth.
	wrong string
}

// node is one instance.
type node struct {
	id      wasabiridge.InstanceID
	machine *wasabicatalog.Machine
	dead    bool
	cut     bool
	// frozen holds events back until it is over.
	frozen wasabiridge.Millis
	// offset is what the instance's clock missed of suspensions. It is zero
	// for a clock that counts them.
	offset  wasabiridge.Millis
	version int
	proven  wasabiridge.Millis
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), now: 1e6, changed: []wasabiridge.Millis{0}}
	for i := range n {
		id := wasabiridge.InstanceID(fmt.Sprint("i", i))
		f.nodes = append(f.nodes, &node{id: id, machine: wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: id})})
		f.tick(f.nodes[i])
	}
	return f
}

func (f *fleet) delay(most int) wasabiridge.Millis {
	return wasabiridge.Millis(1 + f.random.IntN(most))
}

// at runs a step after a while.
func (f *fleet) at(after wasabiridge.Millis, run func()) { f.agenda.Add(f.now+after, run) }

// run lets time pass.
func (f *fleet) run(span wasabiridge.Millis) {
	end := f.now + span
	f.agenda.Run(end, func(at wasabiridge.Millis) { f.now = at })
	f.now = end
}

func (f *fleet) tick(n *node) {
	f.at(50, func() {
		f.tell(n, wasabicatalog.Ticked{Peers: f.peers(n)})
		f.tick(n)
	})
}

func (f *fleet) peers(n *node) []wasabicatalog.Peer {
	peers := make([]wasabicatalog.Peer, 0, len(f.nodes))
	for _, other := range f.nodes {
		if other != n && !other.dead {
			peers = append(peers, wasabicatalog.PeerOf(wasabiridge.InstanceEntry{ID: other.id, PeerAddress: string(other.id)}))
		}
	}
	return peers
}

func (f *fleet) clock(n *node) wasabiridge.Millis { return f.now - n.offset }

// tell hands an instance an event, once it runs again.
func (f *fleet) tell(n *node, e wasabicatalog.Event) {
	if n.dead {
		return
	}
	if f.now < n.frozen {
		f.at(n.frozen-f.now, func() { f.tell(n, e) })
		return
	}
	for _, effect := range slices.Clone(n.machine.Handle(f.clock(n), e)) {
		f.carryOut(n, effect)
	}
	f.check(n)
}

func (f *fleet) carryOut(n *node, effect wasabicatalog.Effect) {
	sent := f.clock(n)
	switch e := effect.(type) {
	case wasabicatalog.ReadConfig:
		f.read(n, func(ok bool) wasabicatalog.Event {
			version := len(f.changed) - 1
			event := wasabicatalog.ConfigRead{Sent: sent, Snapshot: wasabiridge.ConfigSnapshot{
				Revision: uint64(version + 1), Config: wasabiridge.Config{Version: wasabiridge.ConfigVersion(version + 1)},
			}}
			if !ok {
				event.Err = errDown
			}
			return event
		})
	case wasabicatalog.ReadBackends:
		f.read(n, func(ok bool) wasabicatalog.Event {
			event := wasabicatalog.BackendsRead{Sent: sent, Snapshot: wasabiridge.BackendSnapshot{Revision: 1}}
			if !ok {
				event.Err = errDown
			}
			return event
		})
	case wasabicatalog.AskPeer:
		f.ask(n, e, sent)
	case wasabicatalog.Changed:
		if e.FromPlatform {
			for _, other := range f.nodes {
				f.at(f.delay(30), func() { f.tell(other, wasabicatalog.NewsHeard{From: n.id}) })
			}
		}
	}
}

// read asks the platform, which looks at its state at some moment on the way.
func (f *fleet) read(n *node, answer func(ok bool) wasabicatalog.Event) {
	f.reads++
	f.at(f.delay(20), func() {
		event := answer(!f.down && !n.cut)
		f.at(f.delay(200), func() { f.tell(n, event) })
	})
}

func (f *fleet) ask(n *node, e wasabicatalog.AskPeer, sent wasabiridge.Millis) {
	lost := f.lossy && f.random.IntN(20) == 0
	f.at(f.delay(10), func() {
		var to *node
		for _, other := range f.nodes {
			if other.id == e.Peer.ID {
				to = other
			}
		}
		event := wasabicatalog.PeerAnswered{Sent: sent, Peer: e.Peer.ID}
		if lost || to.dead || f.now < to.frozen {
			event.Err = errDown
			f.at(400, func() { f.tell(n, event) })
			return
		}
		event.Answer = to.machine.Answer(f.clock(to), e.Query)
		back := f.delay(350)
		f.at(back, func() {
			if f.plant == "age of the arrival" {
				// As if the age had been pushed: counted from its arrival.
				event.Sent = f.clock(n)
			}
			f.tell(n, event)
		})
	})
}

// check holds each proof against the truth: at the time that it names, no newer
// version had taken effect than the one that is known.
func (f *fleet) check(n *node) {
	version, proven, known := n.machine.Config()
	if !known {
		return
	}
	Expect(int(version)).To(BeNumerically(">=", n.version), "a configuration never goes back")
	n.version, n.proven = int(version), proven
	next := int(version)
	if next >= len(f.changed) {
		return
	}
	// By the instance's own age of the proof: this is how it decides.
	age := f.clock(n) - proven
	if f.now-age > f.changed[next] && f.wrong == "" {
		f.wrong = fmt.Sprintf("%s trusts version %d as of %d, but version %d took effect at %d", n.id, version, f.now-age, next+1, f.changed[next])
	}
}

// trouble makes things go wrong for a while, again and again.
func (f *fleet) trouble(suspend bool) {
	f.lossy = true
	f.at(f.delay(1500), func() {
		n := f.nodes[f.random.IntN(len(f.nodes))]
		span := f.delay(5000)
		switch f.random.IntN(5) {
		case 0:
			f.down = true
			f.at(span, func() { f.down = false })
		case 1:
			n.cut = true
			f.at(span, func() { n.cut = false })
		case 2:
			n.frozen = f.now + span
			if suspend {
				// A clock that stands still in a suspension misses it.
				f.at(span, func() { n.offset += span })
			}
		case 3:
			// A restart forgets everything.
			n.machine, n.version = wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: n.id}), 0
		case 4:
			f.changed = append(f.changed, f.now)
		}
		f.trouble(suspend)
	})
}

var _ = Describe("Proofs", func() {
	// Story: a key is taken away; an instance that is cut off, stood still or
	// hears late answers of others goes on believing that it knows the newest
	// configuration, and lets the key in.
	It("are never newer than the truth, over 1000 seeds of delays, freezes, restarts and outages", func() {
		for seed := range uint64(1000) {
			f := newFleet(seed, 4)
			f.trouble(false)
			f.run(10 * wasabiridge.Second)
			Expect(f.wrong).To(BeEmpty(), "seed %d", seed)
		}
	})

	plants := map[string]func(f *fleet){
		"ages counted from the arrival of an answer": func(f *fleet) { f.plant = "age of the arrival"; f.trouble(false) },
		"a clock that stands still in a suspension":  func(f *fleet) { f.trouble(true) },
	}
	for _, name := range slices.Sorted(maps.Keys(plants)) {
		It("would be, with "+name, func() {
			found := ""
			for seed := uint64(0); seed < 300 && found == ""; seed++ {
				f := newFleet(seed, 4)
				plants[name](f)
				f.run(10 * wasabiridge.Second)
				found = f.wrong
			}
			Expect(found).NotTo(BeEmpty())
		})
	}
})

var _ = Describe("Reading", func() {
	sizes := map[string]int{"9 instances": 9, "69 instances": 69, "370 instances": 370}
	for _, name := range slices.Sorted(maps.Keys(sizes)) {
		It("is done by few, and a change is nearly everywhere within 1.2 s: "+name, func() {
			f := newFleet(1, sizes[name])
			f.run(3 * wasabiridge.Second)
			before := f.reads
			f.changed = append(f.changed, f.now)
			f.run(5 * wasabiridge.Second)
			Expect(f.reads-before).To(BeNumerically("<=", 12*5), "reads of all instances in five seconds")
			for _, n := range f.nodes {
				Expect(n.version).To(Equal(2), string(n.id))
			}
			f2 := newFleet(2, sizes[name])
			f2.run(3 * wasabiridge.Second)
			f2.changed = append(f2.changed, f2.now)
			f2.run(1200)
			late := 0
			for _, n := range f2.nodes {
				if n.version != 2 {
					late++
				}
			}
			Expect(late).To(BeNumerically("<=", len(f2.nodes)/100), "instances that do not know it after 1.2 s")
		})
	}

	failures := map[string]func(f *fleet, reader *node){
		"dies":                     func(_ *fleet, n *node) { n.dead = true },
		"is cut from the platform": func(_ *fleet, n *node) { n.cut = true },
		"stands still":             func(f *fleet, n *node) { n.frozen = f.now + wasabiridge.Minute },
	}
	for _, name := range slices.Sorted(maps.Keys(failures)) {
		It("goes on when the first reader "+name, func() {
			f := newFleet(3, 9)
			f.run(3 * wasabiridge.Second)
			ids := slices.Clone(f.nodes)
			slices.SortFunc(ids, func(a, b *node) int {
				return wasabicatalog.RankOf(wasabiridge.InstanceEntry{ID: a.id}, members(f.nodes)) - wasabicatalog.RankOf(wasabiridge.InstanceEntry{ID: b.id}, members(f.nodes))
			})
			failures[name](f, ids[0])
			f.run(4 * wasabiridge.Second)
			for _, n := range ids[1:] {
				Expect(f.now-n.proven).To(BeNumerically("<", 2500), string(n.id))
			}
		})
	}
})

// Story: readers and the instance that gives orders were chosen by their hashes.
// One with a fifth of a core was chosen and stood still for seconds at a time.
var _ = It("the largest instances have the lowest ranks", func() {
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

func members(nodes []*node) []wasabiridge.Member {
	var out []wasabiridge.Member
	for _, n := range nodes {
		out = append(out, wasabiridge.Member{InstanceEntry: wasabiridge.InstanceEntry{ID: n.id}})
	}
	return out
}

// Story: operators add two thousand rules. Instances behind a slow link ask
// another one for them, and the answer is not there within the time of the
// question, however often they ask.
var _ = It("a configuration of thousands of rules fits an answer over a slow link", func() {
	cfg := wasabiridge.Config{Version: 2}
	for i := range 2000 {
		cfg.Rules = append(cfg.Rules, wasabiridge.Rule{
			ID:   wasabiridge.RuleID(fmt.Sprintf("r-%x", i*7919)),
			When: wasabiridge.Condition{Host: fmt.Sprintf("h%x.example", i*104729), Path: fmt.Sprintf("/p%d/*", i)},
			Then: wasabiridge.Action{Pool: "p", Timeout: 4000, Attempts: 2, Retry: true, FirstByteTarget: 300},
		})
	}
	knows := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "knows"})
	knows.Handle(1000, wasabicatalog.ConfigRead{Sent: 1000, Snapshot: wasabiridge.ConfigSnapshot{Revision: 5, Config: cfg}})
	answer := knows.Answer(1100, wasabiridge.CatalogQuery{})
	Expect(len(answer.Config.Content)).To(BeNumerically("<", 100<<10))

	asks := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "asks"})
	asks.Handle(1200, wasabicatalog.PeerAnswered{Sent: 1150, Peer: "knows", Answer: answer})
	version, proven, known := asks.Config()
	Expect(known).To(BeTrue())
	Expect(version).To(BeEquivalentTo(2))
	Expect(proven).To(BeNumerically("<=", 1050))
	Expect(asks.Answer(1200, wasabiridge.CatalogQuery{}).Config.Digest).To(Equal(answer.Config.Digest))

	answer.Config.Content = answer.Config.Content[:100]
	broken := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "broken"})
	broken.Handle(1200, wasabicatalog.PeerAnswered{Sent: 1150, Peer: "knows", Answer: answer})
	_, _, known = broken.Config()
	Expect(known).To(BeFalse(), "content that is cut was taken")
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

	It("loses an entry that vanishes at once", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		Expect(read(m, 1000, 1, entry("a", false), entry("b", false))).To(Equal([]string{"a", "b"}))
		Expect(read(m, 1600, 2, entry("a", false))).To(Equal([]string{"a"}))
	})

	// Story: the platform is away for five seconds and all entries lapse. The
	// replicas are well. An instance that took them for gone would refuse every
	// request until they have registered again.
	It("keeps what lapsed in an outage for two seconds after it, but nothing that was leaving", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		read(m, 1000, 1, entry("a", false), entry("b", false), entry("c", true))
		fail(m, 2000)
		fail(m, 4000)
		Expect(read(m, 7000, 2)).To(Equal([]string{"a", "b"}))
		Expect(read(m, 8000, 3, entry("a", false))).To(Equal([]string{"a", "b"}))
		Expect(read(m, 9100, 4, entry("a", false))).To(Equal([]string{"a"}))
	})

	// Story: an instance stands still for eight seconds. Meanwhile a replica says
	// that it leaves, finishes its requests and is taken off the list. When the
	// instance goes on, its last read fails and the next one succeeds. If it took
	// the replica for lapsed, it would tell the others so, and all of them would
	// send requests to a replica that has left.
	It("loses what vanished while the instance itself stood still", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		read(m, 1000, 1, entry("a", false), entry("b", false))
		fail(m, 9000)
		Expect(read(m, 9400, 2, entry("a", false))).To(Equal([]string{"a"}))
	})

	It("ignores a read that is behind", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		read(m, 1000, 5, entry("a", false))
		Expect(read(m, 1200, 4, entry("b", false))).To(Equal([]string{"a"}))
	})
})

var _ = Describe("Versions of weights", func() {
	snapshot := func(v int) wasabiridge.ConfigSnapshot {
		return wasabiridge.ConfigSnapshot{
			Revision: uint64(v), Config: wasabiridge.Config{Version: 1}, Weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{"m": wasabiridge.WeightsVersion(v)},
		}
	}

	// Story: an instance restarts twelve seconds after new weights were named.
	// If it took them for new, it would send requests to replicas on the old
	// ones for another twelve seconds.
	It("keep the time at which they were named across a restart of one instance", func() {
		old := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "old"})
		old.Handle(1000, wasabicatalog.ConfigRead{Sent: 1000, Snapshot: snapshot(1)})
		old.Handle(2000, wasabicatalog.ConfigRead{Sent: 2000, Snapshot: snapshot(2)})
		fresh := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "fresh"})
		fresh.Handle(9000, wasabicatalog.ConfigRead{Sent: 9000, Snapshot: snapshot(2)})
		Expect(fresh.Namings()[0].Witnessed).To(BeFalse())
		fresh.Handle(9100, wasabicatalog.PeerAnswered{Sent: 9050, Answer: old.Answer(9070, wasabiridge.CatalogQuery{})})
		for _, n := range fresh.Namings() {
			if n.Weights == 2 {
				Expect(n).To(Equal(wasabicatalog.Named{Model: "m", Weights: 2, At: 980, Witnessed: true}))
			}
		}
	})

	// Story: an instance starts when version 2 has been named eleven seconds ago
	// and version 3 a moment ago, and reads the configuration itself. Another one
	// tells it of version 2. Nothing else changes for seconds, and meanwhile it
	// sends requests to replicas that still serve version 1.
	It("count at once when another instance tells of them", func() {
		old := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "old"})
		for v, at := range []wasabiridge.Millis{1000, 2000} {
			old.Handle(at, wasabicatalog.ConfigRead{Sent: at, Snapshot: snapshot(v + 1)})
		}
		fresh := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "fresh"})
		fresh.Handle(13100, wasabicatalog.ConfigRead{Sent: 13100, Snapshot: snapshot(3)})
		answer := old.Answer(13200, wasabiridge.CatalogQuery{})
		effects := fresh.Handle(13200, wasabicatalog.PeerAnswered{Sent: 13200, Peer: "old", Answer: answer})
		Expect(effects).To(ContainElement(wasabicatalog.Changed{}))
		Expect(fresh.Namings()).To(ContainElement(wasabicatalog.Named{Model: "m", Weights: 2, At: 1000, Witnessed: true}))
	})

	// Story: all instances lose power four seconds after new weights were named, and
	// nobody knows any more since when. With every further reading the version was
	// taken to be named just now, by an instance that had heard of it at once; a
	// replica answered on weights that were replaced eleven seconds before.
	It("stay of unknown age when they are read again", func() {
		fresh := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "fresh"})
		fresh.Handle(9000, wasabicatalog.ConfigRead{Sent: 9000, Snapshot: snapshot(2)})
		for now := wasabiridge.Millis(9600); now < 14000; now += 600 {
			fresh.Handle(now, wasabicatalog.ConfigRead{Sent: now, Snapshot: snapshot(2)})
		}
		Expect(fresh.Namings()).To(Equal([]wasabicatalog.Named{{Model: "m", Weights: 2, At: 9000}}))
	})

	// Story: the reading that brings a version comes up to a second after it was
	// named. Counted from then, older weights answered a second too long.
	It("count from the last reading that did not have them, or from so long ago as readings may be apart", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		m.Handle(1000, wasabicatalog.ConfigRead{Sent: 1000, Snapshot: snapshot(1)})
		m.Handle(1700, wasabicatalog.ConfigRead{Sent: 1690, Snapshot: snapshot(2)})
		m.Handle(9700, wasabicatalog.ConfigRead{Sent: 9690, Snapshot: snapshot(3)})
		Expect(m.Namings()[1].At).To(BeEquivalentTo(1000))
		Expect(m.Namings()[2].At).To(BeNumerically("~", 9700-2600, 1))
	})

	// Story: the instance that starts has the lowest rank. It reads everything
	// itself, so it never asked another one, and never heard of version 2.
	It("are asked for after the start, also by an instance that reads everything itself", func() {
		fresh := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "fresh", Capacity: 2})
		fresh.Handle(13100, wasabicatalog.ConfigRead{Sent: 13100, Snapshot: snapshot(3)})
		fresh.Handle(13100, wasabicatalog.BackendsRead{Sent: 13100})
		tick := wasabicatalog.Ticked{Peers: []wasabicatalog.Peer{{ID: "old", Address: "old", Weight: 1}}}
		asks := func(at wasabiridge.Millis) bool {
			return slices.ContainsFunc(fresh.Handle(at, tick), func(e wasabicatalog.Effect) bool {
				_, ok := e.(wasabicatalog.AskPeer)
				return ok
			})
		}
		Expect(asks(13400)).To(BeTrue())
		fresh.Handle(13450, wasabicatalog.PeerAnswered{Sent: 13400, Peer: "old", Answer: wasabiridge.CatalogAnswer{
			Config: wasabiridge.CatalogPart{Age: -1}, Backends: wasabiridge.CatalogPart{Age: -1},
		}})
		Expect(asks(13700)).To(BeFalse())
	})
})
