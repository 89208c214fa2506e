package wasabiobject_test

import (
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabicontract"
	"github.com/wasabiridge/wasabiridge/internal/wasabiobject"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestObject(t *testing.T) { wasabitest.Run(t, "object") }

var _ = Describe("The object store", func() {
	fresh := func(adapter func(m *wasabiobject.Memory) wasabiridge.ObjectStore) func() wasabicontract.ObjectSubject {
		return func() wasabicontract.ObjectSubject {
			m := wasabiobject.NewMemory(wasabiobject.MemoryOptions{Clock: wasabiclock.NewVirtual(0)})
			return wasabicontract.ObjectSubject{Store: adapter(m), Script: m.Faults().SetNextOutcomes}
		}
	}
	Context("in memory", func() {
		wasabicontract.Specs(wasabicontract.Objects(fresh(func(m *wasabiobject.Memory) wasabiridge.ObjectStore { return m })))
	})
	Context("over HTTP", func() {
		wasabicontract.Specs(wasabicontract.Objects(fresh(func(m *wasabiobject.Memory) wasabiridge.ObjectStore {
			server := httptest.NewServer(wasabiobject.Handler("/s3", map[string]*wasabiobject.Memory{"kept": m}))
			DeferCleanup(server.Close)
			return wasabiobject.NewClient(wasabiobject.ClientOptions{
				URL: server.URL + "/s3", Bucket: "kept", Region: "local", AccessKey: "test", SecretKey: "test",
			})
		})))
	})
})
