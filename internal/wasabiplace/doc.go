// Package wasabiplace chooses the backend server for each request, by the
// expected cache hits and the load of the servers.
//
// # Candidates
//
// In a small pool every server is a candidate. In a large pool the candidates
// are the estimated holders of the request's prefix, the homes of some of its
// prefix levels, and two random servers. A prefix level is the prefix that ends
// with a given block. The homes of a level are its preferred servers by
// rendezvous hashing of the level over the pool, so that all instances agree on
// them without exchanging messages. The number of homes of a level rises and
// falls with its share of the recent requests.
//
// # Score
//
// The score of a candidate, in milliseconds, is the expected time to the first
// token (network distance, queueing, and computing the uncached tokens at the
// estimated cost per token) plus a price for every token that is computed,
// which depends on the objective of the rule. The lowest score wins. Nearly
// equal scores are decided at random, so that instances with the same state do
// not all choose the same server.
//
// The queue of a server is estimated from its last load report, the time since
// that report was taken and the attempts that this instance has sent since.
//
// # Prefixes in computation
//
// From the moment when a request is sent, its levels count as held by its
// server. Later requests with the same prefix follow it into the same queue and
// find the prefix computed when they are started. For engines that look up
// their cache before a request reaches the head of the queue, Options.MaxPrefixWait
// delays such requests until the prefix is computed.
//
// # Usage
//
//	placer := wasabiplace.New(wasabiplace.Options{Seed: 1, Zone: "san-fernando"})
//	placer.Observe(now, wasabiridge.ConfigAdopted{Config: cfg})
//	if p, ok := placer.Place(now, wasabiridge.PlaceQuery{Request: r, Pool: pool}); ok {
//		placer.Sent(now, r, attempt, p)
//	}
//
// A Placer is deterministic for a given seed. It is not safe for concurrent
// use.
package wasabiplace
