package wasabiclaim

import (
	"context"
	"fmt"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

const (
	// sweepPage is how many rows one read of a sweep returns.
	sweepPage = 200
	// pagePause is the pause between two pages, so that a sweep takes a small
	// part of the table's reads.
	pagePause = 100 * time.Millisecond
	// sweepLease names the lease for sweeping, and sweepTTL how long it
	// lasts. It is long, because every instance reads its row.
	sweepLease = "claim-sweep"
	sweepTTL   = 10 * wasabiridge.Minute
	// sweepMargin is how long past its retention a row stays.
	sweepMargin = wasabiridge.Hour
)

// sweeper decides which rows may be deleted. It is deterministic.
type sweeper struct {
	// agreed is the horizon of the last whole pass, learning that of the
	// pass under way.
	agreed   horizon
	learning horizon
}

// page takes rows of a pass and returns the changes that delete those whose
// retention is over.
func (s *sweeper) page(now wasabiridge.Millis, rows []wasabiridge.Row) []wasabiridge.RowChange {
	limit := s.agreed.limit(now) - sweepMargin
	var changes []wasabiridge.RowChange
	for _, row := range rows {
		r, err := decodeRecord(row.Value)
		if err != nil {
			// Not a claim row of this version. It is left alone.
			continue
		}
		s.learning.observe(r.Holder, r.Written)
		if r.Until < limit {
			changes = append(changes, wasabiridge.RowChange{Key: row.Key, IfRevision: row.Revision, Delete: true})
		}
	}
	return changes
}

// endPass makes what the pass learned the horizon of the next.
func (s *sweeper) endPass() {
	s.agreed, s.learning = s.learning, horizon{}
}

// Sweep deletes rows whose retention is over, in one pass over all rows, and
// returns how many. One instance at a time should sweep; several do no harm.
// The first pass of an instance deletes nothing: it learns how far the clocks
// of others are.
func (k *Keeper) Sweep(ctx context.Context) (int, error) {
	k.sweepMu.Lock()
	defer k.sweepMu.Unlock()
	deleted, after := 0, ""
	for {
		rows, err := k.options.Table.List(ctx, rowPrefix, after, sweepPage)
		if err != nil {
			return deleted, err
		}
		if len(rows) == 0 {
			k.sweep.endPass()
			return deleted, nil
		}
		after = rows[len(rows)-1].Key
		select {
		case <-time.After(pagePause):
		case <-ctx.Done():
			return deleted, wasabiridge.ErrUnavailable.New("claim: sweep was stopped")
		}
		changes := k.sweep.page(k.options.Clock.Now(), rows)
		if len(changes) == 0 {
			continue
		}
		// A lost answer or a conflict needs no care: the next pass meets
		// the rows that are left.
		id := wasabiridge.WriteID(fmt.Sprintf("%s/%d/sweep/%d", k.options.Self, k.options.Incarnation, k.asks.Add(1)))
		if err = k.options.Table.Commit(ctx, wasabiridge.Transaction{ID: id, Changes: changes}); err == nil {
			deleted += len(changes)
		}
	}
}

// sweepInTurn sweeps while this instance holds the lease for it. Two instances
// that sweep at once delete the same rows and do no other harm, so a sweep is
// not stopped when the lease ends.
func (k *Keeper) sweepInTurn(ctx context.Context) {
	if k.options.SweepEvery < 0 {
		return
	}
	lease := wasabilease.New(wasabilease.Options{
		Name: sweepLease, Self: k.options.Self, Incarnation: k.options.Incarnation, Table: k.options.Table,
		Clock: k.options.Clock, Recorder: k.options.Recorder, Timing: wasabilease.Timing{TTL: sweepTTL},
	})
	// Instances that restart together read the row of the lease at different
	// times.
	herd := uint64((sweepTTL / 2).Duration())
	select {
	case <-time.After(time.Duration(k.tickets.life.Life % herd)):
	case <-ctx.Done():
		return
	}
	lease.Contend(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lease.Run(ctx)
	}()
	ticker := time.NewTicker(k.options.SweepEvery.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			<-done
			return
		}
		if !lease.Grant().Covers(k.options.Clock.Now(), 0) {
			continue
		}
		if _, err := k.Sweep(ctx); err != nil {
			k.sweepFailures.Add(1)
		}
	}
}
