// Package wasabilease implements leases, so that one instance at a time does
// what only one may do, such as sending commands to model engines.
//
// A lease is one row of the platform's table. The row names the holder and a
// fencing number that rises with every new holder. No clocks are compared: the
// holder counts the lease term from before it sends a write, and a contender
// takes a lease over only after it has seen the row unchanged for longer than
// that term by its own clock. So the old holder's term has ended before a new
// holder's begins, as long as both clocks run at nearly the same rate.
//
// # Restores of the store
//
// The store may be restored from an earlier copy. The row then names an earlier holder, or
// none, and fencing numbers go back. The upper bits of a fencing number therefore hold the
// epoch of the store, and a row of an earlier epoch is taken over only once every term of
// that epoch has ended. The holder itself takes its lease again under a new number.
//
// # What a lease does not guarantee
//
// A process can be paused between its check of the lease and its send, and a
// message can be delayed. Receivers that remember fencing numbers reject such
// messages. For receivers that do not, package wasabiorder narrows the gap;
// docs/design/lease.md describes the remaining risk.
//
// # Usage
//
//	lease := wasabilease.New(wasabilease.Options{
//		Name: "rollout/answers", Self: "pos-1", Incarnation: incarnation,
//		Table: table, Clock: clock,
//	})
//	go lease.Run(ctx)
//	lease.Contend(true)
//	if grant := lease.Grant(); grant.Covers(clock.Now(), timeLimit) {
//		// The lease lasts for the whole time limit.
//	}
package wasabilease
