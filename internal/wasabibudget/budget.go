// Package wasabibudget limits retries at backend servers by a budget that all instances
// share.
//
// The budget allows, in any window, a ratio of the requests of that window and a fixed
// slack. Instances do not query each other. Each spends the ratio of the requests that
// it received itself and its share of the slack. The shares add up to no more than the
// whole slack, whichever instances see each other:
//
//   - InstanceCounter divides by the highest number of instances that were recently seen, so
//     that partitioned instances do not take larger shares.
//   - A process that has just started has next to no share, because its predecessor may
//     have spent it. For the same reason its first requests earn no credit: they stand
//     for what the predecessor may have spent ahead.
//
// # Usage
//
//	instances := wasabibudget.NewInstanceCounter(terms, now)
//	budget := wasabibudget.New(terms, now)
//	instances.Record(now, 7)
//	budget.AddRequest(now)
//	if budget.Spend(now, instances.SlackShare(now)) {
//		retry()
//	}
//
// The types of this package are not safe for concurrent use.
package wasabibudget

import "github.com/wasabiridge/wasabiridge"

const (
	// windowSlices is the number of slices of a window.
	windowSlices = 20
	// keptSlices is the number of slices that are kept: those of a window, those of the
	// half window before it, and the current one.
	keptSlices = windowSlices + windowSlices/2 + 1
	// creditSlices is the number of slices for which the credit of a request lasts.
	// Failures come in bursts, which need more retries than the requests of the moment
	// allow.
	creditSlices = 2
)

// Terms defines a retry budget that all instances share.
type Terms struct {
	// Ratio is the number of retries that a request allows.
	Ratio float64
	// Slack is the number of additional retries in a window, for all instances
	// together.
	Slack float64
	// Window is the length of a window. It must be positive.
	Window wasabiridge.Millis
}

// Budget is what an instance may spend at one pool of backend servers.
type Budget struct {
	terms Terms
	// startedAt is when the process started to count.
	startedAt wasabiridge.Millis
	// credit is what recent requests have earned and no retry has used.
	credit float64
	// requests, spent and slack count by slice: requests, retries, and the retries that
	// no credit paid for.
	requests, spent, slack [keptSlices]int
	slice                  int64
}

// New returns the budget of a process that started at the given time.
func New(t Terms, startedAt wasabiridge.Millis) *Budget {
	b := &Budget{terms: t, startedAt: startedAt}
	b.slice = b.sliceOf(startedAt)
	return b
}

func (b *Budget) sliceOf(now wasabiridge.Millis) int64 {
	return int64(now) * windowSlices / int64(b.terms.Window)
}

// index returns the index of the slice that lies the given number of slices before the
// current one.
func (b *Budget) index(ago int) int { return int((b.slice - int64(ago) + keptSlices) % keptSlices) }

// advance drops the slices that are over, and the credit of requests that are too old.
// A credit of up to one retry never expires, so that rare requests add up to a retry
// however long that takes.
func (b *Budget) advance(now wasabiridge.Millis) {
	slice := b.sliceOf(now)
	if slice <= b.slice {
		return
	}
	for steps := 0; b.slice < slice && steps <= keptSlices; steps++ {
		b.slice++
		at := b.index(0)
		b.requests[at], b.spent[at], b.slack[at] = 0, 0, 0
	}
	b.slice = slice
	b.credit = min(b.credit, max(1, b.terms.Ratio*float64(b.sum(&b.requests, creditSlices-1, 0))))
}

// AddRequest counts a request that this instance received.
//
// Requests in the first creditSlices slices of a process earn nothing. Its predecessor
// may have spent the credit of as many requests ahead, and nothing is known about it.
func (b *Budget) AddRequest(now wasabiridge.Millis) {
	b.advance(now)
	if now-b.startedAt >= b.terms.Window*creditSlices/windowSlices {
		b.requests[b.index(0)]++
		b.credit += b.terms.Ratio
	}
}

// Spend takes one retry if the budget allows it, and reports whether it does. share is
// what this instance may take of the slack of a window.
func (b *Budget) Spend(now wasabiridge.Millis, share float64) bool {
	b.advance(now)
	if b.credit < 1 && float64(b.sum(&b.slack, windowSlices, 0)+1) > share || !b.fits(share) {
		return false
	}
	b.record()
	return true
}

// fits reports whether one more retry stays within the budget of each window that may
// contain it: a ratio of the requests of that window or, if they are more, of the
// window that began half a window earlier.
//
// It guards against spending the credit of earlier requests at the start of a window,
// and that of the window's own requests afterwards.
func (b *Budget) fits(share float64) bool {
	for first := windowSlices / 2; first <= windowSlices; first++ {
		requests := max(b.sum(&b.requests, first-1, 0), b.sum(&b.requests, first+windowSlices/2-1, first-windowSlices/2))
		if float64(b.sum(&b.spent, first, 0)+1) > b.terms.Ratio*float64(requests)+share {
			return false
		}
	}
	return true
}

// Charge counts a retry that is made whether the budget allows it or not.
func (b *Budget) Charge(now wasabiridge.Millis) {
	b.advance(now)
	b.record()
}

// record counts a retry, which uses credit if there is enough and the slack otherwise.
func (b *Budget) record() {
	at := b.index(0)
	b.spent[at]++
	if b.credit >= 1 {
		b.credit--
		return
	}
	b.slack[at]++
}

// Idle reports whether nothing was counted within a window.
func (b *Budget) Idle(now wasabiridge.Millis) bool {
	b.advance(now)
	return b.sum(&b.requests, windowSlices, 0)+b.sum(&b.spent, windowSlices, 0) == 0
}

// sum adds the counts of the slices from one to another, both given as the number of
// slices before the current one.
func (b *Budget) sum(counts *[keptSlices]int, from, to int) int {
	total := 0
	for ago := to; ago <= from; ago++ {
		total += counts[b.index(ago)]
	}
	return total
}
