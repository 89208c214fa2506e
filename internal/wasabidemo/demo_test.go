package wasabidemo_test

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabidemo"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestDemo(t *testing.T) { wasabitest.Run(t, "demo") }

var _ = Describe("the demo", func() {
	It("streams answers, resumes one after a crash, books once and returns", func() {
		var out bytes.Buffer
		Expect(wasabidemo.Run(context.Background(), wasabidemo.Options{Out: &out})).To(Succeed(), out.String)
		Expect(out.String()).To(And(
			ContainSubstring("requests              18"),
			MatchRegexp(`prefix hit rate       [1-9]`),
			MatchRegexp(`time to first token   p50 \d+ ms, p95 \d+ ms`),
			MatchRegexp(`recomputed tokens     \d+`),
			MatchRegexp(`\[answer-\d crashes\]`),
			ContainSubstring("the same answer as without the crash: true"),
			ContainSubstring("the service executed it 1 time(s)"),
			ContainSubstring("repeat: true"),
		))
		GinkgoWriter.Println(out.String())
	})
})
