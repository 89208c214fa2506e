package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabifetch"
)

// path is a kind of fetch. What fetches take and save is learned separately for each
// path of a pool.
type path struct {
	// stored reports that the source is a KV cache store, and crossing that it is in
	// another availability zone than the replica.
	stored, crossing bool
}

func pathOf(why string, zone wasabiridge.AvailabilityZone, r *replica) path {
	return path{stored: why == whyStored, crossing: zone != r.server.Zone}
}

// fetches are the estimates for the paths of a pool.
type fetches map[path]*wasabifetch.Estimator

func (f fetches) of(p path) *wasabifetch.Estimator {
	e := f[p]
	if e == nil {
		e = wasabifetch.New()
		f[p] = e
	}
	return e
}

// queriedStore returns the address of the store that a replica queries for a segment
// which no store is known to hold. It is empty when no store can be reached, or when
// fetches from there save nothing.
func (p *Placer) queriedStore(pl *pool, r *replica, key uint64) string {
	s := p.kvStores.storeOf(key)
	if s == nil || !pl.fetches.of(pathOf(whyStored, s.Zone, r)).Saves() {
		return ""
	}
	return s.Address
}

// fetchOf returns what it is expected to take to fetch the shared segments of a prompt,
// given the time of the transfer, and what it takes a replica of the given slowness to
// compute them.
func (p *prompt) fetchOf(held int, transfer, slowness float64) wasabifetch.Fetch {
	return wasabifetch.Fetch{
		Transfer:  fetchOverhead + transfer,
		Computing: (p.compute(p.tokens()-held, held) - p.compute(p.own, p.shared)) * slowness,
	}
}

// considerFetch considers a fetch from a source in the given zone, whose transfer takes
// the given time in milliseconds, unless such fetches have turned out to save nothing.
func (s *source) considerFetch(now wasabiridge.Millis, pl *pool, r *replica, pr *prompt, from sourceAddress, transfer float64) {
	e := pl.fetches.of(pathOf(from.why, from.zone, r))
	if !e.Useful(now) {
		s.unfetchable = s.recomputed > 0
		return
	}
	if e.Yield() < 1 {
		transfer = e.Time(now, pr.fetchOf(s.held, transfer, s.slowness)) - fetchOverhead
	}
	s.consider(pr, from.why, from.address, transfer)
}

// sourceAddress is a holder of segments that may be fetched.
type sourceAddress struct {
	why, address string
	zone         wasabiridge.AvailabilityZone
}

// fetchInFlight is the fetch of an attempt, if it has one.
type fetchInFlight struct {
	estimator *wasabifetch.Estimator
	expected  wasabifetch.Fetch
}

// fetchSent returns the fetch that a placement orders, and records that it is sent.
func (p *Placer) fetchSent(now wasabiridge.Millis, pool *pool, rep *replica, pr *prompt, pl wasabiridge.Placement) fetchInFlight {
	var zone wasabiridge.AvailabilityZone
	var transfer float64
	missing := float64(pr.shared - pl.ClaimedTokens)
	switch pl.Why {
	case whyStored:
		k := p.kvStores.stores[pl.ImportFrom]
		if k == nil {
			return fetchInFlight{}
		}
		zone = k.Zone
		transfer = k.wait(now) + missing*pr.transfer(pool.config.TokenBytes, k.LinkMegabits)*zoneFactor(zone, rep)
	case whyFetched:
		from := pool.replicaAt(pl.ImportFrom)
		if from == nil {
			return fetchInFlight{}
		}
		zone = from.server.Zone
		transfer = missing * pr.transfer(pool.config.TokenBytes, pool.config.LinkMegabits) * zoneFactor(zone, rep)
	default:
		return fetchInFlight{}
	}
	e := pool.fetches.of(pathOf(pl.Why, zone, rep))
	e.Sent(now)
	return fetchInFlight{estimator: e, expected: pr.fetchOf(pl.ClaimedTokens, transfer, rep.slowness(now))}
}

// replicaAt returns the replica with an address, or nil.
func (pl *pool) replicaAt(address string) *replica {
	for _, r := range pl.replicas {
		if wasabiaddress.HostPort(r.server.URL) == address {
			return r
		}
	}
	return nil
}

// observeFetch updates the estimate of the path with the time to the first byte. The
// time is no measurement when the prompt waited for other work for longer than the
// fetch was to save, or when the replica sent nothing to anyone meanwhile.
func (a *attempt) observeFetch(now wasabiridge.Millis) {
	f := a.fetch
	if f.estimator == nil || a.suspected || a.wait > f.expected.Computing-f.expected.Transfer {
		return
	}
	rest := (a.prompt.costs.Fixed() + a.prompt.compute(a.prompt.own, a.prompt.shared)) * a.slowness
	f.estimator.Observe(f.expected, float64(now-a.sent)-a.wait-rest)
}

// observeFetchEnd counts an attempt whose fetch may have made it fail. Attempts that
// break with their connection say nothing about the fetch.
func (a *attempt) observeFetchEnd(e wasabiridge.AttemptEnded) {
	if a.fetch.estimator != nil && !a.firstByteSeen && (e.Failed || e.FirstByteTimeout) {
		a.fetch.estimator.ObserveFailure()
	}
}

// recomputeLoss returns the loss of the tokens that are computed again.
func (s *source) recomputeLoss() float64 {
	if s.unfetchable {
		return computedCopyLoss * float64(s.recomputed)
	}
	return recomputeLoss * float64(s.recomputed)
}

// FetchEstimate is what the fetches of segments in a pool save. Stored means that they are
// from a KV cache store, and Crossing from another availability zone.
type FetchEstimate struct {
	Pool             wasabiridge.PoolID
	Stored, Crossing bool
	// Yield is the part of the expected saving that is seen, and Ordered the number of
	// fetches that this instance has ordered.
	Yield   float64
	Ordered int
}

// FetchEstimates returns the estimates for all pools, in no particular order.
func (p *Placer) FetchEstimates() []FetchEstimate {
	var out []FetchEstimate
	for id, pl := range p.pools {
		for path, e := range pl.fetches {
			out = append(out, FetchEstimate{Pool: id, Stored: path.stored, Crossing: path.crossing, Yield: e.Yield(), Ordered: e.Ordered()})
		}
	}
	return out
}
