// Package wasabiorder sends orders to model engines and drives each engine to a target:
// weights, an adapter or a role.
//
// An order or its response can be lost, an order can arrive late, and it can come from
// an instance whose lease has expired. A Reconciler therefore never relies on the
// response. It reads the state of the engine back, sends an order when the engine is
// not at its target, and is done only when the engine itself reports the target.
//
// # Fencing
//
// Every order carries the fencing number of a lease. BackendServer.ChecksFencing
// distinguishes two kinds of engines:
//
//   - An engine that checks refuses orders with a number below the highest it
//     has seen. A Reconciler is done only when the engine has recorded the number of
//     the current lease, so that no order of an earlier holder can follow.
//   - An engine that does not check carries out every order. A Reconciler sends one
//     only while the remaining lease exceeds the time limit of the order plus a
//     margin, so that the order has ended before the next holder begins. It reads
//     the engine a second time, later, before it is done.
//
// # Usage
//
//	reconciler := wasabiorder.NewReconciler(server, order, wasabiorder.Timing{})
//	for _, effect := range reconciler.Handle(now, grant, true, wasabiorder.Ticked{}) {
//		// Carry out ReadState and SendOrder through an EngineOperator and
//		// pass the results back as StateResult and OrderResult.
//	}
//	if reconciler.Status() == wasabiorder.Reached {
//		// The engine is at its target.
//	}
package wasabiorder
