package wasabinode_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabinode"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// Story: a process gets SIGTERM. A caller with an older address answer sends a long
// stream 3.014 s later; it is taken, runs for 4.5 s and is cut when the process must end,
// 7.6 s after the signal. The cause: requests were taken for 0.4 of the grace time, 3.2 s
// of 8 s, and the users count as lost what came later than 3 s after the signal and is
// cut. Proof: the users' record of the one day in forty on which it happened.
func TestRequestsAreTakenBrieflyAfterTheSignal(t *testing.T) {
	const late, way = 3 * wasabiridge.Second, 100 * wasabiridge.Millis(1)
	graces := map[string]wasabiridge.Millis{
		"of the users": 8 * wasabiridge.Second, "short": 3 * wasabiridge.Second, "long": 60 * wasabiridge.Second, "none": 0,
	}
	for _, name := range wasabitest.Names(graces) {
		g := NewWithT(t)
		taken := wasabinode.AcceptFor(graces[name])
		g.Expect(taken).To(BeNumerically("<=", late-way), name)
		g.Expect(taken).To(BeNumerically("<=", graces[name]/2), name)
		g.Expect(taken).To(BeNumerically(">=", min(graces[name], 5*wasabiridge.Second)/3), name)
	}
}
