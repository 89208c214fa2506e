package wasabiconfig_test

import (
	"fmt"
	"sort"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconfig"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestConfig(t *testing.T) {
	wasabitest.Run(t, "config")
}

// text returns a small configuration of one account whose only rule has the given name.
func text(rule string) string {
	return fmt.Sprintf(`{
	// One pool of one service.
	"accounts": [{"id": "liftwell", "key_hashes": [], "pools": ["answers"]}],
	"pools": [{"id": "answers", "backends": [{"id": "a1", "kind": "engine", "zone": "pos", "url": "http://127.0.0.1:9001"}]}],
	"rules": [{"id": %q, "when": {}, "then": {"pool": "answers"}}],
}`, rule)
}

const loss = 0.1

var _ = Describe("The distribution of an accepted configuration", func() {
	cases := map[string]struct {
		instances   int
		seeds       uint64
		writerLives bool
		tableUp     bool
	}{
		"at 9 instances":   {9, 30, true, true},
		"at 370 instances": {370, 1, true, true},
		"at 9 instances when the store fails right after":   {9, 30, true, false},
		"at 370 instances when the store fails right after": {370, 1, true, false},
		"at 9 instances when the writer dies at once":       {9, 30, false, true},
		"at 370 instances when the writer dies at once":     {370, 1, false, true},
	}
	names := make([]string, 0, len(cases))
	for name := range cases {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		It("puts it in force at all instances within 6 s with 10% of messages lost "+name, func() {
			c := cases[name]
			for seed := range c.seeds {
				s := newSimulation(seed, c.instances, loss)
				s.put(text("first"), 0, true)
				s.runUntil(wasabiridge.Minute, s.converged)
				Expect(s.converged()).To(BeTrue(), "seed %d: the first version", seed)
				s.runUntil(s.now+3*wasabiridge.Second+s.upTo(2000), never)
				start := s.now
				s.put(text("second"), 0, c.writerLives)
				s.tableUp = c.tableUp
				s.runUntil(start+6*wasabiridge.Second, s.converged)
				Expect(s.converged()).To(BeTrue(), "seed %d: not in force at all instances after 6 s", seed)
				Expect(s.violation).To(BeEmpty())
			}
		})
	}
})

var _ = Describe("Restarts and network partitions", func() {
	// The failure it guards against: a release restarts all instances but one at the
	// same time while the platform's table is down, and callers are refused by every
	// instance without a configuration. The instances must get it from the remaining
	// one.
	It("serves within 2 s after 8 of 9 instances restart with the store down", func() {
		for seed := range uint64(50) {
			s := newSimulation(seed, 9, loss)
			s.put(text("first"), 0, true)
			s.runUntil(wasabiridge.Minute, s.converged)
			s.tableUp = false
			for i := range 8 {
				s.restart(i)
			}
			start := s.now
			s.runUntil(start+2*wasabiridge.Second, s.converged)
			Expect(s.converged()).To(BeTrue(), "seed %d: some instance has no configuration after 2 s", seed)
		}
	})

	// The failure it guards against: a network partition separates two halves for an
	// hour. Operators go on editing at the half that reaches the table. The other half
	// keeps the old version and must not bring it back after the partition.
	It("converges on the highest version after a partition of an hour", func() {
		for seed := range uint64(1) {
			s := newSimulation(seed, 12, loss)
			s.put(text("first"), 0, true)
			s.runUntil(wasabiridge.Minute, s.converged)
			s.split = 6
			start := s.now
			for n := range 3 {
				s.runUntil(start+wasabiridge.Millis(n+1)*10*wasabiridge.Minute, never)
				s.put(text(fmt.Sprintf("edit-%d", n)), 0, true)
			}
			s.runUntil(start+wasabiridge.Hour, never)
			Expect(s.instances[11].inForce.Version).To(BeEquivalentTo(1))
			s.split = 0
			s.runUntil(s.now+6*wasabiridge.Second, s.converged)
			Expect(s.converged()).To(BeTrue(), "seed %d", seed)
			Expect(s.violation).To(BeEmpty())
		}
	})

	It("has the same result for the same seed", func() {
		run := func() string {
			s := newSimulation(5, 20, loss)
			s.put(text("first"), 0, true)
			s.runUntil(20*wasabiridge.Second, never)
			return fmt.Sprint(s.instances[7].adopted, s.instances[19].adopted, s.heartbeats, s.documents, s.reads)
		}
		Expect(run()).To(Equal(run()))
	})

	It("keeps the table reads of 370 instances within the shared budget", func() {
		s := newSimulation(1, 370, loss)
		s.put(text("first"), 0, true)
		s.runUntil(20*wasabiridge.Second, never)
		before := s.reads
		s.runUntil(50*wasabiridge.Second, never)
		Expect(float64(s.reads-before) / 30).To(BeNumerically("~", 8, 3))
	})
})

