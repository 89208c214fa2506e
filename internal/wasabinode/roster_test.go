package wasabinode_test

import (
	"context"
	"encoding/json"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabinode"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// register writes the row of an instance.
func register(table wasabiridge.Table, id string) {
	value, err := json.Marshal(wasabiridge.InstanceEntry{ID: wasabiridge.InstanceID(id), PeerAddress: "127.0.0.1:1"})
	Expect(err).NotTo(HaveOccurred())
	Expect(table.Commit(context.Background(), wasabiridge.Transaction{
		ID: wasabiridge.WriteID(id), Changes: []wasabiridge.RowChange{{Key: "member/" + id, Value: value}},
	})).To(Succeed())
}

// Guards against a starting instance that reads only rows of instances that are gone, and
// so reaches no other. Those rows are never deleted and outnumber the others in time.
var _ = Describe("The roster", func() {
	It("lists the instances that wrote their rows last, however many rows there are", func() {
		table := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: wasabiclock.System()})
		for i := range 1200 {
			register(table, fmt.Sprintf("a%04d", i))
		}
		register(table, "z")
		found, err := wasabinode.ReadRoster(context.Background(), table)
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(HaveLen(500))
		Expect(found).To(ContainElement(HaveField("ID", wasabiridge.InstanceID("z"))))
	})
})
