package wasabiinstances_test

import (
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabicontract"
	"github.com/wasabiridge/wasabiridge/internal/wasabiinstances"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestInstances(t *testing.T) { wasabitest.Run(t, "instances") }

const lag = 5 * wasabiridge.Second

var _ = Describe("The instance list", func() {
	fresh := func(adapter func(m *wasabiinstances.Memory) wasabiridge.InstanceList) func() wasabicontract.ListSubject {
		return func() wasabicontract.ListSubject {
			clock := wasabiclock.NewVirtual(0)
			m := wasabiinstances.NewMemory(wasabiinstances.MemoryOptions{Clock: clock, Lag: lag})
			return wasabicontract.ListSubject{
				List: adapter(m), Set: m.Set, Remove: m.Remove, Script: m.Faults().SetNextOutcomes,
				Wait: func() { clock.Advance(lag) },
			}
		}
	}
	Context("in memory", func() {
		wasabicontract.Specs(wasabicontract.Instances(fresh(func(m *wasabiinstances.Memory) wasabiridge.InstanceList { return m })))
	})
	Context("over HTTP", func() {
		wasabicontract.Specs(wasabicontract.Instances(fresh(func(m *wasabiinstances.Memory) wasabiridge.InstanceList {
			server := httptest.NewServer(wasabiinstances.Handler(m))
			DeferCleanup(server.Close)
			return wasabiinstances.NewClient(wasabiinstances.ClientOptions{URL: server.URL})
		})))
	})

	answers := map[string]string{
		"an entry without an ID":    `[{"targets":["127.0.0.1:1"],"labels":{}}]`,
		"an entry with two targets": `[{"targets":["127.0.0.1:1","127.0.0.1:2"],"labels":{"__meta_instance_id":"a"}}]`,
		"a repeated instance":       `[{"targets":["127.0.0.1:1"],"labels":{"__meta_instance_id":"a"}},{"targets":["127.0.0.1:2"],"labels":{"__meta_instance_id":"a"}}]`,
		"a value that is no list":   `{"targets":[]}`,
		"a truncated list":          `[{"targets":["127.0.0.1:1"]`,
	}
	for _, name := range []string{"a truncated list", "an entry with two targets", "an entry without an ID", "a repeated instance", "a value that is no list"} {
		It("refuses "+name, func() {
			_, err := wasabiinstances.Decode([]byte(answers[name]))
			Expect(err).To(HaveOccurred())
		})
	}
})

// FuzzDecode checks that no input makes Decode panic, and that entries do not
// change when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[{"targets":["127.0.0.1:1"],"labels":{"__meta_instance_id":"a","__meta_leaving":"true"}}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := wasabiinstances.Decode(data)
		if err != nil {
			return
		}
		again, err := wasabiinstances.Encode(entries)
		if err != nil {
			t.Fatal(err)
		}
		same, err := wasabiinstances.Decode(again)
		if err != nil || len(same) != len(entries) {
			t.Fatalf("%v became %v: %v", entries, same, err)
		}
		for i := range same {
			if same[i] != entries[i] {
				t.Fatalf("%+v became %+v", entries[i], same[i])
			}
		}
	})
}
