package wasabicatalog_test

import (
	"fmt"
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
)

// storeState is the content of a store.
type storeState struct {
	at      wasabiridge.Millis
	version uint64
	// config is the version of the configuration, and written the version of the store at
	// which it was written.
	config, written uint64
}

// restoredFleet is a fleet whose store loses its last writes again and again. Operators
// write the lost configuration again within rewriteWithin.
type restoredFleet struct {
	*fleet
	store   storeState
	history []storeState
	epoch   wasabiridge.StoreEpoch
	// lost is set from a restore until the operators have written again.
	lost     bool
	restores int
	// busy is the number of writes by others in each tick.
	busy uint64
}

const (
	rewriteWithin = 1800
	copyTick      = 50
)

func newRestoredFleet(seed uint64, instances int) *restoredFleet {
	f := &restoredFleet{fleet: newFleet(seed, instances), epoch: 1, busy: 10}
	f.store = storeState{version: 1000, config: 1, written: 1000}
	f.fleet.snapshot = f.read
	f.lossy = true
	f.write()
	return f
}

// read returns the content of the store.
func (f *restoredFleet) read() wasabiridge.ConfigSnapshot {
	revision := func(version uint64) uint64 {
		r, err := wasabiridge.NewRevision(f.epoch, version)
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	return wasabiridge.ConfigSnapshot{
		Revision: revision(f.store.version), Written: revision(f.store.written),
		Config: wasabiridge.Config{Version: wasabiridge.ConfigVersion(f.store.config), Keys: wasabiridge.KeysNone},
	}
}

// write lets others write to the store, and records its states.
func (f *restoredFleet) write() {
	f.at(copyTick, func() {
		if !f.platformDown {
			f.store.version += f.busy
		}
		f.store.at = f.now
		f.history = append(f.history, f.store)
		f.write()
	})
}

// configure writes the newest configuration.
func (f *restoredFleet) configure() {
	f.store.version++
	f.store.config, f.store.written = uint64(len(f.changed)), f.store.version
	f.lost = false
}

// change writes a new configuration, if the store can be reached.
func (f *restoredFleet) change() {
	if f.platformDown {
		return
	}
	f.changed = append(f.changed, f.now)
	f.configure()
}

// restore makes the store unavailable for a while, and restores it from a copy that is some
// seconds old.
func (f *restoredFleet) restore() {
	if f.platformDown || f.lost || len(f.history) == 0 {
		return
	}
	f.restores++
	f.platformDown = true
	copied := f.history[max(0, len(f.history)-1-f.random.IntN(5000/copyTick))]
	f.at(f.delay(3000), func() {
		f.store, f.epoch, f.platformDown, f.lost = copied, f.epoch+1, false, true
		f.busy = uint64(f.random.IntN(2))
		for _, n := range f.instances {
			if _, _, known := n.machine.Config(); !known {
				// An instance that has read nothing before cannot know what was lost.
				n.unchecked = true
			}
		}
		f.at(f.delay(rewriteWithin), func() {
			if f.store.config != uint64(len(f.changed)) {
				f.configure()
			}
			f.lost = false
			f.busy = 10
		})
	})
}

// injectRestores starts restores, changes of the configuration and faults of instances.
func (f *restoredFleet) injectRestores(until wasabiridge.Millis) {
	f.at(f.delay(900), func() {
		if f.now > until {
			return
		}
		n := f.instances[f.random.IntN(len(f.instances))]
		span := f.delay(3000)
		switch f.random.IntN(8) {
		case 0, 1, 2:
			f.change()
		case 3, 4:
			f.restore()
		case 5:
			n.pausedUntil = f.now + span
		case 6:
			n.partitioned = true
			f.at(span, func() { n.partitioned = false })
		case 7:
			n.machine, n.version = wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: n.id}), 0
			n.incarnation++
			n.unchecked = f.platformDown || f.lost || slices.ContainsFunc(f.instances, func(o *instance) bool { return o.unchecked })
		}
		f.injectRestores(until)
	})
}

// play runs a history and returns what is wrong in it.
func (f *restoredFleet) play() string {
	f.run(2 * wasabiridge.Second)
	f.injectRestores(f.now + 12*wasabiridge.Second)
	f.run(20 * wasabiridge.Second)
	f.change()
	f.run(6 * wasabiridge.Second)
	if f.violation != "" {
		return f.violation
	}
	for _, n := range f.instances {
		if n.version != len(f.changed) || f.now-n.confirmedAt > 4000 {
			return fmt.Sprintf("%s has version %d of %d, confirmed %d ms ago", n.id, n.version, len(f.changed), f.now-n.confirmedAt)
		}
	}
	return ""
}

