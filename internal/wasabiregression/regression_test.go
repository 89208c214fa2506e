package wasabiregression_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabiregression"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestRegression(t *testing.T) { wasabitest.Run(t, "regression") }

// benchOutput is the output of the bench for three standard days and a random one.
const benchOutput = `7 days, 3 at a time
score on the standard days of harbour (set 35686f7d): 1.000
day                  own/srv  score  worth served refused failed  weakest part
quiet-1               195/66   1.00  0.725  0.959   0.000  0.006  worst class 0.71; prices 0.189
trouble-1             195/66   1.00  0.650  0.933   0.000  0.008  worst windows 0.60; prices 0.200
scale-1               195/66   1.00  0.550  0.945   0.003  0.009  worst class 0.73; prices 0.185
fresh-0807            195/66   1.00  0.071  0.950   0.000  0.012  worst class 0.73; prices 0.223
fresh-0807 was drawn just now; it counts for the gate, not for the score: replay
GATE passed
`

func load(text string) (wasabiregression.Floors, error) {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "floors.jsonc")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return wasabiregression.Load(path)
}

var _ = Describe("A score", func() {
	It("is read from the output of the bench, without random days", func() {
		s, err := wasabiregression.ParseScore(benchOutput)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Passed).To(BeTrue())
		Expect(s.Days).To(HaveLen(3))
		Expect(s.TroubledMean()).To(BeNumerically("~", 0.6, 1e-9))
		Expect(s.LowestDay()).To(Equal(wasabiregression.Day{Name: "scale-1", Worth: 0.55}))
	})

	// If the bench was aborted, or has changed the format of its table, the result
	// must not look like a run without regressions.
	It("is rejected when the output has no valid table", func() {
		for _, output := range []string{"", "days given up: the machine is too busy\n", "day own/srv score worth\nquiet-1 9/9 1.0 none\n"} {
			_, err := wasabiregression.ParseScore(output)
			Expect(err).To(HaveOccurred(), output)
		}
	})
})

var _ = Describe("Floors", func() {
	cases := map[string]struct {
		site   wasabiregression.Site
		fallen int
	}{
		"hold":                          {site: wasabiregression.Site{File: "a/harbour.toml", Troubled: 0.62, Lowest: 0.57}},
		"fail by the mean":              {site: wasabiregression.Site{File: "a/harbour.toml", Troubled: 0.64, Lowest: 0.57}, fallen: 1},
		"fail by the lowest day":        {site: wasabiregression.Site{File: "a/harbour.toml", Troubled: 0.62, Lowest: 0.59}, fallen: 1},
		"fail by both":                  {site: wasabiregression.Site{File: "a/harbour.toml", Troubled: 0.7, Lowest: 0.7}, fallen: 2},
		"hold exactly at the tolerance": {site: wasabiregression.Site{File: "a/harbour.toml", Troubled: 0.625, Lowest: 0.575}},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		It(name, func() {
			s, err := wasabiregression.ParseScore(benchOutput)
			Expect(err).NotTo(HaveOccurred())
			v := wasabiregression.Floors{Tolerance: 0.03}.Check(cases[name].site, s)
			Expect(v.Failures).To(HaveLen(cases[name].fallen))
			Expect(v.String()).To(ContainSubstring("harbour"))
		})
	}

	It("fail when the gate did not pass", func() {
		v := wasabiregression.Floors{}.Check(wasabiregression.Site{}, wasabiregression.Score{Days: []wasabiregression.Day{{Name: "scale-1", Worth: 1}}})
		Expect(v.Failures).To(ConsistOf("the gate is not passed"))
	})

	It("are read from a file, and retired sites are selected only by name", func() {
		f, err := load(`{
			// Noise.
			"tolerance": 0.03,
			"sites": [
				{"file": "a/harbour.toml", "troubled": 0.6, "lowest": 0.5},
				{"file": "b/old.toml", "troubled": 0.6, "lowest": 0.5, "retired": true},
			],
		}`)
		Expect(err).NotTo(HaveOccurred())
		sites, err := f.Select(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(sites).To(HaveExactElements(HaveField("File", "a/harbour.toml")))
		sites, err = f.Select([]string{"old"})
		Expect(err).NotTo(HaveOccurred())
		Expect(sites).To(HaveExactElements(HaveField("File", "b/old.toml")))
		_, err = f.Select([]string{"harbour", "nowhere"})
		Expect(err).To(MatchError(ContainSubstring("nowhere")))
	})

	It("are rejected with the path of the error when the file is invalid", func() {
		for text, want := range map[string]string{
			`{"tolerance": 0.03, "sites": []}`:                                                                                               "no sites",
			`{"tolerance": 0.03, "sites": [{"troubled": 0.6}]}`:                                                                              "/sites/0/file: missing",
			`{"tolerance": 0.03, "sites": [{"file": "a.toml", "troubled": 0.6, "lowest": 0.7}]}`:                                             "lowest is above",
			`{"tolerance": 0.03, "sites": [{"file": "a.toml", "troubled": 0.6, "lowest": 0.5},{"file":"b/a.toml","troubled":1,"lowest":1}]}`: "listed twice",
			`{"tolerance": 0.03, "floors": []}`:                                                                                              "floors",
		} {
			_, err := load(text)
			Expect(err).To(MatchError(ContainSubstring(want)), text)
		}
		_, err := wasabiregression.Load(filepath.Join(GinkgoT().TempDir(), "missing"))
		Expect(err).To(HaveOccurred())
	})

	It("in deploy/regression are valid", func() {
		_, err := wasabiregression.Load("../../deploy/regression/floors.jsonc")
		Expect(err).NotTo(HaveOccurred())
	})
})
