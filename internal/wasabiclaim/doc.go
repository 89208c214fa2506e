// Package wasabiclaim ensures that a non-idempotent request runs at most once.
//
// A claim is the right to run the request with an idempotency key. There are two
// kinds of keys:
//
//   - A ticket is a key that an instance issued. Its claim is held in the memory
//     of the issuing instance, which the ticket names. It costs no write and
//     works while the platform's table is down. After the issuing instance
//     restarted or is gone, the outcome is unknown.
//   - A key of the caller's own choice is claimed by a row of the platform's
//     table. Rows of many requests are written in one transaction.
//
// A claim never times out: its holder may be paused between the claim and the
// send for any length of time. Only the instance that holds a claim can end it.
//
// # Decisions and I/O
//
// ticketMachine and rowMachine are deterministic state machines. Controller does the
// I/O for them. A mutex guards the ticket machine, and one goroutine owns the row
// machine. Others read and write the table, and notify issuers of the ends of
// requests that they did not receive at first.
//
// # Usage
//
//	controller := wasabiclaim.New(wasabiclaim.Options{
//		Self: "pos-1", Incarnation: incarnation, Secret: secret,
//		Table: table, Peers: peers, Clock: clock, PeerAddress: locate,
//	})
//	go controller.Run(ctx)
//	var out wasabiridge.ClaimOutcome
//	if out, err = controller.Claim(ctx, query); err != nil {
//		return err
//	}
//	if out.State == wasabiridge.ClaimGranted {
//		// Call controller.BeginSend right before the first byte is sent, and
//		// controller.Finish exactly once at the end.
//	}
package wasabiclaim
