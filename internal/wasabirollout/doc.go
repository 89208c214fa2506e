// Package wasabirollout loads a new version of weights into the replicas of a
// pool.
//
// A rollout is stored in one row of the platform's table per pool. The instance
// that holds the lease of the pool drives it: it reads the state of the
// replicas, sends load orders to a few of them, and reads their state again.
// The progress of individual replicas is not stored, because every driver
// starts from the state that the replicas report.
//
// # Limits
//
// At most MaxLoads replicas load at once, loads begin at least LoadInterval
// apart, and no load begins if fewer than Pool.MinServing replicas would then
// be serving.
//
// # Rollback
//
// Versions never decrease. A rollback is a rollout of the former weights under
// a new version number, which an operator has to publish in the weight store
// first.
//
// # Usage
//
//	controller := wasabirollout.New(wasabirollout.Options{
//		Self: "pos-1", Incarnation: incarnation, Table: table, Clock: clock,
//		Weights: weights, Engines: wasabiorder.NewClient(nil), Config: current,
//	})
//	go controller.Run(ctx)
//	r, err = controller.Start(ctx, wasabiridge.Rollout{Pool: "answers", Model: "large", Weights: 7})
package wasabirollout
