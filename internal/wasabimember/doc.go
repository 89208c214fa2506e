// Package wasabimember tracks which other instances are alive or leaving. It
// detects changes sooner than the platform's instance list shows them, at a
// cost for each instance that does not grow with their number.
//
// # How it works
//
// A Machine is a deterministic state machine. Every instance has a position on
// a few hash rings, which order the instances by hashes of their names, and
// sends heartbeats to its successors on the rings in rotation. So each instance
// is watched by as many others as there are rings, and the connections stay the
// same. A successor that does not answer is suspected; its other watchers are
// asked to probe it, and any of them that still reaches it confirms that.
// Without a confirmation it is declared dead.
//
// Updates (deaths, departures, new instances, a new configuration, backend
// servers that leave) are gossiped: an instance to which an update is new sends
// it to all its successors at once, within a token bucket, and repeats it in
// its following heartbeats. Membership views are compared by a digest; only
// when digests differ are a few members sent, in rotation through the table.
//
// An instance that receives an update about its own death raises its sequence
// number, and its answer supersedes that update. A death that is reported more
// than a few seconds late is never applied to a member that is alive in the
// local view: it is verified by probing that member. So when two sides of a
// network partition reconnect, they do not declare each other's members dead.
//
// Instances that disagree about the members lose efficiency only. Nothing that
// needs agreement depends on this package.
//
// # Usage
//
//	controller := wasabimember.NewController(wasabimember.ControllerOptions{
//		Self: entry, Incarnation: incarnation, Seed: seed,
//		Clock: clock, List: platform, Peers: client,
//		OnReceive: configController.Receive,
//	})
//	go controller.Run(ctx)
//	reply, err := controller.HandleExchange(ctx, heartbeat)
//	members := controller.Alive()
package wasabimember
