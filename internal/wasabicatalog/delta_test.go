package wasabicatalog_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
)

var _ = Describe("Content for an instance that has an earlier version", func() {
	config := func(m *wasabicatalog.Machine, at wasabiridge.Millis, v int) {
		cfg := wasabiridge.Config{Version: wasabiridge.ConfigVersion(v)}
		for i := range 500 {
			cfg.Accounts = append(cfg.Accounts, wasabiridge.ClientAccount{ID: wasabiridge.ClientAccountID(fmt.Sprintf("a-%x", i*7919)), KeyHashes: []string{fmt.Sprintf("%x", i*v*104729)}})
		}
		m.Handle(at, wasabicatalog.ConfigRead{Sent: at, Snapshot: wasabiridge.ConfigSnapshot{Revision: uint64(v), Config: cfg}})
	}
	query := func(from, to *wasabicatalog.Machine, at wasabiridge.Millis) wasabiridge.CatalogResponse {
		return to.Answer(at, wasabiridge.CatalogQuery{ConfigDigest: from.Answer(at, wasabiridge.CatalogQuery{}).Config.Digest})
	}
	version := func(m *wasabicatalog.Machine) int {
		v, _, _ := m.Config()
		return int(v)
	}
	machine := func() *wasabicatalog.Machine {
		return wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
	}

	It("is a delta of the changes and decompresses to the same content", func() {
		responder, requester := machine(), machine()
		config(responder, 1000, 1)
		complete := query(requester, responder, 1100)
		requester.Handle(1200, wasabicatalog.PeerResponded{Sent: 1100, Peer: "knows", Answer: complete})
		Expect(version(requester)).To(Equal(1))
		responder.Handle(1300, wasabicatalog.ConfigRead{Sent: 1300, Snapshot: wasabiridge.ConfigSnapshot{Revision: 2, Config: wasabiridge.Config{Version: 2, Accounts: accounts()}}})
		delta := query(requester, responder, 1400)
		Expect(len(delta.Config.Content)).To(BeNumerically("<", len(complete.Config.Content)/20))
		requester.Handle(1500, wasabicatalog.PeerResponded{Sent: 1400, Peer: "knows", Answer: delta})
		Expect(version(requester)).To(Equal(2))
		Expect(query(requester, responder, 1600).Config.Content).To(BeEmpty())
	})

	// The failure it guards against: another response is applied between a query and
	// its response, so that the requester no longer has the base of the delta; or the
	// delta is damaged. Neither may be applied as content.
	It("is not applied without the base that it was made against, nor when it is damaged", func() {
		responder, requester, newcomer := machine(), machine(), machine()
		config(responder, 1000, 1)
		requester.Handle(1200, wasabicatalog.PeerResponded{Sent: 1100, Peer: "knows", Answer: query(requester, responder, 1100)})
		config(responder, 1300, 2)
		delta := query(requester, responder, 1400)
		newcomer.Handle(1500, wasabicatalog.PeerResponded{Sent: 1400, Peer: "knows", Answer: delta})
		Expect(version(newcomer)).To(BeZero())
		for i := range delta.Config.Content {
			broken := delta
			broken.Config.Content = slices.Clone(delta.Config.Content)
			broken.Config.Content[i] ^= 0x20
			requester.Handle(1500, wasabicatalog.PeerResponded{Sent: 1400, Peer: "knows", Answer: broken})
			if version(requester) == 2 {
				// The flipped bit was in the checksum of the frame, which does not
				// affect the content.
				Expect(query(requester, responder, 1600).Config.Content).To(BeEmpty())
				return
			}
		}
	})

	It("is sent complete to an instance whose content is older than all kept bases", func() {
		responder, requester := machine(), machine()
		config(responder, 1000, 1)
		requester.Handle(1200, wasabicatalog.PeerResponded{Sent: 1100, Peer: "knows", Answer: query(requester, responder, 1100)})
		for v := 2; v < 12; v++ {
			config(responder, 1000+100*wasabiridge.Millis(v), v)
		}
		requester.Handle(3100, wasabicatalog.PeerResponded{Sent: 3000, Peer: "knows", Answer: query(requester, responder, 3000)})
		Expect(version(requester)).To(Equal(11))
	})
})

// accounts returns 500 accounts of which only the last one has another key.
func accounts() []wasabiridge.ClientAccount {
	var out []wasabiridge.ClientAccount
	for i := range 500 {
		out = append(out, wasabiridge.ClientAccount{ID: wasabiridge.ClientAccountID(fmt.Sprintf("a-%x", i*7919)), KeyHashes: []string{fmt.Sprintf("%x", i*104729)}})
	}
	out[499].KeyHashes = []string{"new"}
	return out
}
