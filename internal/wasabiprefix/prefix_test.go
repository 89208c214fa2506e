package wasabiprefix_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestPrefix(t *testing.T) {
	wasabitest.Run(t, "prefix")
}

const blockTokens = 8

var root = wasabiridge.CacheRoot{Account: "ab", Model: "c", Weights: 1}

func prompt(blocks string) []byte {
	var out []byte
	for _, b := range blocks {
		out = append(out, bytes.Repeat([]byte{byte(b)}, blockTokens*wasabiprefix.BytesPerToken)...)
	}
	return out
}

func shared(a, b wasabiridge.Chain) int {
	n := 0
	for n < len(a.Blocks) && n < len(b.Blocks) && a.Blocks[n] == b.Blocks[n] {
		n++
	}
	return n
}

var _ = Describe("Chains", func() {
	DescribeTable("share exactly the blocks of the common prefix:", func(a, b string, want int) {
		Expect(shared(
			wasabiprefix.NewChain(root, prompt(a), blockTokens),
			wasabiprefix.NewChain(root, prompt(b), blockTokens))).To(Equal(want))
	},
		Entry("same prompt", "mhq", "mhq", 3),
		Entry("another question", "mhq", "mhr", 2),
		Entry("same blocks after another manual", "mhq", "nhq", 0),
		Entry("longer prompt", "mh", "mhq", 2),
	)

	It("contain hashes of full blocks only, and count all tokens", func() {
		chain := wasabiprefix.NewChain(root, append(prompt("mh"), "rest!"...), blockTokens)
		Expect(chain.Blocks).To(HaveLen(2))
		Expect(chain.Tokens).To(Equal(2*blockTokens + 2))
		Expect(wasabiprefix.NewChain(root, nil, 0).BlockTokens).To(Equal(wasabiprefix.DefaultBlockTokens))
	})

	// Two client accounts send prompts with the same manual. If a part of the root were
	// missing in the hash, or its names concatenated without lengths, the chains would
	// share hashes, and one account would be routed to cached blocks of the other.
	DescribeTable("share nothing if their roots differ in the", func(change func(*wasabiridge.CacheRoot)) {
		other := root
		change(&other)
		Expect(shared(
			wasabiprefix.NewChain(root, prompt("mhq"), blockTokens),
			wasabiprefix.NewChain(other, prompt("mhq"), blockTokens))).To(BeZero())
		Expect(wasabiprefix.Salt(other)).NotTo(Equal(wasabiprefix.Salt(root)))
	},
		Entry("account", func(r *wasabiridge.CacheRoot) { r.Account = "x" }),
		Entry("model", func(r *wasabiridge.CacheRoot) { r.Model = "x" }),
		Entry("adapter", func(r *wasabiridge.CacheRoot) { r.Adapter = "x" }),
		Entry("weights", func(r *wasabiridge.CacheRoot) { r.Weights = 2 }),
		Entry("boundary between account and model", func(r *wasabiridge.CacheRoot) { r.Account, r.Model = "a", "bc" }),
	)
})

func BenchmarkOf(b *testing.B) {
	text := bytes.Repeat([]byte("wasabi! "), 32*1024)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		wasabiprefix.NewChain(root, text, wasabiprefix.DefaultBlockTokens)
	}
}
