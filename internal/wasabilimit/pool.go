package wasabilimit

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// useDecay is the time in which remembered use falls to about a third.
	useDecay = 20 * wasabiridge.Second
	// overShare is how far above its fair share the demand of an account must
	// be for it to be held to that share.
	overShare = 4
	// overRequests is how many requests it must be above on top, so that a
	// few requests of a small account do not count as excess.
	overRequests = 6
	// extraReleases is how many requests accounts above their share may get
	// beyond it between two reviews. Reports come about as often, and what
	// goes out in between is not seen by other instances.
	extraReleases = 1
	// idleUse is the remembered demand below which an account is forgotten.
	idleUse = 1.0
	// busySmoothing is the weight of the newest reports in what is believed
	// of how busy a pool is.
	busySmoothing = 0.3
)

// usage is a sum that decays over time. The zero value is nothing.
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

// account is what one client account asks of one pool and uses of it.
type account struct {
	id    wasabiridge.ClientAccountID
	share float64
	asked usage
	used  usage
	// over says that the account asks for far more than its share; fair is
	// the use that the share comes to.
	over bool
	fair float64
	// open counts requests that are queued.
	open int
}

// sum adds up servers that serve.
type sum struct {
	limit float64
	room  float64
	own   int
	count int
	// waiting counts requests that wait inside, by the last reports.
	waiting int
}

// pool shares the room of its servers out.
type pool struct {
	id       wasabiridge.PoolID
	options  *Options
	servers  []*server
	accounts map[wasabiridge.ClientAccountID]*account
	// visited lists the accounts in the order in which they came.
	visited  []*account
	line     line
	released int
	total    sum
	capacity capacity
	used     usage
	// busy is how many requests wait inside a server, on average.
	busy float64
	// extra counts what accounts above their share got since the last review.
	extra int
}

func newPool(o *Options) *pool {
	return &pool{options: o, accounts: make(map[wasabiridge.ClientAccountID]*account)}
}

func (p *pool) serving() bool { return p.total.count > 0 }

// refresh sums the servers up anew, which also drops rounding errors.
func (p *pool) refresh() {
	p.total = sum{}
	for _, s := range p.servers {
		s.counted = sum{}
		p.changed(s)
	}
}

// changed takes a change of one server into the sums.
func (p *pool) changed(s *server) {
	now := s.sum()
	p.total = sum{
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
		p.visited = append(p.visited, a)
	}
	a.share = share
	if share <= 0 {
		a.share = 1
	}
	return a
}

// mayRelease reports whether a request of the account may go now. An account
// that asks for far more than its share gets no more than that, as soon as
// more would make others wait. When no server is left, all go, so that their
// callers hear at once or another pool takes them.
func (p *pool) mayRelease(now wasabiridge.Millis, a *account) bool {
	if !p.serving() {
		return true
	}
	others := max(1, float64(p.options.Instances)/2)
	room := p.total.room - others*float64(p.released)
	if a.over && a.used.now(now) > a.fair {
		return p.busy < p.options.Quiet && p.extra < extraReleases && room >= p.options.Reserve*p.total.limit
	}
	return room >= 1 || float64(p.total.own+p.released) < p.total.limit/float64(p.options.Instances)
}

// turn returns the queued request that goes next, or nil when none may go.
func (p *pool) turn(now wasabiridge.Millis) *item {
	if p.line.length == 0 {
		return nil
	}
	return p.line.next(func(a *account) bool { return p.mayRelease(now, a) })
}

// charge notes the cost of a released request.
func (p *pool) charge(now wasabiridge.Millis, it *item) {
	p.line.charge(now, it)
	if a := it.account; a.over && a.used.now(now) > a.fair {
		p.extra++
	}
	it.account.used.add(now, it.cost)
	p.used.add(now, it.cost)
	p.capacity.drain.add(now, it.cost)
}

// review takes new reports into account.
func (p *pool) review(now wasabiridge.Millis) {
	p.extra = 0
	p.capacity.review(now, p.line.length > 0)
	p.refresh()
	p.busy += busySmoothing * (float64(p.total.waiting)/float64(max(1, p.total.count)) - p.busy)
}

// reviewAccounts marks accounts that ask for far more than their share and
// forgets idle ones. Accounts are visited in the order in which they came, so
// that sums of rounded numbers repeat.
func (p *pool) reviewAccounts(now wasabiridge.Millis, typical float64) {
	kept, shares := p.visited[:0], 0.0
	for _, a := range p.visited {
		if a.asked.now(now) < idleUse && a.open == 0 {
			delete(p.accounts, a.id)
			continue
		}
		kept = append(kept, a)
		shares += a.share
	}
	clear(p.visited[len(kept):])
	p.visited = kept
	used := p.used.now(now)
	for _, a := range kept {
		a.fair = used * a.share / shares
		a.over = a.asked.now(now) > overShare*a.fair+overRequests*typical
	}
	p.line.prune(now)
}
