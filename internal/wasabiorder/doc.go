// Package wasabiorder gives orders to model engines and brings each engine to
// a target: weights, an adapter or a role.
//
// An order can be lost, its answer can be lost, it can come late, and it can
// come from an instance whose lease is over. A Course therefore never trusts
// an answer. It reads the engine back, orders when the engine is not what it
// should be, and ends only when the engine itself says so.
//
// # Fencing
//
// Every order carries the fencing number of a lease. Two kinds of engines are
// told apart by BackendServer.ChecksFencing:
//
//   - An engine that checks refuses orders with a number below the highest it
//     has seen. A course ends only when the engine knows the number of the
//     current lease, so that no order of an earlier holder can follow.
//   - An engine that does not check carries out whatever comes. A course sends
//     only while the rest of the lease exceeds the order's time limit plus a
//     margin, so that the order is over before the next holder begins, and it
//     reads the engine a second time, later, before it ends.
//
// # Usage
//
//	course := wasabiorder.NewCourse(server, order, wasabiorder.Timing{})
//	for _, effect := range course.Handle(now, grant, wasabiorder.Ticked{}) {
//		// Carry out ReadState and SendOrder through an EngineOperator and
//		// hand the results back as StateRead and OrderAnswered.
//	}
//	if course.Status() == wasabiorder.Reached {
//		// The engine is what it should be.
//	}
package wasabiorder
