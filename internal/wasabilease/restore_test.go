package wasabilease_test

import (
	"context"
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// restoredLease is a lease with three contenders, in a table that is restored from copies.
type restoredLease struct {
	random     *rand.Rand
	test       *leaseTest
	contenders []*contender
	paused     []wasabiridge.Millis
	copies     []wasabitable.MemoryCopy
	// holders are the holders of each number, and last is the highest number.
	holders map[wasabiridge.FencingNumber]string
	last    wasabiridge.FencingNumber
	starts  wasabiridge.Incarnation
}

func newRestoredLease(seed uint64) *restoredLease {
	l := &restoredLease{random: rand.New(rand.NewPCG(seed, 0)), holders: map[wasabiridge.FencingNumber]string{}}
	l.test = &leaseTest{clock: wasabiclock.NewVirtual(wasabiridge.Day)}
	noWait := func(context.Context, wasabiridge.Millis) bool { return true }
	l.test.table = wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: l.test.clock, Sleep: noWait})
	for range 3 {
		l.contenders, l.paused = append(l.contenders, nil), append(l.paused, 0)
		l.start(len(l.contenders) - 1)
	}
	return l
}

// start starts an instance anew.
func (l *restoredLease) start(i int) {
	l.starts++
	id := wasabiridge.InstanceID(fmt.Sprint("i", i))
	l.contenders[i] = l.test.contender(id, l.starts, l.test.clock)
	l.contenders[i].machine = wasabilease.NewMachine("orders", id, l.starts, wasabilease.Timing{TTL: 2400, Drift: 600, Renew: 1100, Poll: 600, Reclaim: true})
	l.contenders[i].feed(wasabilease.Contended{Wanted: true})
}

// disturb causes one fault.
func (l *restoredLease) disturb() {
	i := l.random.IntN(len(l.contenders))
	switch l.random.IntN(7) {
	case 0, 1:
		l.test.table.Restore(l.copies[max(0, len(l.copies)-1-l.random.IntN(50))])
	case 2:
		l.start(i)
	case 3:
		l.paused[i] = l.test.clock.Now() + wasabiridge.Millis(l.random.IntN(5000))
	case 4:
		l.contenders[i].feed(wasabilease.Contended{Wanted: false})
	case 5:
		l.contenders[i].feed(wasabilease.Contended{Wanted: true})
	case 6:
		l.test.table.Faults().SetNextOutcomes(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LostAnswer})
	}
}

// play runs a history and returns what is wrong in it. alter changes the rows that are read.
func (l *restoredLease) play(alter func(wasabiridge.Row) wasabiridge.Row) string {
	for step := range 600 {
		l.test.clock.Advance(100)
		l.copies = append(l.copies, l.test.table.Copy())
		if step%8 == 7 && step < 500 {
			l.disturb()
		}
		holding := ""
		for i, c := range l.contenders {
			c.alter = alter
			if l.test.clock.Now() >= l.paused[i] {
				c.feed(wasabilease.Ticked{})
			}
			if !c.holds() {
				continue
			}
			name := fmt.Sprintf("i%d in its grant %d", i, c.grant.Fencing)
			if holding != "" {
				return fmt.Sprintf("step %d: %s and %s", step, holding, name)
			}
			holding = name
			if problem := l.check(c, fmt.Sprintf("i%d/%p", i, c)); problem != "" {
				return fmt.Sprintf("step %d: %s", step, problem)
			}
		}
	}
	for i, c := range l.contenders {
		c.feed(wasabilease.Contended{Wanted: i == 0})
	}
	l.test.a, l.test.b = l.contenders[0], l.contenders[1]
	l.test.run(10*wasabiridge.Second, l.contenders...)
	if !l.contenders[0].holds() {
		return "nobody holds the lease in the end"
	}
	return ""
}

// check checks that a number belongs to one holder and that numbers rise.
func (l *restoredLease) check(c *contender, holder string) string {
	fencing := c.grant.Fencing
	if l.holders[fencing] == holder {
		return ""
	}
	if l.holders[fencing] != "" || fencing < l.last {
		return fmt.Sprintf("%s has number %d of %q, the last one is %d", holder, fencing, l.holders[fencing], l.last)
	}
	l.holders[fencing], l.last = holder, fencing
	return ""
}

var _ = Describe("A lease in a table that was restored from a copy", func() {
	want := func(c *contender, wanted bool) { c.feed(wasabilease.Contended{Wanted: wanted}) }

	// Guards against a number that two holders have: engines accept the orders of both, or
	// reject those of the later holder.
	It("gives each holder a higher number than all before it", func() {
		t := newLeaseTest()
		t.run(wasabiridge.Second, t.a, t.b)
		held := t.table.Copy()
		t.run(wasabiridge.Minute, t.b)
		Expect(t.b.holds()).To(BeTrue())
		last := t.b.grant.Fencing
		want(t.b, false)
		t.table.Restore(held)
		t.run(wasabiridge.Minute, t.a)
		Expect(t.a.holds()).To(BeTrue())
		Expect(t.a.grant.Fencing).To(BeNumerically(">", last))
	})

	// Guards against a second holder beside one whose takeover was lost.
	It("is not taken over before a holder's grant has ended", func() {
		t := newLeaseTest()
		t.run(wasabiridge.Second, t.a)
		want(t.a, false)
		t.run(wasabiridge.Second, t.a)
		held := t.table.Copy()
		t.run(6*wasabiridge.Second, t.b)
		Expect(t.b.holds()).To(BeTrue())
		t.table.Restore(held)
		want(t.a, true)
		t.run(wasabiridge.Minute, t.a)
		Expect(t.a.holds()).To(BeTrue())
	})

	// Guards against the same in drawn histories with several restores, restarts, pauses and
	// lost responses.
	It("has one holder at a time and rising numbers, over 300 seeds", func() {
		for seed := range uint64(300) {
			Expect(newRestoredLease(seed).play(nil)).To(BeEmpty(), "seed %d", seed)
		}
	})

	planted := map[string]func(r wasabiridge.Row) wasabiridge.Row{
		"the epoch is ignored": func(r wasabiridge.Row) wasabiridge.Row { r.Epoch = 0; return r },
	}
	for name, alter := range planted {
		It("is found to be wrong if "+name, func() {
			found := ""
			for seed := uint64(0); seed < 300 && found == ""; seed++ {
				found = newRestoredLease(seed).play(alter)
			}
			Expect(found).NotTo(BeEmpty())
		})
	}
})
