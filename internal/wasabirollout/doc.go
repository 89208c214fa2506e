// Package wasabirollout brings a new version of weights to the replicas of a
// pool.
//
// A rollout is one row of the platform's table per pool. One instance, the
// holder of the pool's lease, drives it: it reads the replicas, orders a few of
// them to load, and reads them again. Nothing of the progress needs to be
// kept, because every driver starts from what the replicas say of themselves.
//
// # Limits
//
// At most MaxLoads replicas load at once, loads begin at least LoadInterval
// apart, and no load begins when fewer than Pool.MinServing replicas would
// serve meanwhile.
//
// # Rollback
//
// Versions only rise. A rollback is a rollout of the former weights under a new
// number, which an operator publishes in the weight store first.
//
// # Usage
//
//	keeper := wasabirollout.New(wasabirollout.Options{
//		Self: "pos-1", Incarnation: incarnation, Table: table, Clock: clock,
//		Weights: weights, Engines: wasabiorder.NewClient(nil), Config: current,
//	})
//	go keeper.Run(ctx)
//	r, err = keeper.Start(ctx, wasabiridge.Rollout{Pool: "answers", Model: "large", Weights: 7})
package wasabirollout
