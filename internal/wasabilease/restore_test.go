package wasabilease_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

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
})
