// Command placement places prompts that share a manual on nine engines. All go to the
// engine that has the manual in its prefix cache, until that engine restarts with an
// empty cache.
//
//	go run ./examples/placement
package main

import (
	"fmt"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplace"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

const blockTokens = 256

func main() {
	pool := wasabiridge.Pool{ID: "answers", BlockTokens: blockTokens}
	for i := range 9 {
		id := wasabiridge.BackendServerID(fmt.Sprintf("answer-%d", i+1))
		pool.Backends = append(pool.Backends, wasabiridge.BackendServer{ID: id, Kind: wasabiridge.BackendEngine, Zone: "port-of-spain"})
	}
	placer := wasabiplace.New(wasabiplace.Options{Seed: 1, Zone: "port-of-spain"})
	placer.Observe(0, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 1, Pools: []wasabiridge.Pool{pool}}})
	manual := strings.Repeat("Fault E4: check the footrest sensor. ", 1200)
	now, incarnation := wasabiridge.Millis(0), wasabiridge.Incarnation(1)
	for i, question := range []string{"What is E4?", "Where is the sensor?", "Which tool?", "After a restart of the engine: what is E4?"} {
		root := wasabiridge.CacheRoot{Account: "liftwell", Model: "stairlift"}
		chain := wasabiprefix.NewChain(root, []byte(manual+question), blockTokens)
		request := wasabiridge.Request{ID: wasabiridge.RequestID(fmt.Sprint(i)), Account: "liftwell", Chain: chain}
		p, found := placer.Place(now, wasabiridge.PlaceQuery{Request: request, Pool: pool})
		if !found {
			fmt.Println("no engine is eligible")
			return
		}
		fmt.Printf("%-45s %s, chosen as %s, %d of %d tokens expected in its cache\n", question, p.Backend.ID, p.Why, p.ClaimedTokens, chain.Tokens)
		finish(placer, now, request, p, incarnation)
		now += wasabiridge.Second
		if i == 2 {
			incarnation = 2
			placer.Observe(now, wasabiridge.LoadReported{Report: wasabiridge.LoadReport{Backend: p.Backend.ID, Incarnation: incarnation, MeasuredAt: now}})
		}
	}
}

// finish reports a completed attempt to the placer.
func finish(placer *wasabiplace.Placer, now wasabiridge.Millis, r wasabiridge.Request, p wasabiridge.Placement, incarnation wasabiridge.Incarnation) {
	attempt := wasabiridge.AttemptID(now + 1)
	placer.Sent(now, r, attempt, p)
	placer.Observe(now+100, wasabiridge.AttemptFirstToken{Request: r.ID, Attempt: attempt})
	placer.Observe(now+500, wasabiridge.AttemptEnded{
		Request: r.ID, Attempt: attempt, Backend: p.Backend.ID, Result: wasabiridge.AttemptCompleted,
		Usage: wasabiridge.Usage{PromptTokens: r.Chain.Tokens, CachedTokens: p.ClaimedTokens, OutputTokens: 20, Incarnation: incarnation},
	})
}
