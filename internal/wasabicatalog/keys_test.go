package wasabicatalog_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
)

var _ = Describe("The key policy of a configuration without accounts", func() {
	machine := func() *wasabicatalog.Machine {
		return wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
	}
	read := func(m *wasabicatalog.Machine, at wasabiridge.Millis, revision uint64, cfg wasabiridge.Config) {
		m.Handle(at, wasabicatalog.ConfigRead{Sent: at, Snapshot: wasabiridge.ConfigSnapshot{Revision: revision, Config: cfg}})
	}
	query := func(from, to *wasabicatalog.Machine, at wasabiridge.Millis) {
		answer := to.Answer(at, wasabiridge.CatalogQuery{ConfigDigest: from.Answer(at, wasabiridge.CatalogQuery{}).Config.Digest})
		from.Handle(at, wasabicatalog.PeerResponded{Sent: at, Peer: "p", Answer: answer})
	}
	of := func(version wasabiridge.ConfigVersion, keys wasabiridge.KeyPolicy, accounts ...wasabiridge.ClientAccount) wasabiridge.Config {
		return wasabiridge.Config{Version: version, Keys: keys, Accounts: accounts}
	}
	shop := wasabiridge.ClientAccount{ID: "shop", KeyHashes: []string{"k"}}
	policies := map[string]wasabiridge.KeyPolicy{"none": wasabiridge.KeysNone, "required": wasabiridge.KeysRequired}

	for _, name := range slices.Sorted(maps.Keys(policies)) {
		policy := policies[name]

		// Guards against a process that starts while the store is away and serves all callers,
		// because the configuration it is sent does not say that keys are required.
		It("reaches an instance that has only another one to ask: "+name, func() {
			m, started := machine(), machine()
			read(m, 1000, 1, of(1, policy))
			query(started, m, 1100)
			Expect(started.Snapshot().Config.KeyPolicy()).To(Equal(policy))
		})

		// Guards against a change of the policy that is lost where nothing else changes.
		It("reaches an instance as a change of what it knows: "+name, func() {
			m, other := machine(), machine()
			read(m, 1000, 1, of(1, wasabiridge.KeysUnknown, shop))
			query(other, m, 1100)
			Expect(other.Snapshot().Config.KeyPolicy()).To(Equal(wasabiridge.KeysRequired))
			read(m, 1200, 2, of(2, policy))
			query(other, m, 1300)
			Expect(other.Snapshot().Config.KeyPolicy()).To(Equal(policy))
			Expect(other.Snapshot().Config.Accounts).To(BeEmpty())
		})

		// Guards against an instance of an earlier version that takes the policy away from
		// those that know it.
		It("is kept if an instance that does not know it sends the same configuration: "+name, func() {
			m, earlier := machine(), machine()
			read(m, 1000, 1, of(1, policy))
			read(earlier, 1000, 1, of(1, wasabiridge.KeysUnknown))
			query(m, earlier, 1100)
			Expect(m.Snapshot().Config.KeyPolicy()).To(Equal(policy))
		})

		It("is kept if the store is restored from a copy without it: "+name, func() {
			m := machine()
			revision := func(epoch wasabiridge.StoreEpoch, version uint64) uint64 {
				r, err := wasabiridge.NewRevision(epoch, version)
				Expect(err).NotTo(HaveOccurred())
				return r
			}
			read(m, 1000, revision(1, 20), of(2, policy))
			read(m, 2000, revision(2, 10), of(1, wasabiridge.KeysUnknown, shop))
			Expect(m.Snapshot().Config.Version).To(BeEquivalentTo(2))
			Expect(m.Snapshot().Config.KeyPolicy()).To(Equal(policy))
		})
	}

	// Guards against requests that are refused for long after an upgrade, because other
	// instances know the configuration only without its policy.
	It("is read from the platform if the instance that sent the configuration does not know it", func() {
		m, earlier := machine(), machine()
		read(earlier, 1000, 1, of(1, wasabiridge.KeysUnknown))
		m.Handle(1000, wasabicatalog.Ticked{})
		m.Handle(1010, wasabicatalog.ConfigRead{Sent: 1000, Err: errDown})
		query(m, earlier, 1100)
		Expect(m.Snapshot().Config.KeyPolicy()).To(Equal(wasabiridge.KeysUnknown))
		read(earlier, 1480, 1, of(1, wasabiridge.KeysUnknown))
		query(m, earlier, 1490)
		Expect(m.Handle(1500, wasabicatalog.Ticked{})).To(ContainElement(wasabicatalog.ReadConfig{}))
		read(m, 1510, 1, of(1, wasabiridge.KeysNone))
		Expect(m.Snapshot().Config.KeyPolicy()).To(Equal(wasabiridge.KeysNone))
	})
})
