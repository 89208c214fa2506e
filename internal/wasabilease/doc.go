// Package wasabilease lets one instance at a time do what only one may do,
// such as give orders to model engines.
//
// A lease is one row of the platform's table. It names its holder and a
// fencing number that rises with every new holder. No clocks are compared:
// the holder counts its time from before it sends a write, and a contender
// takes a lease over only after it has seen the row unchanged for longer than
// that time by its own clock. So the belief of the old holder has ended before
// a new holder begins, as long as both clocks run at nearly the same rate.
//
// # What a lease does not give
//
// A process can be stopped between its look at the lease and its send, and a
// message can be late. Receivers that remember fencing numbers refuse such
// messages. For receivers that do not, package wasabiorder narrows the gap;
// docs/design/lease.md says what is left.
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
