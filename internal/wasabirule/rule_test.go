package wasabirule_test

import (
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestRule(t *testing.T) {
	wasabitest.Run(t, "rule")
}

const document = `{
	// Two accounts, an engine pool and a service pool.
	"accounts": [
		{"id": "liftwell", "key_hashes": ["0000000000000000000000000000000000000000000000000000000000000001"], "pools": ["answer", "booking"]},
		{"id": "selam", "key_hashes": ["0000000000000000000000000000000000000000000000000000000000000002"], "pools": ["answer"]},
	],
	"pools": [
		{"id": "answer", "backends": [{"id": "e1", "kind": "engine", "zone": "a", "url": "http://127.0.0.1:1"}]},
		{"id": "booking", "backends": [{"id": "s1", "kind": "service", "zone": "a", "url": "http://127.0.0.1:2"}]},
	],
	"rules": [
		{"id": "book", "when": {"path": "/bookings*", "methods": ["POST"]}, "then": {"pool": "booking", "non_idempotent": true}},
		{"id": "long", "when": {"path": "/v1/*", "min_prompt_tokens": 1000}, "then": {"pool": "answer", "retry": true}},
		{"id": "vip", "when": {"header": "X-Van", "priority_class": "urgent"}, "then": {"pool": "answer", "priority": 5}},
	],
}`

var _ = Describe("Match", func() {
	cases := map[string]struct {
		view wasabirule.RequestView
		want string
	}{
		"prefix and method": {wasabirule.RequestView{Method: "post", Path: "/bookings/7"}, "book"},
		"long prompt":       {wasabirule.RequestView{Path: "/v1/completions", PromptTokens: 1000}, "long"},
		"short prompt":      {wasabirule.RequestView{Path: "/v1/completions", PromptTokens: 999}, ""},
		"headers": {wasabirule.RequestView{Path: "/x", Header: func(name string) []string {
			return map[string][]string{"X-Van": {"7"}, wasabirule.PriorityClassHeader: {"urgent"}}[name]
		}}, "vip"},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			cfg, err := wasabirule.Parse([]byte(document))
			Expect(err).NotTo(HaveOccurred())
			rule, ok := wasabirule.Match(cfg, cases[name].view)
			Expect(ok).To(Equal(cases[name].want != ""))
			Expect(string(rule.ID)).To(Equal(cases[name].want))
			lines := wasabirule.Explain(cfg, cases[name].view)
			Expect(lines[len(lines)-1].Matches).To(Equal(ok))
		})
	}
})

var _ = Describe("Parse", func() {
	cases := map[string]struct {
		text string
		want []string
	}{
		"unknown fields are all reported with their positions": {
			"{\n \"acounts\": [],\n \"pools\": [{\"id\": 7, \"bakends\": []}]\n}",
			[]string{"2:13: /acounts: unknown field", "/pools/0/id: a number does not fit here", "/pools/0/bakends: unknown field"},
		},
		"malformed text": {"{", []string{"document: "}},
		"references to unknown accounts and pools": {
			`{"accounts": [{"id": "a", "key_hashes": ["xyz"], "pools": ["p"]}], "rules": [{"id": "r", "when": {"accounts": ["b"]}, "then": {"pool": "q"}}]}`,
			[]string{"/accounts/0/key_hashes/0", "/accounts/0/pools/0", "/rules/0/when/accounts/0", "/rules/0/then/pool"},
		},
		"limits with invalid values": {
			`{"accounts": [{"id": "a", "key_hashes": [], "pools": [], "limit": {"rate": -1, "burst": -2, "unit": "bytes", "plain_tokens": -3}}], "rules": []}`,
			[]string{"/accounts/0/limit/rate", "/accounts/0/limit/burst", "/accounts/0/limit/plain_tokens", "/accounts/0/limit/unit"},
		},
		"non-idempotent requests with retries": {
			`{"pools": [{"id": "p", "backends": []}], "rules": [{"id": "r", "when": {}, "then": {"pool": "p", "non_idempotent": true, "retry": true}}]}`,
			[]string{"/rules/0/then/non_idempotent"},
		},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			_, err := wasabirule.Parse([]byte(cases[name].text))
			Expect(err).To(HaveOccurred())
			for _, want := range cases[name].want {
				Expect(err.Error()).To(ContainSubstring(want))
			}
		})
	}
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(document))
	f.Add([]byte(`{"rules": [{"id": 1, "when": null}], "x": {"y": []}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := wasabirule.Parse(text)
		if err == nil && wasabirule.Check(cfg) != nil {
			t.Fatal("an accepted configuration does not pass its own check")
		}
	})
}