// alterRevisions changes the revisions in reads of the store and in responses of instances.
func alterRevisions(ofReads, ofPeers func(uint64) uint64) func(wasabicatalog.Event) wasabicatalog.Event {
	return func(e wasabicatalog.Event) wasabicatalog.Event {
		switch e := e.(type) {
		case wasabicatalog.ConfigRead:
			e.Snapshot.Revision, e.Snapshot.Written = ofReads(e.Snapshot.Revision), ofReads(e.Snapshot.Written)
			return e
		case wasabicatalog.BackendsRead:
			e.Snapshot.Revision = ofReads(e.Snapshot.Revision)
			return e
		case wasabicatalog.PeerResponded:
			e.Answer.Config.Revision, e.Answer.Backends.Revision = ofPeers(e.Answer.Config.Revision), ofPeers(e.Answer.Backends.Revision)
			return e
		}
		return e
	}
}

var _ = Describe("Instances whose store is restored from copies", func() {
	// Guards against configurations that go back, are confirmed although a newer one was
	// lost, or are not taken any more.
	It("never go back, confirm nothing that was replaced, and take what is written, over 300 seeds", func() {
		restores := 0
		for seed := range uint64(300) {
			f := newRestoredFleet(seed, 1+int(seed%5))
			Expect(f.play()).To(BeEmpty(), "seed %d", seed)
			restores += f.restores
		}
		Expect(restores).To(BeNumerically(">", 300))
	})

	same := func(r uint64) uint64 { return r }
	planted := map[string]func(f *restoredFleet) func(wasabicatalog.Event) wasabicatalog.Event{
		"the epoch is ignored": func(*restoredFleet) func(wasabicatalog.Event) wasabicatalog.Event {
			return alterRevisions(wasabiridge.VersionOf, wasabiridge.VersionOf)
		},
		"the epoch is ignored in responses of other instances": func(*restoredFleet) func(wasabicatalog.Event) wasabicatalog.Event {
			return alterRevisions(same, wasabiridge.VersionOf)
		},
		"every read counts as written after the restore": func(*restoredFleet) func(wasabicatalog.Event) wasabicatalog.Event {
			return func(e wasabicatalog.Event) wasabicatalog.Event {
				if read, ok := e.(wasabicatalog.ConfigRead); ok {
					read.Snapshot.Written = read.Snapshot.Revision + 1
					return read
				}
				return e
			}
		},
	}
	for _, name := range slices.Sorted(maps.Keys(planted)) {
		It("are found to be wrong if "+name, func() {
			found := ""
			for seed := uint64(0); seed < 300 && found == ""; seed++ {
				f := newRestoredFleet(seed, 1+int(seed%5))
				f.alter = planted[name](f)
				found = f.play()
			}
			Expect(found).NotTo(BeEmpty())
		})
	}

	// Guards against all instances that read over and over, because no read confirms what
	// they know.
	It("do not read more often", func() {
		f := newRestoredFleet(1, 60)
		f.lossy = false
		f.run(4 * wasabiridge.Second)
		f.change()
		f.run(2 * wasabiridge.Second)
		f.restore()
		f.run(4 * wasabiridge.Second)
		before := f.reads
		f.run(2 * wasabiridge.Second)
		Expect(f.reads - before).To(BeNumerically("<=", 2*60))
	})

	// Guards against a server that gets requests again after it has announced that it
	// leaves, and against one that is taken for gone although it serves.
	It("take the servers that live, and no others", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		now := wasabiridge.Millis(1e6)
		entry := func(id string, leaving bool) wasabiridge.BackendEntry {
			return wasabiridge.BackendEntry{Server: wasabiridge.BackendServer{ID: wasabiridge.BackendServerID(id)}, Leaving: leaving}
		}
		read := func(epoch wasabiridge.StoreEpoch, version uint64, entries ...wasabiridge.BackendEntry) []string {
			revision, err := wasabiridge.NewRevision(epoch, version)
			Expect(err).NotTo(HaveOccurred())
			m.Handle(now, wasabicatalog.BackendsRead{Sent: now, Snapshot: wasabiridge.BackendSnapshot{Revision: revision, Entries: entries}})
			var serving []string
			for _, e := range m.Backends().Entries {
				if !e.Leaving {
					serving = append(serving, string(e.Server.ID))
				}
			}
			return serving
		}
		Expect(read(1, 10, entry("gone", false), entry("leaving", false))).To(Equal([]string{"gone", "leaving"}))
		now += 1000
		Expect(read(1, 20, entry("leaving", true), entry("new", false))).To(Equal([]string{"new"}))
		now += 1000
		By("keeping what the copy lacks, and leaving out what had left")
		Expect(read(2, 10, entry("gone", false), entry("leaving", false))).To(Equal([]string{"new"}))
		now += 1500
		Expect(read(2, 11, entry("gone", false), entry("leaving", false), entry("new", false))).To(Equal([]string{"new"}))
		now += 9000
		By("taking a server that is still registered, but none that announced that it leaves")
		Expect(read(2, 12, entry("gone", false), entry("leaving", false), entry("new", false))).To(Equal([]string{"gone", "new"}))
	})
})
