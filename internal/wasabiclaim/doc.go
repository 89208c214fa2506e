// Package wasabiclaim lets a non-idempotent request run at most once.
//
// A claim is the right to run a request. There are two kinds of keys:
//
//   - A ticket is a key that an instance handed out. The claim lives in the
//     memory of the issuing instance, named in the ticket. It costs no write
//     and works while the platform's table is down. When the issuing life of
//     that instance is over, the outcome is unknown.
//   - A key of the caller's own choice is claimed by a row of the platform's
//     table. Rows of many requests are written in one transaction.
//
// No claim is ever taken over because time has passed: a holder may be paused
// between its claim and its send for any length of time. A claim ends only by
// the word of the instance that holds it.
//
// # Decisions and I/O
//
// ticketBook and rowBook are deterministic state machines. Keeper is the thin
// shell around them: one goroutine owns both books, one writes and reads the
// table, and one tells issuers of claims that were given up.
//
// # Usage
//
//	keeper := wasabiclaim.New(wasabiclaim.Options{
//		Self: "pos-1", Incarnation: incarnation, Secret: secret,
//		Table: table, Peers: peers, Clock: clock, Locate: locate,
//	})
//	go keeper.Run(ctx)
//	var out wasabiridge.ClaimOutcome
//	if out, err = keeper.Claim(ctx, query); err != nil {
//		return err
//	}
//	if out.State == wasabiridge.ClaimGranted {
//		// Call keeper.BeginSend right before the first byte is sent, and
//		// keeper.Finish exactly once at the end.
//	}
package wasabiclaim
