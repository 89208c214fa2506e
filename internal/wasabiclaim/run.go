package wasabiclaim

import (
	"context"
	"sync"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// Run decides on claims of rows until the context ends. It is called once, and
// returns after all
// goroutines that it started have ended.
func (k *Keeper) Run(ctx context.Context) {
	jobs := make(chan rowEffect, jobsSize)
	commits := make(chan rowEffect, 1)
	var wg sync.WaitGroup
	start := func(duty func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			duty()
		}()
	}
	for range releasers {
		start(func() { k.release(ctx) })
	}
	start(func() { k.sweepInTurn(ctx) })
	start(func() { k.callTable(ctx, commits) })
	for range tableReaders {
		start(func() { k.callTable(ctx, jobs) })
	}
	k.decide(ctx, commits, jobs)
	close(k.stopped)
	wg.Wait()
}

// decide owns the row book.
func (k *Keeper) decide(ctx context.Context, commits, jobs chan<- rowEffect) {
	book := newRowBook(k.options.Self, k.options.Incarnation, k.options.Limits)
	book.handle(k.options.Clock.Now(), k.ticked())
	waiting := make(map[uint64]chan wasabiridge.ClaimOutcome)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var pending []rowEffect
	for {
		var out chan<- rowEffect
		var next rowEffect
		if len(pending) > 0 {
			next, out = pending[0], jobs
			if _, ok := next.(commitBatch); ok {
				out = commits
			}
		}
		var event rowEvent
		var taken int64
		select {
		case out <- next:
			pending = pending[1:]
			continue
		case m := <-k.inbox:
			event, taken = m.event, 1
			if m.reply != nil {
				waiting[m.ask] = m.reply
			}
		case event = <-k.results:
		case <-ticker.C:
			event = k.ticked()
		case <-ctx.Done():
			return
		}
		for _, effect := range book.handle(k.options.Clock.Now(), event) {
			if r, ok := effect.(replyClaim); ok {
				answerAsker(waiting, r)
				continue
			}
			pending = append(pending, effect)
		}
		if left, ok := event.(claimAbandoned); ok {
			delete(waiting, left.Ask)
		}
		k.unsettled.Store(int64(book.unsettled.Len()))
		k.droppedRows.Store(book.dropped)
		k.posted.Add(-taken)
	}
}

// ticked returns what the row book has to know of the world, and tells the
// ticket book.
func (k *Keeper) ticked() rowTicked {
	members := k.members()
	t := rowTicked{Instances: k.instances(members), Lives: livesOf(members)}
	if k.options.AgreedNow != nil {
		t.Agreed = k.options.AgreedNow()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tickets.lives = t.Lives
	return t
}

// answerAsker hands a decision to the caller that waits for it. A caller that
// left is not in the map any more.
func answerAsker(waiting map[uint64]chan wasabiridge.ClaimOutcome, r replyClaim) {
	if reply, ok := waiting[r.Ask]; ok {
		reply <- r.Outcome
		delete(waiting, r.Ask)
	}
}

// Drain waits until the ends of all finished requests are written to the
// table. It reports ErrUnavailable when the context ends first; repeats of the
// rest are told that the outcome is unknown once this instance is gone.
func (k *Keeper) Drain(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		if k.posted.Load() == 0 && k.unsettled.Load() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return wasabiridge.ErrUnavailable.New("claim: %d ends are not written", k.unsettled.Load())
		}
	}
}

// callTable carries out effects on the table, one at a time.
func (k *Keeper) callTable(ctx context.Context, jobs <-chan rowEffect) {
	for {
		var result rowEvent
		select {
		case job := <-jobs:
			result = k.carryOut(ctx, job)
		case <-ctx.Done():
			return
		}
		select {
		case k.results <- result:
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) carryOut(ctx context.Context, job rowEffect) rowEvent {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if c, ok := job.(commitBatch); ok {
		return batchCommitted{ID: c.Transaction.ID, Err: k.options.Table.Commit(ctx, c.Transaction)}
	}
	r := job.(readRow)
	row, err := k.options.Table.Get(ctx, r.Key)
	return rowRead{Key: r.Key, Number: r.Number, Row: row, Err: err}
}
