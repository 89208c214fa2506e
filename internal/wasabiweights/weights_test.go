package wasabiweights_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"

	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabicontract"
	"github.com/wasabiridge/wasabiridge/internal/wasabiobject"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
	"github.com/wasabiridge/wasabiridge/internal/wasabiweights"
)

func TestWeights(t *testing.T) { wasabitest.Run(t, "weights") }

var _ = Describe("The weight store", func() {
	wasabicontract.Specs(wasabicontract.Weights(func() wasabicontract.WeightSubject {
		m := wasabiobject.NewMemory(wasabiobject.MemoryOptions{Clock: wasabiclock.NewVirtual(0)})
		store := wasabiweights.NewStore(m)
		return wasabicontract.WeightSubject{Store: store, Publish: store.Publish, Script: m.Faults().SetNextOutcomes}
	}))
})
