package wasabiclaim

import (
	"context"
	"fmt"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

const (
	// sweepPage is the number of rows that one read of a sweep returns.
	sweepPage = 200
	// pagePause is the pause between two pages, so that a sweep uses a small
	// share of the table's reads.
	pagePause = 100 * time.Millisecond
	// sweepLease is the name of the lease for sweeping, and sweepTTL its term.
	// The term is long, because every instance polls the lease's row.
	sweepLease = "claim-sweep"
	sweepTTL   = 10 * wasabiridge.Minute
	// sweepMargin is how long a row is kept after the end of its retention.
	sweepMargin = wasabiridge.Hour
)

// sweeper decides which rows may be deleted. It is deterministic.
type sweeper struct {
	// previous is the horizon of the last complete pass, and current that of the
	// pass in progress.
	previous horizon
	current  horizon
}

// page takes one page of a pass and returns the changes that delete the rows whose
// retention is over.
func (s *sweeper) page(now wasabiridge.Millis, rows []wasabiridge.Row) []wasabiridge.RowChange {
	limit := s.previous.limit(now) - sweepMargin
	var changes []wasabiridge.RowChange
	for _, row := range rows {
		r, err := decodeRecord(row.Value)
		if err != nil {
			// The row may be of another version of the program. It is kept.
			continue
		}
		s.current.observe(r.Holder, r.Written)
		if r.Until < limit {
			changes = append(changes, wasabiridge.RowChange{Key: row.Key, IfRevision: row.Revision, Delete: true})
		}
	}
	return changes
}

// endPass ends a pass. The next one deletes by its horizon.
func (s *sweeper) endPass() {
	s.previous, s.current = s.current, horizon{}
}

// Sweep deletes rows whose retention is over, in one pass over all rows, and
// returns their number. One instance at a time should sweep; several do no harm.
// The first pass of an instance deletes nothing: it computes the horizon from the
// clocks of all writers.
func (k *Controller) Sweep(ctx context.Context) (int, error) {
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
			return deleted, wasabiridge.ErrUnavailable.New("claim: sweep cancelled")
		}
		changes := k.sweep.page(k.options.Clock.Now(), rows)
		if len(changes) == 0 {
			continue
		}
		// A lost response or a conflict needs no retry: the next pass reads the
		// remaining rows again.
		id := wasabiridge.WriteID(fmt.Sprintf("%s/%d/sweep/%d", k.options.Self, k.options.Incarnation, k.calls.Add(1)))
		if err = k.options.Table.Commit(ctx, wasabiridge.Transaction{ID: id, Changes: changes}); err == nil {
			deleted += len(changes)
		}
	}
}

// sweepUnderLease sweeps periodically while this instance holds the lease for it.
// Two instances that sweep at once delete the same rows and do no other harm, so a
// sweep is not cancelled when the lease ends.
func (k *Controller) sweepUnderLease(ctx context.Context) {
	if k.options.SweepInterval < 0 {
		return
	}
	lease := wasabilease.New(wasabilease.Options{
		Name: sweepLease, Self: k.options.Self, Incarnation: k.options.Incarnation, Table: k.options.Table,
		Clock: k.options.Clock, Recorder: k.options.Recorder, Timing: wasabilease.Timing{TTL: sweepTTL},
	})
	// A random delay spreads the reads of the lease's row by instances that restart
	// together.
	maxDelay := uint64((sweepTTL / 2).Duration())
	select {
	case <-time.After(time.Duration(k.tickets.issuer.Nonce % maxDelay)):
	case <-ctx.Done():
		return
	}
	lease.Contend(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lease.Run(ctx)
	}()
	ticker := time.NewTicker(k.options.SweepInterval.Duration())
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
