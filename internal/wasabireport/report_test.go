package wasabireport_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabireport"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestReport(t *testing.T) { wasabitest.Run(t, "report") }

func sample() wasabiridge.OutcomeReport {
	most, figure := 0.05, 0.021
	figures := wasabiridge.OutcomeFigures{Requests: 1000, TTFTP50Millis: 80, TTFTP95Millis: 210, TTFTP99Millis: 290, HitRate: 0.93, Recomputed: 0.02}
	return wasabiridge.OutcomeReport{
		Quarter: "2026Q4", Total: figures,
		Targets:  []wasabiridge.TargetResult{{Target: wasabiridge.Target{Measure: "recomputed_share", AtMost: &most}, Figure: &figure, Verdict: "met"}},
		Days:     []wasabiridge.OutcomeDay{{Day: "2026-12-01", Figures: figures}, {Day: "2026-12-02", Figures: figures}},
		Series:   []wasabiridge.OutcomeSeries{{Account: "<script>alert(1)</script>", Rule: "r", Model: "m", Figures: figures}},
		Coverage: wasabiridge.OutcomeCoverage{Share: 0.998, Objects: 4, MissingInstances: []wasabiridge.InstanceID{"ghost"}},
	}
}

var _ = Describe("WriteHTML", func() {
	It("writes one self-contained file with plots, and escapes names", func() {
		var out bytes.Buffer
		Expect(wasabireport.WriteHTML(&out, sample())).To(Succeed())
		page := out.String()
		Expect(strings.Count(page, "<svg")).To(Equal(4))
		Expect(page).NotTo(ContainSubstring("<?xml"))
		Expect(page).NotTo(ContainSubstring("<script"))
		Expect(page).NotTo(MatchRegexp(`(src|href)=`))
		Expect(page).To(ContainSubstring("at most 5.00%"))
		Expect(page).To(ContainSubstring("ghost"))
	})

	// A share just below 1 must not be rounded up to 100%, which would say that
	// nothing is missing.
	It("never prints full coverage while data is missing", func() {
		lines := wasabireport.CoverageLines(wasabiridge.OutcomeCoverage{Share: 0.99999, Objects: 1})
		Expect(lines[0]).To(HavePrefix("Coverage: 99.99%"))
	})

	It("writes a page for a quarter without data", func() {
		var out bytes.Buffer
		Expect(wasabireport.WriteHTML(&out, wasabiridge.OutcomeReport{Quarter: "2026Q4"})).To(Succeed())
		Expect(out.String()).To(ContainSubstring("No day of the quarter has data yet"))
	})
})
