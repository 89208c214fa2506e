package wasabilease_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

var _ = It("A lease has few candidates, and a new one when one is removed", func() {
	var members []wasabiridge.InstanceID
	for i := range 370 {
		members = append(members, wasabiridge.InstanceID(fmt.Sprint(i)))
	}
	candidates := func() (out []wasabiridge.InstanceID) {
		for _, m := range members {
			if wasabilease.IsCandidate("orders", m, members, 3) {
				out = append(out, m)
			}
		}
		return out
	}
	first := candidates()
	Expect(first).To(HaveLen(3))
	for i, m := range members {
		if m == first[0] {
			members = append(members[:i:i], members[i+1:]...)
			break
		}
	}
	Expect(candidates()).To(HaveLen(3))
	Expect(candidates()).To(ContainElements(first[1], first[2]))
})
