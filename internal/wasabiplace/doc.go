// Package wasabiplace chooses the backend server for each request.
//
// # Candidates
//
// In a small pool every server is a candidate. In a large one the candidates
// are the believed holders of the request's prefix levels, the homes of some
// of its levels and two servers at random. Homes follow from rendezvous
// hashing of the level over the pool, so every instance knows the same homes
// without a message. A level whose share of the requests grows gets more
// homes, and loses them as it cools.
//
// # Score
//
// The score of a candidate, in milliseconds, is the expected time to the first
// token (distance, queue, and uncached tokens at the learned cost) plus the
// objective's price for every token that is computed. The lowest score wins;
// scores that are nearly equal are decided at random, so that instances with
// the same picture do not send everything to the same server.
//
// The queue of a server is its last report, moved on by the time since it was
// taken and by what this instance sent since.
//
// # Prefixes that are being computed
//
// Once a request was sent, its levels count as held by that server. Later
// requests with the same prefix follow it there, behind it in the same queue,
// and find the prefix when their turn comes. For engines that look up their
// cache before the turn comes, Options.JoinLimit holds such requests back
// instead until the prefix is computed.
//
// # Usage
//
//	placer := wasabiplace.New(wasabiplace.Options{Seed: 1, Zone: "san-fernando"})
//	placer.Observe(now, wasabiridge.ConfigAdopted{Config: cfg})
//	if p, ok := placer.Place(now, wasabiridge.PlaceQuery{Request: r, Pool: pool}); ok {
//		placer.Sent(now, r, attempt, p)
//	}
//
// A Placer is deterministic for a seed and not safe for concurrent use.
package wasabiplace
