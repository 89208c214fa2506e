package wasabirule_test

import (
	"bufio"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// received returns a request as a server receives it, or nil if the target is no valid one.
func received(target string) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
	if err != nil {
		return nil
	}
	return r
}

var _ = Describe("The path that rules are compared with", func() {
	forms := map[string]struct{ target, sent, path string }{
		"plain":                           {"/a/b?x=1", "/a/b?x=1", "/a/b"},
		"an escaped slash":                {"/a%2Fb", "/a%2Fb", "/a%2Fb"},
		"an escaped slash, lower case":    {"/a%2fb", "/a%2fb", "/a%2fb"},
		"an escaped letter":               {"/%61/b", "/%61/b", "/a/b"},
		"an escaped dot":                  {"/a/%2e%2E/b", "/a/%2e%2E/b", "/a/../b"},
		"an escaped percent sign":         {"/a%252Fb", "/a%252Fb", "/a%252Fb"},
		"an escaped reserved character":   {"/a%3Bb", "/a%3Bb", "/a%3Bb"},
		"an escaped space":                {"/a%20b", "/a%20b", "/a%20b"},
		"dot segments":                    {"/a/../b/./c", "/a/../b/./c", "/a/../b/./c"},
		"doubled slashes":                 {"//a//b", "//a//b", "//a//b"},
		"a character that is not allowed": {"/a|b", "/a|b", "/a|b"},
		"a number sign":                   {"/a#b", "/a#b", "/a#b"},
		"a slash in the query":            {"/a?b/c", "/a?b/c", "/a"},
		"an empty query":                  {"/a?", "/a?", "/a"},
		"an absolute address":             {"http://h/a%2Fb?x", "/a%2Fb?x", "/a%2Fb"},
		"an absolute address, no path":    {"http://h", "/", "/"},
		"an absolute address, a query":    {"http://h?a=/b", "/?a=/b", "/"},
		"an address in the query":         {"/a?u=http://h/b", "/a?u=http://h/b", "/a"},
		"all of the server":               {"*", "*", "*"},
	}
	for _, name := range slices.Sorted(maps.Keys(forms)) {
		c := forms[name]

		// Guards against a rule that applies to another path than the server receives.
		It("is that of the request as it was sent: "+name, func() {
			r := received(c.target)
			Expect(r).NotTo(BeNil())
			Expect(wasabirule.TargetOf(r)).To(Equal(c.sent))
			Expect(wasabirule.PathOf(r)).To(Equal(c.path))
		})
	}
})

func FuzzPathOf(f *testing.F) {
	for _, target := range []string{"/", "/a%2Fb", "/%61", "/%", "/%zz", "//a", "http://h/a?b", "*", "/a?%2F", "/%2%66f", "/%25%36%31"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		r := received(target)
		if r == nil {
			return
		}
		path := wasabirule.PathOf(r)
		sent, _, _ := strings.Cut(wasabirule.TargetOf(r), "?")
		if strings.Count(path, "/") != strings.Count(sent, "/") {
			t.Errorf("path %q of target %q has other slashes than %q", path, target, sent)
		}
		if !strings.HasPrefix(target, "/") {
			return
		}
		// The form that other instances and servers are sent leads to the same path.
		again := received(wasabirule.TargetOf(r))
		if again == nil || wasabirule.PathOf(again) != path || wasabirule.TargetOf(again) != target {
			t.Errorf("target %q is sent as %q, whose path is not %q", target, wasabirule.TargetOf(r), path)
		}
	})
}
