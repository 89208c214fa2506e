package wasabibackend_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
)

// Guards against a faulty engine that counts as idle, or as one that restarted, because JSON that
// is no object was taken for a report.
var _ = Describe("A report of an engine", func() {
	cases := map[string]bool{
		`{}`:                           true,
		` {"running":1,"sequence":2} `: true,
		`null`:                         false,
		` null`:                        false,
		`[]`:                           false,
		`1`:                            false,
		`"x"`:                          false,
		`{"running":1} {}`:             false,
		`{"running":"x","events":"x"}`: false,
	}
	for _, text := range slices.Sorted(maps.Keys(cases)) {
		It("must be an object: "+text, func() {
			_, load := wasabibackend.DecodeLoad(wasabiridge.Hour, "e", []byte(text))
			Expect(load).To(Equal(cases[text]))
			_, batch := wasabibackend.DecodeBatch("e", text)
			Expect(batch).To(Equal(cases[text]))
		})
	}
})
