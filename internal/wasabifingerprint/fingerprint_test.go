package wasabifingerprint_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// Guards against different requests with the same fingerprint, of which one could then be
// blocked because of the other, and against repeated requests that are not recognized.
func TestFingerprintsDistinguishRequests(t *testing.T) {
	base := wasabifingerprint.Content{
		Account: "a", Method: "POST", Host: "h", Path: "/p?q", Model: "m", Body: []byte("question"), Blocks: []wasabiridge.BlockHash{1, 2},
	}
	cases := map[string]struct {
		change func(c *wasabifingerprint.Content)
		same   bool
	}{
		"nothing":                           {func(*wasabifingerprint.Content) {}, true},
		"the segments, with a body":         {func(c *wasabifingerprint.Content) { c.Blocks = nil }, true},
		"the account":                       {func(c *wasabifingerprint.Content) { c.Account = "b" }, false},
		"the method":                        {func(c *wasabifingerprint.Content) { c.Method = "PUT" }, false},
		"the host":                          {func(c *wasabifingerprint.Content) { c.Host = "i" }, false},
		"the query":                         {func(c *wasabifingerprint.Content) { c.Path = "/p?r" }, false},
		"the model":                         {func(c *wasabifingerprint.Content) { c.Model = "n" }, false},
		"a byte of the body":                {func(c *wasabifingerprint.Content) { c.Body = []byte("questiom") }, false},
		"a letter moved between two fields": {func(c *wasabifingerprint.Content) { c.Account, c.Method = "aP", "OST" }, false},
		"no body":                           {func(c *wasabifingerprint.Content) { c.Body = nil }, false},
		"no body and no segments":           {func(c *wasabifingerprint.Content) { c.Body, c.Blocks = nil, nil }, false},
	}
	g := NewWithT(t)
	hasher := wasabifingerprint.New([]byte("key"))
	for _, name := range wasabitest.SortedKeys(cases) {
		changed := base
		cases[name].change(&changed)
		g.Expect(hasher.Fingerprint(changed) == hasher.Fingerprint(base)).To(Equal(cases[name].same), name)
	}
	empty, other := base, base
	empty.Body, other.Body, other.Blocks = nil, nil, []wasabiridge.BlockHash{1, 3}
	g.Expect(hasher.Fingerprint(empty)).NotTo(Equal(hasher.Fingerprint(other)), "segments of a request without a body")
	g.Expect(wasabifingerprint.New([]byte("other")).Fingerprint(base)).NotTo(Equal(hasher.Fingerprint(base)), "another key")
	g.Expect(hasher.Fingerprint(base).String()).To(HaveLen(16))
}
