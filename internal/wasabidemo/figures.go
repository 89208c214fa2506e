package wasabidemo

import (
	"fmt"
	"io"
	"sort"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

// figures sum up what the callers saw.
type figures struct {
	requests   int
	prompt     int
	cached     int
	recomputed int
	firsts     []wasabiridge.Millis
}

// newFigures sums up answers. Recomputed tokens are those of blocks that some
// engine had to compute although an earlier prompt of the demo held them.
func newFigures(answers []answer) figures {
	f := figures{requests: len(answers)}
	seen := make(map[wasabiridge.BlockHash]bool)
	needed := 0
	for _, a := range answers {
		f.prompt += a.usage.PromptTokens
		f.cached += a.usage.PromptTokensDetails.CachedTokens
		f.firsts = append(f.firsts, a.firstToken)
		chain := wasabiprefix.Of(wasabiridge.CacheRoot{}, []byte(a.prompt), blockTokens)
		needed += a.usage.PromptTokens - len(chain.Blocks)*blockTokens
		for _, block := range chain.Blocks {
			if !seen[block] {
				seen[block] = true
				needed += blockTokens
			}
		}
	}
	f.recomputed = max(0, f.prompt-f.cached-needed)
	sort.Slice(f.firsts, func(i, j int) bool { return f.firsts[i] < f.firsts[j] })
	return f
}

// quantile returns the time to first token that a share of answers kept to.
func (f figures) quantile(share float64) wasabiridge.Millis {
	if len(f.firsts) == 0 {
		return 0
	}
	return f.firsts[int(share*float64(len(f.firsts)-1))]
}

func (f figures) print(out io.Writer) {
	fmt.Fprintf(out, "\nrequests              %d\n", f.requests)
	fmt.Fprintf(out, "prefix hit rate       %.1f %% (%d of %d prompt tokens)\n",
		100*float64(f.cached)/float64(max(1, f.prompt)), f.cached, f.prompt)
	fmt.Fprintf(out, "time to first token   p50 %d ms, p95 %d ms\n", f.quantile(0.5), f.quantile(0.95))
	fmt.Fprintf(out, "recomputed tokens     %d\n", f.recomputed)
}
