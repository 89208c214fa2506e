// Command claims shows how a booking runs at most once. The first claim of a ticket is
// granted, a repeat while it runs is reported as running, and a later repeat gets the
// first answer. The platform's store is unavailable throughout.
//
//	go run ./examples/claims
package main

import (
	"context"
	"fmt"
	"log"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclaim"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

var states = map[wasabiridge.ClaimState]string{
	wasabiridge.ClaimGranted:     "granted: run it",
	wasabiridge.ClaimRunning:     "an earlier request is still running",
	wasabiridge.ClaimAnswered:    "already answered",
	wasabiridge.ClaimUnknown:     "may have run; the answer is unknown",
	wasabiridge.ClaimMismatch:    "the key was used for another request",
	wasabiridge.ClaimUnavailable: "not decided; did not run",
}

func main() {
	clock := wasabiclock.System()
	table := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock, Plan: wasabifault.Plan{Unavailable: 1}})
	controller := wasabiclaim.New(wasabiclaim.Options{Self: "pos-1", Incarnation: 1, Secret: []byte("shared by all instances"), Table: table, Clock: clock})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go controller.Run(ctx)

	booking := wasabiridge.ClaimQuery{Account: "liftwell", Key: controller.Ticket("liftwell"), Request: "r1", Holder: "pos-1", Incarnation: 1, Digest: 42}
	show(ctx, controller, "first request ", booking)
	show(ctx, controller, "repeat at once", booking)
	answer := wasabiridge.Answer{Status: 201, ContentType: "application/json", Body: []byte(`{"van":"7"}`)}
	if err := controller.Finish(ctx, wasabiridge.ClaimResult{Query: booking, Disposition: wasabiridge.Ran, Answer: answer}); err != nil {
		log.Fatal(err)
	}
	show(ctx, controller, "repeat later  ", booking)
	booking.Digest = 43
	show(ctx, controller, "another body  ", booking)
}

// show claims a booking and prints the state of the claim.
func show(ctx context.Context, controller *wasabiclaim.Controller, what string, q wasabiridge.ClaimQuery) {
	out, err := controller.Claim(ctx, q)
	if err != nil {
		log.Fatal(err)
	}
	fmt.Printf("%s  %s %s\n", what, states[out.State], out.Answer.Body)
}
