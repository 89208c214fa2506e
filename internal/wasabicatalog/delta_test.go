package wasabicatalog_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
)

var _ = Describe("Content for one who has an earlier one", func() {
	config := func(m *wasabicatalog.Machine, at wasabiridge.Millis, v int) {
		cfg := wasabiridge.Config{Version: wasabiridge.ConfigVersion(v)}
		for i := range 500 {
			cfg.Accounts = append(cfg.Accounts, wasabiridge.ClientAccount{ID: wasabiridge.ClientAccountID(fmt.Sprintf("a-%x", i*7919)), KeyHashes: []string{fmt.Sprintf("%x", i*v*104729)}})
		}
		m.Handle(at, wasabicatalog.ConfigRead{Sent: at, Snapshot: wasabiridge.ConfigSnapshot{Revision: uint64(v), Config: cfg}})
	}
	ask := func(from, to *wasabicatalog.Machine, at wasabiridge.Millis) wasabiridge.CatalogAnswer {
		return to.Answer(at, wasabiridge.CatalogQuery{ConfigDigest: from.Answer(at, wasabiridge.CatalogQuery{}).Config.Digest})
	}
	version := func(m *wasabicatalog.Machine) int {
		v, _, _ := m.Config()
		return int(v)
	}
	machine := func() *wasabicatalog.Machine {
		return wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
	}

	It("is only what has changed, and makes the same of it", func() {
		knows, asks := machine(), machine()
		config(knows, 1000, 1)
		whole := ask(asks, knows, 1100)
		asks.Handle(1200, wasabicatalog.PeerAnswered{Sent: 1100, Peer: "knows", Answer: whole})
		Expect(version(asks)).To(Equal(1))
		knows.Handle(1300, wasabicatalog.ConfigRead{Sent: 1300, Snapshot: wasabiridge.ConfigSnapshot{Revision: 2, Config: wasabiridge.Config{Version: 2, Accounts: accounts()}}})
		delta := ask(asks, knows, 1400)
		Expect(len(delta.Config.Content)).To(BeNumerically("<", len(whole.Config.Content)/20))
		asks.Handle(1500, wasabicatalog.PeerAnswered{Sent: 1400, Peer: "knows", Answer: delta})
		Expect(version(asks)).To(Equal(2))
		Expect(ask(asks, knows, 1600).Config.Content).To(BeEmpty())
	})

	// A question and an answer cross with another answer, so that what the asker has
	// is not any more what the delta was made against; or the delta is damaged. It
	// must not be taken for content.
	It("is not taken without the one that it was made against", func() {
		knows, asks, stranger := machine(), machine(), machine()
		config(knows, 1000, 1)
		asks.Handle(1200, wasabicatalog.PeerAnswered{Sent: 1100, Peer: "knows", Answer: ask(asks, knows, 1100)})
		config(knows, 1300, 2)
		delta := ask(asks, knows, 1400)
		stranger.Handle(1500, wasabicatalog.PeerAnswered{Sent: 1400, Peer: "knows", Answer: delta})
		Expect(version(stranger)).To(BeZero())
		for i := range delta.Config.Content {
			broken := delta
			broken.Config.Content = slices.Clone(delta.Config.Content)
			broken.Config.Content[i] ^= 0x20
			asks.Handle(1500, wasabicatalog.PeerAnswered{Sent: 1400, Peer: "knows", Answer: broken})
			if version(asks) == 2 {
				// A checksum of the frame itself does not matter to the content.
				Expect(ask(asks, knows, 1600).Config.Content).To(BeEmpty())
				return
			}
		}
	})

	It("is whole for one whose content is older than those that are kept", func() {
		knows, asks := machine(), machine()
		config(knows, 1000, 1)
		asks.Handle(1200, wasabicatalog.PeerAnswered{Sent: 1100, Peer: "knows", Answer: ask(asks, knows, 1100)})
		for v := 2; v < 12; v++ {
			config(knows, 1000+100*wasabiridge.Millis(v), v)
		}
		asks.Handle(3100, wasabicatalog.PeerAnswered{Sent: 3000, Peer: "knows", Answer: ask(asks, knows, 3000)})
		Expect(version(asks)).To(Equal(11))
	})
})

// accounts returns 500 accounts of which the last one is new.
func accounts() []wasabiridge.ClientAccount {
	var out []wasabiridge.ClientAccount
	for i := range 500 {
		out = append(out, wasabiridge.ClientAccount{ID: wasabiridge.ClientAccountID(fmt.Sprintf("a-%x", i*7919)), KeyHashes: []string{fmt.Sprintf("%x", i*104729)}})
	}
	out[499].KeyHashes = []string{"new"}
	return out
}
