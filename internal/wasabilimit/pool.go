package wasabilimit

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// useDecay is the time constant of the use and demand of accounts.
	useDecay = 20 * wasabiridge.Second
	// overShareFactor is how many times its fair use the demand of an account
	// must be for the account to be held to its share.
	overShareFactor = 4
	// overShareRequests is the number of requests by which it must be higher in
	// addition, so that a few requests of a small account do not count as
	// excess.
	overShareRequests = 6
	// maxExtraReleases is the number of requests that accounts above their
	// share may send beyond it between two reviews. Load reports arrive about
	// as often, and other instances do not see the requests sent in between.
	maxExtraReleases = 1
	// idleDemand is the demand below which an account is dropped.
	idleDemand = 1.0
	// waitingSmoothing is the weight of the latest reports in the average of
	// waiting requests.
	waitingSmoothing = 0.3
)

// usage is an exponentially decaying sum. The zero value is zero.
type usage struct {
	sum float64
	at  wasabiridge.Millis
}

func (u *usage) now(now wasabiridge.Millis) float64 {
	return u.sum * math.Exp(-float64(now-u.at)/float64(useDecay))
}

func (u *usage) add(now wasabiridge.Millis, amount float64) {
	u.sum = u.now(now) + amount
	u.at = now
}

// account is the demand and use of one client account at one pool.
type account struct {
	id     wasabiridge.ClientAccountID
	share  float64
	demand usage
	used   usage
	// exceedsShare is set if the account's demand is far above its share.
	// fairUse is the use that corresponds to its share.
	exceedsShare bool
	fairUse      float64
	// open counts the queued requests.
	open int
}

// totals sums up the servers of a pool that accept requests.
type totals struct {
	limit float64
	room  float64
	own   int
	count int
	// waiting counts the requests that wait inside, from the last reports.
	waiting int
}

// pool distributes the room of its servers among the accounts.
type pool struct {
	id       wasabiridge.PoolID
	options  *Options
	servers  []*server
	accounts map[wasabiridge.ClientAccountID]*account
	// accountOrder lists the accounts in order of arrival.
	accountOrder []*account
	queue        fairQueue
	released     int
	total        totals
	capacity     capacity
	used         usage
	// meanWaiting is the average number of requests that wait inside a server.
	meanWaiting float64
	// extraReleased counts the requests that accounts above their share were
	// granted since the last review.
	extraReleased int
}

func newPool(o *Options) *pool {
	return &pool{options: o, accounts: make(map[wasabiridge.ClientAccountID]*account)}
}

func (p *pool) serving() bool { return p.total.count > 0 }

// refresh recomputes the sums over the servers, which also removes rounding
// errors.
func (p *pool) refresh() {
	p.total = totals{}
	for _, s := range p.servers {
		s.counted = totals{}
		p.changed(s)
	}
}

// changed updates the sums after a change of one server.
func (p *pool) changed(s *server) {
	now := s.totals()
	p.total = totals{
		limit: p.total.limit + now.limit - s.counted.limit,
		room:  p.total.room + now.room - s.counted.room,
		own:   p.total.own + now.own - s.counted.own,
		count: p.total.count + now.count - s.counted.count,

		waiting: p.total.waiting + now.waiting - s.counted.waiting,
	}
	s.counted = now
}

func (p *pool) account(id wasabiridge.ClientAccountID, share float64) *account {
	a, ok := p.accounts[id]
	if !ok {
		a = &account{id: id}
		p.accounts[id] = a
		p.accountOrder = append(p.accountOrder, a)
	}
	a.share = share
	if share <= 0 {
		a.share = 1
	}
	return a
}

// mayRelease reports whether a request of the account may be sent now. An
// account far above its share is held to it as soon as more would make other
// accounts wait. When no server is left, every request is released, so that its
// caller is answered at once or another pool takes it.
func (p *pool) mayRelease(now wasabiridge.Millis, a *account) bool {
	if !p.serving() {
		return true
	}
	others := max(1, float64(p.options.Instances)/2)
	room := p.total.room - others*float64(p.released)
	if a.exceedsShare && a.used.now(now) > a.fairUse {
		return p.meanWaiting < p.options.ExcessMaxWaiting && p.extraReleased < maxExtraReleases && room >= p.options.ExcessMinFree*p.total.limit
	}
	return room >= 1 || float64(p.total.own+p.released) < p.total.limit/float64(p.options.Instances)
}

// nextItem returns the queued request to release next, or nil if none may be
// released.
func (p *pool) nextItem(now wasabiridge.Millis) *item {
	if p.queue.length == 0 {
		return nil
	}
	return p.queue.next(func(a *account) bool { return p.mayRelease(now, a) })
}

// charge records the cost of a released request.
func (p *pool) charge(now wasabiridge.Millis, it *item) {
	p.queue.charge(now, it)
	if a := it.account; a.exceedsShare && a.used.now(now) > a.fairUse {
		p.extraReleased++
	}
	it.account.used.add(now, it.cost)
	p.used.add(now, it.cost)
	p.capacity.drain.add(now, it.cost)
}

// review applies the latest load reports.
func (p *pool) review(now wasabiridge.Millis) {
	p.extraReleased = 0
	p.capacity.review(now, p.queue.length > 0)
	p.refresh()
	p.meanWaiting += waitingSmoothing * (float64(p.total.waiting)/float64(max(1, p.total.count)) - p.meanWaiting)
}

// reviewAccounts marks accounts whose demand is far above their share and drops
// idle ones. Accounts are visited in order of arrival, so that sums of
// floating-point numbers are reproducible.
func (p *pool) reviewAccounts(now wasabiridge.Millis, meanCost float64) {
	kept, shares := p.accountOrder[:0], 0.0
	for _, a := range p.accountOrder {
		if a.demand.now(now) < idleDemand && a.open == 0 {
			delete(p.accounts, a.id)
			continue
		}
		kept = append(kept, a)
		shares += a.share
	}
	clear(p.accountOrder[len(kept):])
	p.accountOrder = kept
	used := p.used.now(now)
	for _, a := range kept {
		a.fairUse = used * a.share / shares
		a.exceedsShare = a.demand.now(now) > overShareFactor*a.fairUse+overShareRequests*meanCost
	}
	p.queue.prune(now)
}
