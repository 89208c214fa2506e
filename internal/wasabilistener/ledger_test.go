package wasabilistener

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// arrive adds connections that entered a stage at successive times.
func arrive(l *ledger, s stage, first wasabiridge.Millis, count int) []*entry {
	var out []*entry
	for i := range count {
		e := &entry{}
		l.add(e, first+wasabiridge.Millis(i))
		l.move(e, s, first+wasabiridge.Millis(i))
		out = append(out, e)
	}
	return out
}

// shedAll closes connections until there is room and returns them.
func shedAll(l *ledger) []*entry {
	var out []*entry
	for l.exceeds() {
		e := l.victim(0)
		if e == nil {
			return out
		}
		l.close(e)
		out = append(out, e)
	}
	return out
}

var _ = Describe("A ledger of connections", func() {
	// Guards against connections with requests that are closed while others send nothing.
	It("closes those first that have sent least, and never one whose request runs", func() {
		l := newLedger(Share{Connections: 100}, false)
		running := arrive(l, stageRunning, 0, 60)
		idle := arrive(l, stageIdle, 100, 20)
		silent := arrive(l, stageSilent, 200, 20)
		Expect(shedAll(l)).To(Equal(append(append([]*entry(nil), silent[:8]...), idle[:4]...)), "12 new callers may be silent")
		arrive(l, stageSilent, 300, 4)
		Expect(shedAll(l)).To(Equal(silent[8:12]))
		l.move(silent[12], stageHead, 400)
		arrive(l, stageSilent, 500, 1)
		Expect(shedAll(l)).To(Equal(idle[4:5]), "new callers have places beside idle ones")
		for _, e := range running {
			Expect(e.node).NotTo(BeNil())
		}
	})

	// Guards against new callers that are all refused, because a crowd holds all places with
	// requests that never run.
	It("closes a connection whose head was refused before any other", func() {
		l := newLedger(Share{Connections: 10}, false)
		arrive(l, stageSilent, 0, 8)
		refused := arrive(l, stageRefused, 100, 1)
		Expect(shedAll(l)).To(Equal(refused))
	})

	It("closes requests that run only if nothing else depends on them", func() {
		for _, disposable := range []bool{false, true} {
			l := newLedger(Share{Connections: 10}, disposable)
			running := arrive(l, stageRunning, 0, 9)
			if disposable {
				Expect(shedAll(l)).To(Equal(running[:1]))
			} else {
				Expect(shedAll(l)).To(BeEmpty())
			}
		}
	})

	// Guards against a process that is killed because heads are counted only once they are
	// complete.
	It("bounds the bytes of heads that are being received", func() {
		l := newLedger(Share{Bytes: 1 << 20}, false)
		for i := range 1000 {
			e := arrive(l, stageHead, wasabiridge.Millis(i), 1)[0]
			l.receive(e, 4<<10, 10)
			for _, closed := range shedAll(l) {
				l.remove(closed)
			}
			Expect(l.bytes).To(BeNumerically("<=", 1<<20))
		}
		Expect(l.open).To(BeNumerically(">", 1))
	})

	// Guards against a caller that is refused in calm, because the operators allow larger heads
	// than the share of the port was made for.
	It("leaves a single head alone, however large it is", func() {
		l := newLedger(Share{Connections: 100, Bytes: 1 << 20}, false)
		arrive(l, stageIdle, 0, 3)
		large := arrive(l, stageHead, 100, 1)[0]
		l.receive(large, 4<<20, 1<<16)
		Expect(shedAll(l)).To(HaveLen(3))
		Expect(large.node).NotTo(BeNil())
		arrive(l, stageHead, 200, 1)
		Expect(shedAll(l)).To(Equal([]*entry{large}))
	})

	// Guards against callers that exceed the memory one after the other: each alone sends a
	// large head, and all their requests run.
	It("closes a single head while requests that run take all bytes", func() {
		l := newLedger(Share{Connections: 100, Bytes: 1 << 20}, false)
		for _, e := range arrive(l, stageRunning, 0, 3) {
			l.receive(e, 100<<10, 10)
		}
		Expect(shedAll(l)).To(BeEmpty())
		Expect(shedAll(l)).To(BeEmpty())
		head := arrive(l, stageHead, 100, 1)
		Expect(shedAll(l)).To(Equal(head))
	})

	It("extends the time of a connection in its stage once", func() {
		l := newLedger(Share{}, false)
		e := arrive(l, stageHead, 0, 2)[0]
		Expect(l.expired(stageHead, 0)).To(Equal([]*entry{e}))
		Expect(l.extend(e, 10)).To(BeTrue())
		Expect(l.expired(stageHead, 0)).To(BeEmpty())
		Expect(l.expired(stageHead, 10)).To(HaveLen(2))
		Expect(l.extend(e, 20)).To(BeFalse())
		l.move(e, stageIdle, 30)
		Expect(l.extend(e, 40)).To(BeTrue(), "another stage has a time of its own")
	})

	// Guards against counts that drift, so that the process refuses all callers after a while.
	It("counts exactly what is open, whatever happens in whichever order", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 0))
			l := newLedger(Share{Connections: 50, Bytes: 3 << 20}, false)
			var open []*entry
			for now := range wasabiridge.Millis(5000) {
				switch pick := random.IntN(4); {
				case pick == 0 && !l.isFull():
					e := &entry{}
					l.add(e, now)
					open = append(open, e)
				case pick == 1 && len(open) > 0:
					i := random.IntN(len(open))
					l.remove(open[i])
					open = append(open[:i], open[i+1:]...)
				case pick == 2 && len(open) > 0:
					l.move(open[random.IntN(len(open))], stage(random.IntN(int(stages))), now)
				case len(open) > 0:
					l.receive(open[random.IntN(len(open))], random.IntN(4<<10), random.IntN(100))
				}
				shedAll(l)
				bytes, closingBytes, closing := int64(0), int64(0), 0
				withDescriptor := 0
				for _, e := range open {
					if !e.descriptorFree {
						withDescriptor++
					}
					if e.node == nil {
						closingBytes += e.counted
						if !e.descriptorFree {
							closing++
						}
						continue
					}
					Expect(e.counted).To(Equal(e.cost()))
					bytes += e.cost()
				}
				Expect([]int64{int64(l.open), int64(l.closing), l.bytes, l.closingBytes}).To(Equal([]int64{int64(withDescriptor), int64(closing), bytes, closingBytes}))
			}
			for _, e := range open {
				l.remove(e)
			}
			Expect([]int64{int64(l.open), int64(l.closing), l.bytes, l.closingBytes}).To(Equal([]int64{0, 0, 0, 0}))
		}
	})
})

var _ = Describe("The shares of listeners", func() {
	machines := map[string]struct {
		descriptors int
		bytes       int64
	}{
		"of the smallest machine":       {3075, 144 << 20 / 5},
		"of a machine with more memory": {10250, 536 << 20 / 5},
		"of very few descriptors":       {100, 1 << 20},
	}
	for name, m := range machines {
		It(name+" leave descriptors for files and for the process's own connections", func() {
			s := Divide(m.descriptors, m.bytes)
			all := s.Caller.Connections + s.Peer.Connections + s.Directory.Connections + 2*s.Auxiliary.Connections
			Expect(all).To(BeNumerically("<", m.descriptors-min(reservedDescriptors, m.descriptors/2)))
			Expect(s.Auxiliary.Connections).To(BeNumerically(">=", min(minConnections, m.descriptors/40)))
		})
	}

	It("are without limits where neither descriptors nor memory are known", func() {
		Expect(Divide(0, 0)).To(Equal(Shares{}))
	})
})
