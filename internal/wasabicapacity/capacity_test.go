package wasabicapacity_test

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabicapacity"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestCapacity(t *testing.T) { wasabitest.Run(t, "capacity") }

func line(values ...float64) []wasabicapacity.Point {
	points := []wasabicapacity.Point{{Size: 10}, {Size: 20}, {Size: 30}}
	for i, v := range values {
		points[i].Value = v
	}
	return points
}

var _ = Describe("Fit", func() {
	fits := map[string]struct {
		measure wasabicapacity.Measure
		value   float64
	}{
		"a slope":                          {wasabicapacity.Measure{Resource: wasabicapacity.CPU, Driver: "instances", Points: line(10, 20, 30)}, 370},
		"a base":                           {wasabicapacity.Measure{Resource: wasabicapacity.Memory, Driver: "instances", Points: line(5, 5, 5)}, 5},
		"a falling line as zero":           {wasabicapacity.Measure{Resource: wasabicapacity.CPU, Driver: "instances", Points: line(30, 20, 10)}, 0},
		"the part of one instance":         {wasabicapacity.Measure{Resource: wasabicapacity.CPU, Driver: "requests_per_second", Points: line(10, 20, 30)}, 9300.0 / 370},
		"the total of the store":           {wasabicapacity.Measure{Resource: wasabicapacity.StoreWrites, Driver: "requests_per_second", Points: line(10, 20, 30)}, 9300},
		"a bound below the target size":    {wasabicapacity.Measure{Resource: wasabicapacity.CPU, Driver: "replicas", Bound: 40, Points: line(10, 20, 30)}, 40},
		"the highest value beyond a bound": {wasabicapacity.Measure{Resource: wasabicapacity.CPU, Driver: "replicas", Bound: 20, LevelsOff: true, Points: line(0, 29, 30)}, 30},
		"a bound above the target size":    {wasabicapacity.Measure{Resource: wasabicapacity.CPU, Driver: "replicas", Bound: 9999, Points: line(10, 20, 30)}, 1600},
		"a share of the target size":       {wasabicapacity.Measure{Resource: wasabicapacity.CPU, Driver: "replicas", Share: 0.5, Points: line(10, 20, 30)}, 800},
	}
	for _, name := range slices.Sorted(maps.Keys(fits)) {
		want := fits[name]
		It("evaluates "+name, func() {
			f, err := want.measure.Fit()
			Expect(err).NotTo(HaveOccurred())
			Expect(f.Value).To(BeNumerically("~", want.value, 1e-6))
		})
	}

	files := map[string]string{
		"two sizes":        `{"role":"r","mechanism":"m","command":"c","measures":[{"resource":"memory_bytes","driver":"instances","points":[{"size":1,"value":1},{"size":2,"value":1},{"size":2,"value":2}]}]}`,
		"unknown resource": `{"role":"r","mechanism":"m","command":"c","measures":[{"resource":"joy","driver":"instances","points":[{"size":1,"value":1},{"size":2,"value":1},{"size":3,"value":2}]}]}`,
		"unknown driver":   `{"role":"r","mechanism":"m","command":"c","measures":[{"resource":"memory_bytes","driver":"joy","points":[{"size":1,"value":1},{"size":2,"value":1},{"size":3,"value":2}]}]}`,
		"no command":       `{"role":"r","mechanism":"m","measures":[]}`,
		"unknown field":    `{"role":"r","mechanism":"m","command":"c","joy":1}`,
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		It("refuses a file with "+name, func() {
			directory := GinkgoT().TempDir()
			Expect(os.WriteFile(filepath.Join(directory, "r.json"), []byte(files[name]), 0o600)).To(Succeed())
			_, err := wasabicapacity.Load(directory)
			Expect(err).To(HaveOccurred())
		})
	}
})

var _ = Describe("Page", func() {
	It("lists exceeded budgets and missing roles first", func() {
		roles := []wasabicapacity.Role{
			{Role: "membership", Mechanism: "m", Command: "c", Measures: []wasabicapacity.Measure{{Resource: wasabicapacity.Bytes, Driver: "instances", Points: line(100, 200, 300)}}},
			{Role: "relaying", Plane: wasabicapacity.Data, Mechanism: "m", Command: "c", Measures: []wasabicapacity.Measure{{Resource: wasabicapacity.CPU, Driver: "instances", Points: line(1, 2, 3)}}},
		}
		page, err := wasabicapacity.Page(roles)
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(ContainSubstring("- control traffic: 3.700 KB/s against 3 KB/s, 1.2 times too much. Most of it: membership"))
		Expect(page).To(ContainSubstring("Not measured, so not in the sums: placing, cache picture"))
		Expect(page).To(ContainSubstring("| processor time | 0.000% | 4.3% of a core | 100% | 3700.000% |"))
		Expect(page).To(ContainSubstring("12.3 times"))
		Expect(page).NotTo(ContainSubstring("Uncertain"))
	})

	It("lists costs that a bound limits first", func() {
		m := wasabicapacity.Measure{Resource: wasabicapacity.Memory, Driver: "known_blocks", Bound: 1000, Points: line(10, 20, 30)}
		page, err := wasabicapacity.Page([]wasabicapacity.Role{{Role: "cache picture", Mechanism: "m", Command: "c", Measures: []wasabicapacity.Measure{m}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(ContainSubstring("Bounded by design, so the rest is left out or comes later: memory of cache picture stops growing at 1000 of 1e+08 known_blocks"))
	})

	// A cost that levels off and is measured only around the bend fits a rising
	// line badly. The value at the target size is unreliable then.
	It("lists values whose points are not on a line as uncertain, but not constant ones", func() {
		bent := wasabicapacity.Measure{Resource: wasabicapacity.CPU, Driver: "instances", Points: line(0, 10, 9)}
		level := wasabicapacity.Measure{Resource: wasabicapacity.Memory, Driver: "instances", Points: line(100, 101, 100)}
		page, err := wasabicapacity.Page([]wasabicapacity.Role{{Role: "placement", Mechanism: "m", Command: "c", Measures: []wasabicapacity.Measure{bent, level}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(ContainSubstring("Uncertain: processor time of placement"))
		Expect(page).NotTo(ContainSubstring("Uncertain: memory"))
		Expect(page).NotTo(ContainSubstring("sums: relaying, placing"))
	})
})

var _ = Describe("docs/CAPACITY.md", func() {
	It("equals the page that is generated from docs/capacity", func() {
		roles, err := wasabicapacity.Load("../../docs/capacity")
		Expect(err).NotTo(HaveOccurred())
		page, err := wasabicapacity.Page(roles)
		Expect(err).NotTo(HaveOccurred())
		written, err := os.ReadFile("../../docs/CAPACITY.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(written) == page).To(BeTrue(), "run: go run ./cmd/wasabictl capacity --dir docs/capacity --out docs/CAPACITY.md")
	})
})
