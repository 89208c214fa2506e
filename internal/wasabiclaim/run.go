package wasabiclaim

import (
	"context"
	"sync"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// Run decides on claims by row, sends queued releases and sweeps rows until the
// context ends. It must be called once. It returns after all goroutines that it
// started have ended.
func (k *Controller) Run(ctx context.Context) {
	jobs := make(chan rowEffect, jobsSize)
	commits := make(chan rowEffect, 1)
	var wg sync.WaitGroup
	start := func(task func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			task()
		}()
	}
	for range releasers {
		start(func() { k.release(ctx) })
	}
	start(func() { k.sweepUnderLease(ctx) })
	start(func() { k.callTable(ctx, commits) })
	for range tableReaders {
		start(func() { k.callTable(ctx, jobs) })
	}
	k.decide(ctx, commits, jobs)
	close(k.stopped)
	wg.Wait()
}

// decide owns the row machine: it passes events to it and its effects on until the
// context ends.
func (k *Controller) decide(ctx context.Context, commits, jobs chan<- rowEffect) {
	machine := newRowMachine(k.options.Self, k.options.Incarnation, k.options.Limits)
	machine.handle(k.options.Clock.Now(), k.ticked())
	waiting := make(map[uint64]chan wasabiridge.ClaimOutcome)
	ticker := time.NewTicker(tickInterval)
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
		var handled int64
		select {
		case out <- next:
			pending = pending[1:]
			continue
		case m := <-k.inbox:
			event, handled = m.event, 1
			if m.reply != nil {
				waiting[m.call] = m.reply
			}
		case event = <-k.results:
		case <-ticker.C:
			event = k.ticked()
		case <-ctx.Done():
			return
		}
		for _, effect := range machine.handle(k.options.Clock.Now(), event) {
			if r, ok := effect.(replyClaim); ok {
				replyTo(waiting, r)
				continue
			}
			pending = append(pending, effect)
		}
		if left, ok := event.(claimAbandoned); ok {
			delete(waiting, left.Call)
		}
		k.unsettled.Store(int64(machine.unsettled.Len()))
		k.droppedRows.Store(machine.dropped)
		k.posted.Add(-handled)
	}
}

// ticked returns the tick event for the row machine, with the current membership
// and time, and updates the incarnations of the ticket machine.
func (k *Controller) ticked() rowTicked {
	members := k.members()
	t := rowTicked{Instances: k.instances(members), Incarnations: incarnationsOf(members)}
	if k.options.LogicalTime != nil {
		t.Agreed = k.options.LogicalTime()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tickets.incarnations = t.Incarnations
	return t
}

// replyTo sends an outcome to the caller that waits for it. A caller that left is
// no longer in the map.
func replyTo(waiting map[uint64]chan wasabiridge.ClaimOutcome, r replyClaim) {
	if reply, ok := waiting[r.Call]; ok {
		reply <- r.Outcome
		delete(waiting, r.Call)
	}
}

// Drain waits until the ends of all finished requests are written to the table.
// It returns ErrUnavailable when the context ends first. Repeats of requests whose
// ends are not written are answered that the outcome is unknown, once this
// instance is gone.
func (k *Controller) Drain(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if k.posted.Load() == 0 && k.unsettled.Load() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return wasabiridge.ErrUnavailable.New("claim: drain ended with %d unwritten ends", k.unsettled.Load())
		}
	}
}

// callTable executes effects on the table, one at a time, and passes on their
// results.
func (k *Controller) callTable(ctx context.Context, jobs <-chan rowEffect) {
	for {
		var result rowEvent
		select {
		case job := <-jobs:
			result = k.execute(ctx, job)
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

func (k *Controller) execute(ctx context.Context, job rowEffect) rowEvent {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if c, ok := job.(commitBatch); ok {
		return batchCommitted{ID: c.Transaction.ID, Err: k.options.Table.Commit(ctx, c.Transaction)}
	}
	r := job.(readRow)
	row, err := k.options.Table.Get(ctx, r.Key)
	return rowRead{Key: r.Key, Number: r.Number, Row: row, Err: err}
}