var _ = Describe("The machine", func() {
	document := func(v wasabiridge.ConfigVersion, body string) wasabiridge.ConfigDocument {
		return wasabiridge.ConfigDocument{Version: v, Text: []byte(body)}
	}

	// The failure it guards against: an instance was paused while its peers went on.
	// Responses that were in flight before the pause arrive after newer ones.
	It("never goes back to an older version, whatever the order of the documents", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := wasabiconfig.NewMachine(1)
			var last wasabiridge.ConfigVersion
			now := wasabiridge.Millis(0)
			for range rapid.IntRange(1, 60).Draw(t, "events") {
				now += wasabiridge.Millis(rapid.IntRange(0, 2000).Draw(t, "span"))
				version := wasabiridge.ConfigVersion(rapid.IntRange(0, 9).Draw(t, "version"))
				body := rapid.SampledFrom([]string{text("a"), "broken"}).Draw(t, "text")
				peer := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "peer")
				events := []wasabiconfig.Event{
					wasabiconfig.VersionReceived{Address: peer, Version: version},
					wasabiconfig.Fetched{Address: peer, Document: document(version, body)},
					wasabiconfig.Fetched{Address: peer, Err: wasabiridge.ErrUnavailable.New("gone")},
					wasabiconfig.TableRead{Document: document(version, body)},
					wasabiconfig.Accepted{Document: document(version, body)},
					wasabiconfig.Ticked{Instances: 9},
				}
				for _, effect := range m.Handle(now, rapid.SampledFrom(events).Draw(t, "event")) {
					adopt, ok := effect.(wasabiconfig.Adopt)
					if !ok {
						continue
					}
					if adopt.Document.Version <= last || adopt.Config.Version != adopt.Document.Version {
						t.Fatalf("version %d came into force after %d", adopt.Document.Version, last)
					}
					last = adopt.Document.Version
				}
			}
		})
	})

	// The failure it guards against: instances are upgraded one after another, and an
	// older release receives a configuration that it cannot parse. It must keep the
	// version in force and must not fetch the same document again and again.
	It("keeps the old version when it cannot parse the new one", func() {
		m := wasabiconfig.NewMachine(1)
		m.Handle(0, wasabiconfig.Accepted{Document: document(1, text("a"))})
		Expect(m.Handle(1, wasabiconfig.VersionReceived{Address: "p", Version: 2})).To(ContainElement(BeAssignableToTypeOf(wasabiconfig.FetchFromPeer{})))
		Expect(m.Handle(2, wasabiconfig.Fetched{Address: "p", Document: document(2, `{"rulez": []}`)})).To(ContainElement(BeAssignableToTypeOf(wasabiconfig.Reject{})))
		Expect(m.Handle(3, wasabiconfig.VersionReceived{Address: "p", Version: 2})).To(BeEmpty())
		Expect(m.Version()).To(BeEquivalentTo(1))
		m.Handle(4, wasabiconfig.VersionReceived{Address: "p", Version: 3})
		m.Handle(5, wasabiconfig.Fetched{Address: "p", Document: document(3, text("b"))})
		Expect(m.Version()).To(BeEquivalentTo(3))
	})
})
