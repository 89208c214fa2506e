package wasabicell_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicell"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestCell(t *testing.T) { wasabitest.Run(t, "cell") }

// servers returns n servers, spread evenly over some zones.
func servers(n, zones int) []*wasabiridge.BackendEntry {
	var out []*wasabiridge.BackendEntry
	for i := range n {
		out = append(out, &wasabiridge.BackendEntry{Server: wasabiridge.BackendServer{
			ID: wasabiridge.BackendServerID(fmt.Sprintf("s%05d", i)), Zone: wasabiridge.AvailabilityZone(fmt.Sprint("z", i%zones)), Software: "v1",
		}})
	}
	return out
}

// common returns how many servers two cells share.
func common(a, b []*wasabiridge.BackendEntry) int {
	n := 0
	for _, s := range a {
		if slices.Contains(b, s) {
			n++
		}
	}
	return n
}

func zonesOf(list []*wasabiridge.BackendEntry) map[wasabiridge.AvailabilityZone]int {
	out := map[wasabiridge.AvailabilityZone]int{}
	for _, s := range list {
		out[s.Server.Zone]++
	}
	return out
}

var _ = Describe("The servers that an instance uses", func() {
	It("are all of a small pool", func() {
		all := servers(wasabicell.MinServers, 3)
		cell := wasabicell.Select("z0", wasabicell.MinServers, all)
		Expect(cell).To(HaveLen(len(all)))
		for i, s := range cell {
			Expect(s).To(BeIdenticalTo(all[i]))
		}
	})

	// Guards against a state, connections and decisions that grow with the fleet.
	It("are as many in a pool of 20,000 as in one of 1,000, all of the own zone", func() {
		for _, n := range []int{1000, 9530, 20000} {
			cell := wasabicell.Select("z1", wasabicell.MinServers, servers(n, 6))
			Expect(cell).To(HaveLen(wasabicell.MinServers))
			Expect(zonesOf(cell)).To(Equal(map[wasabiridge.AvailabilityZone]int{"z1": wasabicell.MinServers}))
		}
	})

	It("are the same at all instances of a zone, whatever the order of the list", func() {
		all := servers(2000, 6)
		want := wasabicell.Select("z1", wasabicell.MinServers, all)
		shuffled := slices.Clone(all)
		rand.New(rand.NewPCG(1, 0)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		Expect(wasabicell.Select("z1", wasabicell.MinServers, shuffled)).To(Equal(want))
	})

	// Guards against prompts that are read again everywhere because one server went.
	It("stay when others come and go", func() {
		all := servers(3000, 6)
		before := wasabicell.Select("z1", wasabicell.MinServers, all)
		without := slices.DeleteFunc(slices.Clone(all), func(s *wasabiridge.BackendEntry) bool { return s == before[0] })
		Expect(common(before, wasabicell.Select("z1", wasabicell.MinServers, without))).To(Equal(wasabicell.MinServers - 1))
		added := append(slices.Clone(all), servers(3150, 6)[3000:]...)
		Expect(common(before, wasabicell.Select("z1", wasabicell.MinServers, added))).To(BeNumerically(">", wasabicell.MinServers*8/10))
	})

	// Guards against a zone that has lost its servers and sends everything to the same servers
	// as the zone beside it.
	It("are spread over the other zones when the own zone has none", func() {
		all := slices.DeleteFunc(servers(6000, 6), func(s *wasabiridge.BackendEntry) bool { return s.Server.Zone == "z1" })
		cell := wasabicell.Select("z1", wasabicell.MinServers, all)
		Expect(zonesOf(cell)).To(HaveLen(5))
		for zone, count := range zonesOf(cell) {
			Expect(count).To(BeNumerically(">", 8), string(zone))
			Expect(common(cell, wasabicell.Select(zone, wasabicell.MinServers, all))).To(BeNumerically("<", 16))
		}
	})

	// Guards against a zone whose servers have failed and are still listed: its instances would
	// use more and more of them, and none of the other zones.
	It("include servers of other zones once they are more", func() {
		zones := zonesOf(wasabicell.Select("z1", 2*wasabicell.MinServers, servers(9000, 6)))
		Expect(zones["z1"]).To(Equal(wasabicell.MinServers * 3 / 2))
		Expect(zones).To(HaveLen(6))
	})

	It("are the rest of the own zone and others where the own zone has few", func() {
		cell := wasabicell.Select("z1", wasabicell.MinServers, servers(468, 6))
		Expect(cell).To(HaveLen(wasabicell.MinServers))
		Expect(zonesOf(cell)["z1"]).To(Equal(78))
	})

	// Guards against streams of a rare version that find no server to go on at.
	It("include servers of every software version", func() {
		all := servers(5000, 5)
		for i := range 40 {
			all[i*97].Server.Software = "v2"
		}
		all[3].Server.Software = "v3"
		count := map[wasabiridge.SoftwareVersion]int{}
		for _, s := range wasabicell.Select("z1", wasabicell.MinServers, all) {
			count[s.Server.Software]++
		}
		Expect(count["v2"]).To(BeNumerically(">=", 16))
		Expect(count["v3"]).To(Equal(1))
		Expect(slices.Max(slices.Collect(maps.Values(count)))).To(BeNumerically("<=", wasabicell.MinServers))
	})
})

var _ = Describe("The number of servers that an instance uses", func() {
	It("doubles at once when requests find no room, up to its limit", func() {
		size := wasabicell.NewSize()
		for i := range 20 {
			size = size.Observe(wasabiridge.Millis(1000+300*i), wasabicell.Use{Refused: 1})
		}
		Expect(size.Servers()).To(Equal(wasabicell.MaxServers))
	})

	It("doubles when most of the servers have failed", func() {
		size := wasabicell.NewSize().Observe(1000, wasabicell.Use{Unusable: 0.6})
		Expect(size.Servers()).To(Equal(2 * wasabicell.MinServers))
	})

	It("does not grow again before the servers that came last take requests", func() {
		size := wasabicell.NewSize().Observe(1000, wasabicell.Use{Load: 0.9}).Observe(1050, wasabicell.Use{Load: 0.9})
		Expect(size.Servers()).To(Equal(2 * wasabicell.MinServers))
	})

	It("falls back only after the servers were idle for long", func() {
		size := wasabicell.NewSize().Observe(1000, wasabicell.Use{Load: 0.9})
		size = size.Observe(2000, wasabicell.Use{Load: 0.05})
		Expect(size.Observe(20000, wasabicell.Use{Load: 0.05}).Servers()).To(Equal(2 * wasabicell.MinServers))
		Expect(size.Observe(20000, wasabicell.Use{Load: 0.3}).Observe(40000, wasabicell.Use{Load: 0.05}).Servers()).To(Equal(2 * wasabicell.MinServers))
		Expect(size.Observe(40000, wasabicell.Use{Load: 0.05}).Servers()).To(Equal(wasabicell.MinServers))
	})
})
