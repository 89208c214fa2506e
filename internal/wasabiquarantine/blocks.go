package wasabiquarantine

import (
	"context"
	"strconv"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// blockQueueSize bounds the blocks that wait to be written or deleted. Further ones are
	// not stored, and only the running instances know of them.
	blockQueueSize = 64
	// maxBlockRows bounds the rows that are read.
	maxBlockRows = 4096
	// rowTimeout bounds one call to the platform's table, rowRetryPause is the pause
	// between two attempts.
	rowTimeout    = 2 * time.Second
	rowRetryPause = time.Second
	// rowAttempts is how often writing a block is attempted.
	rowAttempts = 10
	// backupWriters is how many other instances write a block if the instance that decided
	// on it has not written it after backupWriteDelay.
	backupWriters    = 2
	backupWriteDelay = 2 * time.Second
	// storeID stands for the platform's table as the source of an update.
	storeID = wasabiridge.InstanceID("store")
)

// wallClock returns the time of day. It means the same to all instances and after restarts,
// up to a clock skew of some seconds.
func wallClock() wasabiridge.Millis { return wasabiridge.Millis(time.Now().UnixMilli()) }

// queueBlock queues a decision for writeBlocks. The instance that saw the last server end
// writes a block, and a few others check that it did. A lifted block is deleted by the
// instance that lifted it.
func (k *Controller) queueBlock(note LogEvent) {
	proof := maxEnds
	if note.Record.Part {
		proof = partMoments
	}
	written := note.Kind == LogEventBlocked || note.Kind == LogEventLifted && len(note.Record.Crashes) >= proof
	if k.options.Rows == nil || !written || note.From == storeID {
		return
	}
	if note.From != "" && (note.Kind != LogEventBlocked || !k.isBackupWriter(note)) {
		return
	}
	select {
	case k.blocks <- note:
	default:
	}
}

// restoreBlocks queues the blocks to be written again after the store was restored, which
// may have lost them. One instance writes each block.
func (k *Controller) restoreBlocks() {
	if k.options.Rows == nil || k.options.Epoch == nil || k.options.Epoch() <= k.blocksEpoch {
		return
	}
	k.blocksEpoch = k.options.Epoch()
	var entries []Entry
	k.loop.Inspect(func() { entries = k.table.Entries(k.options.Clock.Now()) })
	queued := 0
	for _, e := range entries {
		if !e.Blocked || !k.isFirstWriter(e.Fingerprint) {
			continue
		}
		queued++
		k.queueBlock(LogEvent{Kind: LogEventBlocked, Record: e.CrashUpdate})
	}
	if queued > 0 {
		k.options.Log.Info().Uint64("epoch", uint64(k.blocksEpoch)).Int("blocks", queued).Msg("Store was restored; writing blocks again.")
	}
}

// isFirstWriter reports whether this is the instance that writes a block which all know.
func (k *Controller) isFirstWriter(f wasabiridge.Fingerprint) bool {
	own := rank(f, string(k.options.Self))
	for _, m := range k.options.Members() {
		if !m.Leaving && rank(f, string(m.ID)) > own {
			return false
		}
	}
	return true
}

// isBackupWriter reports whether this is one of the instances that check whether a block
// was written. All instances that know the same members choose the same ones.
func (k *Controller) isBackupWriter(note LogEvent) bool {
	own, ahead := rank(note.Record.Fingerprint, string(k.options.Self)), 0
	for _, m := range k.options.Members() {
		if m.ID != note.From && rank(note.Record.Fingerprint, string(m.ID)) > own {
			ahead++
		}
	}
	return ahead < backupWriters
}

// loadBlocks loads the stored blocks. It retries until the table answers.
//
// The failure it guards against: all instances are replaced at once. None of them knows any
// more which requests end servers, and these requests end as many servers again.
func (k *Controller) loadBlocks(ctx context.Context) {
	for {
		rows, err := k.listBlocks(ctx)
		if err == nil {
			k.applyRows(ctx, rows)
			return
		}
		k.options.Log.Debug().Err(err).Msg("Blocks not read.")
		if !sleep(ctx, rowRetryPause) {
			return
		}
	}
}

// sleep waits. It reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (k *Controller) listBlocks(ctx context.Context) ([]wasabiridge.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	return k.options.Rows.List(ctx, RowPrefix, "", maxBlockRows)
}

func (k *Controller) applyRows(ctx context.Context, rows []wasabiridge.Row) {
	now := wallClock()
	var crashes []wasabiridge.CrashUpdate
	for _, row := range rows {
		c, err := DecodeRow(now, row)
		if err != nil || IsExpired(c) {
			deleted := k.commitBlock(ctx, row, nil)
			k.options.Log.Info().Err(err).Str("row", row.Key).Bool("deleted", deleted).Msg("Ignoring a stored block that has expired or is invalid.")
			continue
		}
		crashes = append(crashes, c)
	}
	k.options.Log.Info().Int("bars", len(crashes)).Msg("Bars read.")
	if len(crashes) > 0 {
		k.loop.Post(wasabiridge.CrashesReceived{From: storeID, Crashes: crashes})
	}
}

// writeBlocks writes blocks, and deletes those that are lifted, until the context ends.
func (k *Controller) writeBlocks(ctx context.Context) {
	for {
		select {
		case note := <-k.blocks:
			k.writeBlock(ctx, note)
		case <-ctx.Done():
			return
		}
	}
}

func (k *Controller) writeBlock(ctx context.Context, note LogEvent) {
	var value []byte
	if note.Kind == LogEventBlocked {
		var err error
		if value, err = EncodeRow(wallClock(), note.Record); err != nil {
			return
		}
	}
	if note.From != "" && !sleep(ctx, backupWriteDelay) {
		return
	}
	for range rowAttempts {
		row, err := k.getBlock(ctx, note.Record.Fingerprint)
		done := row.Revision == 0 && value == nil || row.Revision > 0 && note.From != ""
		if err == nil && (done || k.commitBlock(ctx, row, value)) || !sleep(ctx, rowRetryPause) {
			return
		}
	}
}

func (k *Controller) getBlock(ctx context.Context, f wasabiridge.Fingerprint) (wasabiridge.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	return k.options.Rows.Get(ctx, RowKey(f))
}

// commitBlock replaces the value of a row, or deletes the row if the value is nil. It
// reports whether the table confirmed the change.
func (k *Controller) commitBlock(ctx context.Context, row wasabiridge.Row, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	id := string(k.options.Self) + "/" + strconv.FormatUint(uint64(k.options.Incarnation), 36) + "/" + row.Key + "/" +
		strconv.FormatInt(int64(k.options.Clock.Now()), 36)
	err := k.options.Rows.Commit(ctx, wasabiridge.Transaction{
		ID:      wasabiridge.WriteID(id),
		Changes: []wasabiridge.RowChange{{Key: row.Key, IfRevision: row.Revision, Value: value, Delete: value == nil}},
		Epoch:   row.Epoch,
	})
	if err != nil {
		k.options.Log.Debug().Err(err).Str("row", row.Key).Msg("Block not written.")
	}
	return err == nil
}
