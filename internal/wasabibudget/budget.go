// Package wasabibudget bounds further attempts at backend servers by a budget that all
// instances share.
//
// The budget allows, in any window, a ratio of the requests of that window and a fixed
// slack. No instance asks another one. Each spends the ratio of the requests that came
// to it, and its part of the slack. The parts add up to no more than the whole, whatever
// instances see of each other:
//
//   - Sharers divides by the most instances that were seen lately, so that those that
//     are cut off from each other do not take larger parts.
//   - A process that has just started has next to no part: one that was there before it
//     may have spent it. For the same reason the requests of its first moments pay for what
//     may have been spent ahead.
//
// # Usage
//
//	sharers := wasabibudget.NewSharers(terms, now)
//	budget := wasabibudget.New(terms, now)
//	sharers.Count(now, 7)
//	budget.Request(now)
//	if budget.Spend(now, sharers.Part(now)) {
//		retry()
//	}
//
// Nothing here is safe for concurrent use.
package wasabibudget

import "github.com/wasabiridge/wasabiridge"

const (
	// slices is into how many parts a window is cut.
	slices = 20
	// kept is how many slices are kept: those of a window, of half a window before it
	// and the one that has begun.
	kept = slices + slices/2 + 1
	// aheadSlices is for how many slices the credit of a request lasts. Attempts fail
	// together, more of them than the requests of the moment allow.
	aheadSlices = 2
)

// Terms are the terms of a budget.
type Terms struct {
	// Ratio is how many further attempts a request allows.
	Ratio float64
	// Slack is how many are allowed beside that in a window, to all instances together.
	Slack  float64
	Window wasabiridge.Millis
}

// Budget is what an instance may spend at one pool of backend servers.
type Budget struct {
	terms Terms
	// born is when the process began to count.
	born wasabiridge.Millis
	// credit is what requests of late have paid for and nothing has used.
	credit float64
	// requests, spent and slack count by slice: requests, further attempts, and those of
	// them that no request has paid for.
	requests, spent, slack [kept]int
	slice                  int64
}

// New returns the budget of a process that began at a time.
func New(t Terms, born wasabiridge.Millis) *Budget {
	b := &Budget{terms: t, born: born}
	b.slice = b.sliceOf(born)
	return b
}

func (b *Budget) sliceOf(now wasabiridge.Millis) int64 {
	return int64(now) * slices / int64(b.terms.Window)
}

// back returns the place of a slice, as many before the one that has begun.
func (b *Budget) back(slices int) int { return int((b.slice - int64(slices) + kept) % kept) }

// move drops the slices that are over, and the credit of requests that are too old.
// Rare requests pay for one attempt together, however long that takes.
func (b *Budget) move(now wasabiridge.Millis) {
	slice := b.sliceOf(now)
	if slice <= b.slice {
		return
	}
	for steps := 0; b.slice < slice && steps <= kept; steps++ {
		b.slice++
		at := b.back(0)
		b.requests[at], b.spent[at], b.slack[at] = 0, 0, 0
	}
	b.slice = slice
	b.credit = min(b.credit, max(1, b.terms.Ratio*float64(b.sum(&b.requests, aheadSlices-1, 0))))
}

// Request counts a request that came to this instance.
//
// Those of the first moments count for nothing. The process before this one may have
// spent the credit of as many requests ahead, and nothing is known of it.
func (b *Budget) Request(now wasabiridge.Millis) {
	b.move(now)
	if now-b.born >= b.terms.Window*aheadSlices/slices {
		b.requests[b.back(0)]++
		b.credit += b.terms.Ratio
	}
}

// Spend takes one further attempt when the budget allows it. Part is what this instance
// may take of the slack of a window.
func (b *Budget) Spend(now wasabiridge.Millis, part float64) bool {
	b.move(now)
	if b.credit < 1 && float64(b.sum(&b.slack, slices, 0)+1) > part || !b.fits(part) {
		return false
	}
	b.take()
	return true
}

// fits reports whether one more attempt stays within the budget of each window that may
// hold it: a ratio of the requests of that window or, if they are more, of the window
// that began half a window sooner.
//
// The failure it guards against: what requests of earlier paid for is spent when a
// window begins, and all that its own requests pay for after it.
func (b *Budget) fits(part float64) bool {
	for first := slices / 2; first <= slices; first++ {
		requests := max(b.sum(&b.requests, first-1, 0), b.sum(&b.requests, first+slices/2-1, first-slices/2))
		if float64(b.sum(&b.spent, first, 0)+1) > b.terms.Ratio*float64(requests)+part {
			return false
		}
	}
	return true
}

// Charge counts a further attempt that is made whether the budget allows it or not.
func (b *Budget) Charge(now wasabiridge.Millis) {
	b.move(now)
	b.take()
}

func (b *Budget) take() {
	at := b.back(0)
	b.spent[at]++
	if b.credit >= 1 {
		b.credit--
		return
	}
	b.slack[at]++
}

// Idle reports whether nothing was counted within a window.
func (b *Budget) Idle(now wasabiridge.Millis) bool {
	b.move(now)
	return b.sum(&b.requests, slices, 0)+b.sum(&b.spent, slices, 0) == 0
}

// sum adds the counts of the slices from one to another, both given by how many slices
// before the one that has begun they lie.
func (b *Budget) sum(counts *[kept]int, from, to int) int {
	total := 0
	for back := to; back <= from; back++ {
		total += counts[b.back(back)]
	}
	return total
}
