package wasabibackend_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
)

// Guards against duplicate or missing tokens when a stream is resumed at another
// engine after the first one failed. Streams are broken at random points and in
// random ways, repeatedly, until the answer is complete.
func TestResumedStreamHasEveryTokenOnce(t *testing.T) {
	g := NewWithT(t)
	engines := make([]*wasabiengine.Engine, 2)
	for i := range engines {
		engines[i] = wasabiengine.New(wasabiengine.Options{Clock: wasabiclock.System()})
		g.Expect(engines[i].Start("127.0.0.1:0")).To(Succeed())
		defer engines[i].Close()
	}
	runner := wasabibackend.New(wasabibackend.Options{})
	defer runner.Close()
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		length := rapid.IntRange(1, 40).Draw(t, "length")
		a := streamOf(engines[0].Backend())
		a.Body = fmt.Appendf(nil, `{"model":"m","stream":true,"max_tokens":%d,"prompt":"code E%d"}`, length, length)
		a.Path = "/v1/completions"
		a.Weights = 1
		_, want := run(runner, a)
		g.Expect(want.ids).To(HaveLen(length))

		got := &sink{}
		ended := wasabiridge.AttemptEnded{}
		breaks := rapid.SliceOfN(rapid.Custom(drawFault), 0, 5).Draw(t, "breaks")
		for i := 0; i <= len(breaks); i++ {
			a.ID++
			a.ResumeFrom = ended.Delivered
			engine := engines[i%len(engines)]
			a.Backend = engine.Backend()
			if i < len(breaks) {
				breaks[i].Token += a.ResumeFrom
				engine.Inject(breaks[i])
			}
			if ended = runner.Run(context.Background(), a, got); ended.Result == wasabiridge.AttemptCompleted {
				break
			}
			g.Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
		}
		g.Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
		g.Expect(ended.Delivered).To(Equal(length))
		g.Expect(got.ids).To(Equal(want.ids))
		g.Expect(got.text.String()).To(Equal(want.text.String()))
	})
}

func drawFault(t *rapid.T) wasabiserver.Fault {
	return wasabiserver.Fault{
		Point: rapid.SampledFrom([]wasabiserver.FaultPoint{
			wasabiserver.BeforeHeaders, wasabiserver.AfterHeaders, wasabiserver.AtToken,
			wasabiserver.AtToken, wasabiserver.AtToken, wasabiserver.BeforeEndMarker,
		}).Draw(t, "point"),
		Kind: rapid.SampledFrom([]wasabiserver.FaultKind{
			wasabiserver.Abort, wasabiserver.TruncatedEnd, wasabiserver.BrokenChunking,
		}).Draw(t, "manner"),
		Token: rapid.IntRange(0, 12).Draw(t, "token"),
	}
}
