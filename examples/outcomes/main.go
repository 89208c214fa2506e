// Command outcomes records the outcomes of requests on three instances, one of which
// crashes, and writes the report of the quarter as a web page.
//
//	go run ./examples/outcomes > report.html
package main

import (
	"context"
	"log"
	"math/rand/v2"
	"os"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiobject"
	"github.com/wasabiridge/wasabiridge/internal/wasabioutcome"
	"github.com/wasabiridge/wasabiridge/internal/wasabireport"
)

const (
	// start is 2026-10-01 in UTC.
	start = wasabiridge.Millis(1_790_812_800_000)
	days  = 40
	step  = 2 * wasabiridge.Minute
)

func main() {
	clock := wasabiclock.NewVirtual(start)
	store := wasabiobject.NewMemory(wasabiobject.MemoryOptions{Clock: clock})
	random := rand.New(rand.NewPCG(1, 1))
	ledgers := []*wasabioutcome.Ledger{}
	for i, id := range []wasabiridge.InstanceID{"pos-1", "sfo-1", "ari-1"} {
		o := wasabioutcome.Options{Instance: id, Incarnation: 1}
		ledgers = append(ledgers, wasabioutcome.NewLedger(o, start, rand.New(rand.NewPCG(2, uint64(i)))))
	}
	for clock.Now() < start+days*wasabiridge.Day {
		if clock.Now() == start+20*wasabiridge.Day+7*wasabiridge.Hour {
			ledgers = ledgers[:2] // The third instance crashes.
		}
		for _, l := range ledgers {
			l.Add(sample(random, clock.Now()))
			if job, ready := l.Next(clock.Now()); ready {
				l.Done(clock.Now(), job.Run(context.Background(), store))
			}
		}
		clock.Advance(step)
	}
	reader := wasabioutcome.Reader{Store: store, Clock: clock, Targets: targets, ReadsPerSecond: 1_000_000}
	report, err := reader.ReadOutcomes(context.Background(), wasabiridge.OutcomeQuery{Quarter: "2026Q4"})
	if err != nil {
		log.Fatal(err)
	}
	if err := wasabireport.WriteHTML(os.Stdout, report); err != nil {
		log.Fatal(err)
	}
}

// sample returns a random outcome.
func sample(random *rand.Rand, now wasabiridge.Millis) wasabiridge.Outcome {
	o := wasabiridge.Outcome{Account: "liftwell", Rule: "manuals", Model: "stairlift", At: now, Disposition: wasabiridge.Ran}
	if random.IntN(4) == 0 {
		o.Account, o.Rule, o.Model = "selam-mix", "reviews", "rights"
	}
	o.PromptTokens, o.OutputTokens = 20_000+random.IntN(20_000), 200
	o.CachedTokens = o.PromptTokens * (90 + random.IntN(10)) / 100
	o.WastedTokens = random.IntN(400)
	o.FirstToken = wasabiridge.Millis(60 + 60*random.ExpFloat64())
	o.BetweenMicros = int64(20_000 + 4000*random.ExpFloat64())
	if random.IntN(500) == 0 {
		o.Refused, o.Disposition = wasabiridge.RefusedOverload, wasabiridge.NotRun
	}
	return o
}

func targets() []wasabiridge.Target {
	bound := func(v float64) *float64 { return &v }
	return []wasabiridge.Target{
		{Measure: "ttft_p95", AtMost: bound(310)},
		{Measure: "ttft_p99", Account: "liftwell", AtMost: bound(250)},
		{Measure: "hit_rate", AtLeast: bound(0.9)},
		{Measure: "recomputed_share", Account: "selam-mix", AtMost: bound(0.01)},
		{Measure: "refused_share", AtMost: bound(0.005)},
		{Measure: "doubled", AtMost: bound(0)},
		{Measure: "cut", AtMost: bound(0)},
	}
}
