package wasabidemo

import (
	"fmt"
	"io"
	"sort"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

// figures are statistics of the answers that callers received.
type figures struct {
	requests         int
	promptTokens     int
	cachedTokens     int
	recomputedTokens int
	firstTokens      []wasabiridge.Millis
}

// newFigures computes statistics of answers. Recomputed tokens are the computed
// prompt tokens beyond those that a single, unlimited cache would have computed.
func newFigures(answers []answer) figures {
	f := figures{requests: len(answers)}
	seen := make(map[wasabiridge.BlockHash]bool)
	required := 0
	for _, a := range answers {
		f.promptTokens += a.usage.PromptTokens
		f.cachedTokens += a.usage.PromptTokensDetails.CachedTokens
		f.firstTokens = append(f.firstTokens, a.firstToken)
		chain := wasabiprefix.NewChain(wasabiridge.CacheRoot{}, []byte(a.prompt), blockTokens)
		required += a.usage.PromptTokens - len(chain.Blocks)*blockTokens
		for _, block := range chain.Blocks {
			if !seen[block] {
				seen[block] = true
				required += blockTokens
			}
		}
	}
	f.recomputedTokens = max(0, f.promptTokens-f.cachedTokens-required)
	sort.Slice(f.firstTokens, func(i, j int) bool { return f.firstTokens[i] < f.firstTokens[j] })
	return f
}

// quantile returns the time to first token within which the given share of the
// answers began, or 0 if there are none.
func (f figures) quantile(share float64) wasabiridge.Millis {
	if len(f.firstTokens) == 0 {
		return 0
	}
	return f.firstTokens[int(share*float64(len(f.firstTokens)-1))]
}

func (f figures) print(out io.Writer) {
	fmt.Fprintf(out, "\nrequests              %d\n", f.requests)
	fmt.Fprintf(out, "prefix hit rate       %.1f %% (%d of %d prompt tokens)\n",
		100*float64(f.cachedTokens)/float64(max(1, f.promptTokens)), f.cachedTokens, f.promptTokens)
	fmt.Fprintf(out, "time to first token   p50 %d ms, p95 %d ms\n", f.quantile(0.5), f.quantile(0.95))
	fmt.Fprintf(out, "recomputed tokens     %d\n", f.recomputedTokens)
}
