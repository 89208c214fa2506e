package wasabisettings_test

import (
	"path/filepath"
	"sort"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestSettings(t *testing.T) { wasabitest.Run(t, "settings") }

const start = `{"instance":"a","zone":"z","caller":{"listen":"127.0.0.1:1"}`

var _ = Describe("settings", func() {
	invalid := map[string]struct {
		text string
		want []string
	}{
		"nothing set":              {`{}`, []string{"/instance: must be set", "/zone: must be set", "/caller/listen: must be set"}},
		"unknown field":            {start + `,"drian":{}}`, []string{"/drian: unknown field", "1:"}},
		"several unknown fields":   {start + ",\n\"a\":1,\n\"b\":2}", []string{"2:", "/a", "3:", "/b"}},
		"wrong type":               {start + `,"limits":{"requests":"many"}}`, []string{"/limits/requests"}},
		"host name in an address":  {`{"instance":"a","zone":"z","caller":{"listen":"localhost:1"}}`, []string{"/caller/listen: must be an IP address and a port"}},
		"platform without scheme":  {start + `,"platform":{"table":"t","table_url":"127.0.0.1:9"}}`, []string{"/platform/table_url: must be a URL"}},
		"key in place of its hash": {start + `,"operator":{"key_hashes":["secret"]}}`, []string{"/operator/key_hashes/0: must be a SHA-256 hash"}},
		"certificate without key":  {start + `,"operator":{"listen":"127.0.0.1:2","tls":{"certificate_file":"c"}}}`, []string{"/operator/tls/key_file: must be set"}},
		"unknown level":            {start + `,"log_level":"loud"}`, []string{"/log_level"}},
		"unknown zone crossing":    {start + `,"hosted":{"store":"127.0.0.1:9","zone_crossing":"cheap"}}`, []string{`/hosted/zone_crossing: must be "normal" or "dear"`}},
		"negative capacity":        {start + `,"capacity":-1}`, []string{"/capacity: must not be negative"}},
		"negative limit":           {start + `,"limits":{"ring":-1}}`, []string{"/limits/ring: must not be negative"}},
		"drain shorter than address answers": {start + `,"drain":{"answer_lifetime_ms":5000,"limit_ms":4000}}`,
			[]string{"/drain/limit_ms: must not be shorter"}},
		"unknown value of sharing":   {start + `,"hosted":{"store":"127.0.0.1:3","sharing":"maybe"}}`, []string{`/hosted/sharing: "maybe" must be "on" or "off"`}},
		"rule without a name":        {start + `,"hosted":{"store":"127.0.0.1:3","rules":["a",""]}}`, []string{"/hosted/rules/1: must not be empty"}},
		"rule named twice":           {start + `,"hosted":{"store":"127.0.0.1:3","rules":["a","b","a"]}}`, []string{`/hosted/rules/2: "a" is named twice`}},
		"rule with a very long name": {start + `,"hosted":{"store":"127.0.0.1:3","rules":["` + strings.Repeat("a", 129) + `"]}}`, []string{"/hosted/rules/0: 129 bytes, at most 128"}},
		"rules that are no list":     {start + `,"hosted":{"store":"127.0.0.1:3","rules":"a"}}`, []string{"/hosted/rules"}},
		"invalid JSON":               {`{"instance"`, []string{"document"}},
	}
	names := make([]string, 0, len(invalid))
	for name := range invalid {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c := invalid[name]
		It("are rejected with the path of the invalid field: "+name, func() {
			_, err := wasabisettings.Parse([]byte(c.text))
			for _, want := range c.want {
				Expect(err).To(MatchError(ContainSubstring(want)))
			}
		})
	}

	sharing := map[string]struct {
		value       string
		asked, want bool
	}{
		"on, and asked for":      {"on", true, true},
		"on, and not asked for":  {"on", false, true},
		"off, and asked for":     {"off", true, false},
		"not set, and asked for": {"", true, true},
		"not set, and not asked": {"", false, false},
	}
	for _, name := range wasabitest.SortedKeys(sharing) {
		c := sharing[name]
		// Guards against requests that are refused for shares that no operator asked for.
		It("decide whether pools are shared: "+name, func() {
			h := wasabisettings.Hosted{Sharing: c.value}
			Expect(h.SharesPools(wasabiridge.Features{Sharing: c.asked})).To(Equal(c.want))
		})
	}

	budgets := map[string]struct {
		bounds       string
		ratio, slack float64
	}{
		"not set":    {`{}`, wasabisettings.DefaultRetryRatio, wasabisettings.DefaultRetrySlack},
		"null":       {`{"retry_ratio":null,"retry_slack":null}`, wasabisettings.DefaultRetryRatio, wasabisettings.DefaultRetrySlack},
		"zero":       {`{"retry_ratio":0,"retry_slack":0}`, 0, 0},
		"one is set": {`{"retry_slack":7}`, wasabisettings.DefaultRetryRatio, 7},
	}
	for _, name := range wasabitest.SortedKeys(budgets) {
		c := budgets[name]

		// Guards against retries where the operators allow none.
		It("keep a retry budget of zero: "+name, func() {
			s, err := wasabisettings.Parse([]byte(start + `,"hosted":{"store":"127.0.0.1:3","bounds":` + c.bounds + `}}`))
			Expect(err).NotTo(HaveOccurred())
			b := s.Hosted.Bounds.Resolve()
			Expect([]float64{b.RetryRatio, b.RetrySlack}).To(Equal([]float64{c.ratio, c.slack}))
		})
	}

	It("get their defaults", func() {
		s, err := wasabisettings.Parse([]byte(start + "}"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Caller.URL).To(Equal("http://127.0.0.1:1"))
		Expect(s.Drain.AnswerLifetime).To(Equal(10 * wasabiridge.Second))
		Expect(s.Limits.BodyBytes).To(Equal(int64(8 << 20)))
	})

	It("are valid in the examples for both deployments and for the users' platform", func() {
		files, err := filepath.Glob("../../examples/settings/*.jsonc")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(3))
		for _, file := range files {
			_, err := wasabisettings.Load(file)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})
})
