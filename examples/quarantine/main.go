// Command quarantine shows how a request that ends every server that runs it is told from
// one that only ran beside it, and how two instances share what they know.
//
//	go run ./examples/quarantine
package main

import (
	"fmt"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
)

var standings = map[wasabiridge.Standing]string{
	wasabiridge.StandingFree:     "free",
	wasabiridge.StandingSuspect:  "suspect: to one server, the same at all instances",
	wasabiridge.StandingDeferred: "others try it: come back soon",
	wasabiridge.StandingBarred:   "barred: reaches no server",
}

func main() {
	first := wasabiquarantine.New(wasabiquarantine.Options{Self: "pos-1"})
	second := wasabiquarantine.New(wasabiquarantine.Options{Self: "pos-2"})
	fatal := wasabiridge.Request{Fingerprint: 1, Account: "liftwell", Model: "m"}
	beside := wasabiridge.Request{Fingerprint: 2, Account: "liftwell", Model: "m"}
	now, attempt := wasabiridge.Millis(0), wasabiridge.AttemptID(0)
	send := func(r wasabiridge.Request, server wasabiridge.BackendServerID, end wasabiridge.AttemptEnded) {
		attempt++
		first.Sent(now, r, attempt, wasabiridge.BackendServer{ID: server})
		now += 100
		end.Attempt = attempt
		first.Observe(now, end)
		news := first.TakeNews(now)
		second.Observe(now, wasabiridge.CrashesHeard{From: "pos-1", Crashes: append(news.Narrow, news.Wide...)})
		fmt.Printf("after %s: request 1 is %s; request 2 is %s\n", server, standings[second.Judge(now, fatal)], standings[second.Judge(now, beside)])
	}
	ended := wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken, ServerEnded: true}
	for _, server := range []wasabiridge.BackendServerID{"e1", "e2"} {
		send(fatal, server, ended)
	}
	send(beside, "e2", ended)
	send(beside, "e3", wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCompleted})
	send(fatal, "e4", ended)
}
