// Command quarantine shows how a request that crashes every server that runs it is
// distinguished from one that only ran at the same time, and how two instances share
// their evidence.
//
//	go run ./examples/quarantine
package main

import (
	"fmt"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
)

var verdicts = map[wasabiridge.QuarantineVerdict]string{
	wasabiridge.QuarantineFree:     "free",
	wasabiridge.QuarantineSuspect:  "suspect: sent to one server, the same for all instances",
	wasabiridge.QuarantineDeferred: "deferred: trial in progress elsewhere, retry later",
	wasabiridge.QuarantineBlocked:  "blocked: sent to no server",
}

func main() {
	first := wasabiquarantine.New(wasabiquarantine.Options{Self: "pos-1"})
	second := wasabiquarantine.New(wasabiquarantine.Options{Self: "pos-2"})
	fatal := wasabiridge.Request{Fingerprint: 1, Account: "liftwell", Model: "m"}
	bystander := wasabiridge.Request{Fingerprint: 2, Account: "liftwell", Model: "m"}
	now, attempt := wasabiridge.Millis(0), wasabiridge.AttemptID(0)
	send := func(r wasabiridge.Request, server wasabiridge.BackendServerID, end wasabiridge.AttemptEnded) {
		attempt++
		first.Sent(now, r, attempt, wasabiridge.BackendServer{ID: server})
		now += 100
		end.Attempt = attempt
		first.Observe(now, end)
		update := first.TakeUpdates(now)
		second.Observe(now, wasabiridge.CrashesReceived{From: "pos-1", Crashes: append(update.Narrow, update.Wide...)})
		fmt.Printf("after %s: request 1 is %s; request 2 is %s\n", server, verdicts[second.Check(now, fatal)], verdicts[second.Check(now, bystander)])
	}
	ended := wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken, ServerCrashed: true}
	for _, server := range []wasabiridge.BackendServerID{"e1", "e2"} {
		send(fatal, server, ended)
	}
	send(bystander, "e2", ended)
	send(bystander, "e3", wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCompleted})
	send(fatal, "e4", ended)
}
