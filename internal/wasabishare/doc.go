// Package wasabishare shares a pool that is short of capacity among the client accounts
// that ask for it.
//
// A Limiter wraps another one. As long as a pool has capacity for all, it passes every
// decision through and only counts. A pool is shared when requests are refused for lack of
// capacity, when more is asked for than nine tenths of the capacity, or when another
// instance reports one of these. Then:
//
//   - The most urgent requests get first what they ask for. Every less urgent rank keeps a
//     part of the capacity.
//   - Within a rank each account is served up to the same level, at all instances
//     together. An account that asks for less gets all that it asks for. Of one that asks
//     for more, each instance admits the same fraction.
//   - A request within its share for which no server has capacity waits a bounded time.
//   - A refused request gets a Retry-After time, if there will be capacity for it then, and
//     that capacity is kept for it.
//
// Demand is counted in work, which is computing time, so that large and small requests
// count by what they take. Instances tell each other their demand and the accounts that ask
// for the most. The messages are states: a lost one is replaced by the next.
//
// A Limiter is a deterministic state machine: time is passed in, and random numbers come
// from a seed.
//
// # Usage
//
//	l := wasabishare.New(wasabishare.Options{Self: "pos-1", Gauge: gauge, Next: limiter, Seed: seed})
//	core := wasabicore.New(wasabicore.Options{Placer: placer, Limiter: l})
//	...
//	demands, returns := l.TakeUpdate(now) // for the next state update to the other instances
package wasabishare
