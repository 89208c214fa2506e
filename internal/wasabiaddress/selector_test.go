package wasabiaddress_test

import (
	"fmt"
	"slices"
	"sort"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestAddress(t *testing.T) { wasabitest.Run(t, "address") }

func entry(id, zone string) wasabiridge.InstanceEntry {
	return wasabiridge.InstanceEntry{
		ID: wasabiridge.InstanceID(id), Zone: wasabiridge.AvailabilityZone(zone), CallerURL: "http://" + id,
	}
}

// fleet returns n instances, spread evenly over the zones a, b and c.
func fleet(n int) []wasabiridge.Member {
	var all []wasabiridge.Member
	for i := range n {
		all = append(all, wasabiridge.Member{InstanceEntry: entry(fmt.Sprintf("i%d", i), string(rune('a'+i%3)))})
	}
	return all
}

func bookOf(self wasabiridge.InstanceEntry, members []wasabiridge.Member) *wasabiaddress.Selector {
	return wasabiaddress.New(wasabiaddress.Options{
		Self: self, Lifetime: 10 * wasabiridge.Second,
		Members: func() []wasabiridge.Member { return members },
	})
}

func zones(a wasabiaddress.Response) []wasabiridge.AvailabilityZone {
	var all []wasabiridge.AvailabilityZone
	for _, address := range a.Addresses {
		all = append(all, address.Zone)
	}
	return all
}

var _ = Describe("address answers", func() {
	It("are the same at all instances, list the caller's zone first and contain more than one zone", func() {
		members := fleet(9)
		for account := range 50 {
			id := wasabiridge.ClientAccountID(fmt.Sprintf("account-%d", account))
			want := bookOf(members[0].InstanceEntry, members).Answer(id, "b")
			Expect(zones(want)[:2]).To(Equal([]wasabiridge.AvailabilityZone{"b", "b"}))
			Expect(zones(want)[2:]).To(ConsistOf(wasabiridge.AvailabilityZone("a"), wasabiridge.AvailabilityZone("c")))
			for _, m := range members[1:] {
				Expect(bookOf(m.InstanceEntry, members).Answer(id, "b").Addresses).To(Equal(want.Addresses))
			}
		}
	})

	It("spread client accounts over the instances of a zone", func() {
		members := fleet(9)
		first := map[string]int{}
		for account := range 3000 {
			id := wasabiridge.ClientAccountID(fmt.Sprintf("account-%d", account))
			first[bookOf(members[0].InstanceEntry, members).Answer(id, "").Addresses[0].URL]++
		}
		Expect(first).To(HaveLen(3))
		for _, n := range first {
			Expect(n).To(BeNumerically("~", 1000, 150))
		}
	})

	It("move few client accounts when an instance leaves", func() {
		members := fleet(12)
		remaining := append([]wasabiridge.Member(nil), members[1:]...)
		moved := 0
		for account := range 1000 {
			id := wasabiridge.ClientAccountID(fmt.Sprintf("account-%d", account))
			before := bookOf(members[1].InstanceEntry, members).Answer(id, "a").Addresses[0].URL
			after := bookOf(members[1].InstanceEntry, remaining).Answer(id, "a").Addresses[0].URL
			if before != after {
				Expect(before).To(Equal("http://i0"))
				moved++
			}
		}
		Expect(moved).To(BeNumerically("~", 250, 60))
	})

	self := entry("self", "a")
	cases := map[string]struct {
		members []wasabiridge.Member
		leaving bool
		want    []string
	}{
		"alone":                          {nil, false, []string{"http://self"}},
		"alone and leaving":              {nil, true, nil},
		"a suspect instance is out":      {[]wasabiridge.Member{{InstanceEntry: entry("x", "b"), Suspect: true}}, false, []string{"http://self"}},
		"a leaving instance is out":      {[]wasabiridge.Member{{InstanceEntry: leavingEntry("x", "b")}}, false, []string{"http://self"}},
		"without a URL it is out":        {[]wasabiridge.Member{{InstanceEntry: wasabiridge.InstanceEntry{ID: "x", Zone: "b"}}}, false, []string{"http://self"}},
		"others when leaving":            {[]wasabiridge.Member{{InstanceEntry: entry("x", "b")}}, true, []string{"http://x"}},
		"a stale entry of itself is out": {[]wasabiridge.Member{{InstanceEntry: entry("self", "a")}}, true, nil},
		"another zone is the fallback":   {[]wasabiridge.Member{{InstanceEntry: entry("x", "b")}}, false, []string{"http://self", "http://x"}},
		"one instance for each other":    {[]wasabiridge.Member{{InstanceEntry: entry("x", "b")}, {InstanceEntry: entry("y", "b")}}, false, nil},
	}
	names := make([]string, 0, len(cases))
	for name := range cases {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c := cases[name]
		It("contain the instances that serve: "+name, func() {
			book := bookOf(self, c.members)
			if c.leaving {
				book.Drain()
			}
			got := book.Answer("liftwell", "")
			if name == "one instance for each other" {
				Expect(got.Addresses).To(HaveLen(2))
				return
			}
			var urls []string
			for _, a := range got.Addresses {
				Expect(a.Weight).To(BeNumerically(">", 0))
				urls = append(urls, a.URL)
			}
			Expect(urls).To(Equal(c.want))
		})
	}
})

func leavingEntry(id, zone string) wasabiridge.InstanceEntry {
	e := entry(id, zone)
	e.Leaving = true
	return e
}

var _ = Describe("The active instances", func() {
	sized := func(sizes ...float64) []wasabiridge.Member {
		members := fleet(len(sizes))
		for i, size := range sizes {
			members[i].Capacity = size
		}
		return members
	}
	ids := func(entries []wasabiridge.InstanceEntry) []string {
		var out []string
		for _, e := range entries {
			out = append(out, string(e.ID))
		}
		return out
	}
	many := make([]float64, 60)
	for i := range many {
		many[i] = 0.2
	}

	It("are all instances when there are few", func() {
		members := sized(0.8, 0.2, 0.2, 0.2, 0.2, 0.2)
		Expect(bookOf(members[0].InstanceEntry, members).Active()).To(HaveLen(6))
	})

	// Guards against late responses from small instances. Most machines have a fifth of a
	// core and a slow link, a few have four times as much, and callers were sent to all of
	// them alike.
	It("are the largest of many, two of each zone, and the same at all instances", func() {
		sizes := append([]float64{0.8, 0.8, 0.8, 0.8, 0.8, 0.8}, many...)
		members := sized(sizes...)
		want := []string{"i0", "i1", "i2", "i3", "i4", "i5"}
		for _, m := range members {
			Expect(ids(bookOf(m.InstanceEntry, members).Active())).To(ConsistOf(want))
		}
	})

	It("are about a sixth of many of equal capacity, and are replaced when they leave", func() {
		members := sized(many...)
		active := bookOf(members[0].InstanceEntry, members).Active()
		Expect(len(active)).To(BeNumerically("~", 12, 2))
		perZone := map[wasabiridge.AvailabilityZone]int{}
		for _, e := range active {
			perZone[e.Zone]++
		}
		Expect(perZone).To(HaveLen(3))
		gone := active[0].ID
		remaining := slices.DeleteFunc(slices.Clone(members), func(m wasabiridge.Member) bool { return m.ID == gone })
		Expect(ids(bookOf(remaining[0].InstanceEntry, remaining).Active())).To(And(HaveLen(len(active)), Not(ContainElement(string(gone)))))
	})
})

var _ = Describe("instances without a path to the backend servers", func() {
	addresses := func(b *wasabiaddress.Selector) []string {
		var out []string
		for _, e := range b.Nearest("a") {
			out = append(out, e.CallerURL)
		}
		return out
	}

	// Guards against callers being sent to instances that cannot reach any server.
	It("are left out, unless there are no others", func() {
		members := fleet(4) // i0 and i3 are in zone a.
		detached := false
		book := wasabiaddress.New(wasabiaddress.Options{
			Self: members[0].InstanceEntry, Members: func() []wasabiridge.Member { return members[1:] }, Detached: func() bool { return detached },
		})
		Expect(addresses(book)).To(ConsistOf("http://i0", "http://i3"))
		members[3].Detached = true
		Expect(addresses(book)).To(ContainElement("http://i0"))
		Expect(addresses(book)).NotTo(ContainElement("http://i3"))
		detached = true
		Expect(addresses(book)).To(ConsistOf("http://i1", "http://i2"))
		members[1].Detached, members[2].Detached = true, true
		Expect(addresses(book)).To(ConsistOf("http://i0", "http://i3"))
	})
})
