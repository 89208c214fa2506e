// Package wasabimember knows which other instances are alive or leaving,
// sooner than the platform's list does, at a cost for each instance that does
// not grow with their number.
//
// # How it works
//
// A Machine is a deterministic state machine. Every instance lies on a few
// rings that are ordered by hashes of the names, and exchanges heartbeats with
// its successor on each ring in turn. So each instance is watched by as many
// others as there are rings, over connections that stay the same. A successor
// that does not answer is suspected; its other predecessors are asked, and any
// of them that still reaches it vouches for it. Without a voucher it is given
// up.
//
// News (deaths, departures, new instances, a new configuration, backend
// servers that leave) is handed on to all successors at once by whoever did
// not know it, within an allowance, and rides on the following heartbeats.
// Members are compared by a digest; only when digests differ are a few members
// sent in turn.
//
// An instance that hears of its own death raises its sequence number, and that
// outdoes the news. News of a death that is older than a few seconds is never
// believed about a member that counts as alive here: it is checked by asking
// that member. So two parts of the system that were cut from each other do not
// bury each other's members when they meet again.
//
// Disagreement between instances costs efficiency only. Nothing that must be
// agreed rests on this package.
//
// # Usage
//
//	keeper := wasabimember.NewKeeper(wasabimember.KeeperOptions{
//		Self: entry, Incarnation: incarnation, Seed: seed,
//		Clock: clock, List: platform, Peers: client,
//		OnHeard: configKeeper.Heard,
//	})
//	go keeper.Run(ctx)
//	reply, err := keeper.HandleExchange(ctx, heartbeat)
//	members := keeper.Alive()
package wasabimember
