package wasabinode_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabinode"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// Guards against a draining process that accepts requests for too long. With 0.4 of a
// grace period of 8 s it accepted them until 3.2 s after SIGTERM: a caller with an older
// address started a long stream 3.014 s after the signal, the stream would have run for
// 4.5 s, and it was aborted when the process had to end, 7.6 s after the signal. The users
// count a request that arrives later than 3 s after the signal and is aborted as lost;
// it happened on one day in forty.
func TestDrainingNodeAcceptsRequestsBriefly(t *testing.T) {
	const late, transit = 3 * wasabiridge.Second, 100 * wasabiridge.Millis(1)
	graces := map[string]wasabiridge.Millis{
		"of the users": 8 * wasabiridge.Second, "short": 3 * wasabiridge.Second, "long": 60 * wasabiridge.Second, "none": 0,
	}
	for _, name := range wasabitest.SortedKeys(graces) {
		g := NewWithT(t)
		accepting := wasabinode.AcceptFor(graces[name])
		g.Expect(accepting).To(BeNumerically("<=", late-transit), name)
		g.Expect(accepting).To(BeNumerically("<=", graces[name]/2), name)
		g.Expect(accepting).To(BeNumerically(">=", min(graces[name], 5*wasabiridge.Second)/3), name)
	}
}
