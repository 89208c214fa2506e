package wasabiquarantine

import (
	"context"
	"strconv"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// barsSize bounds the bars that wait to be written or dropped. What finds it full is
	// known to the living instances only.
	barsSize = 64
	// barsMost bounds the rows that are read.
	barsMost = 500
	// barTimeout bounds one call, barPause is the time between two tries.
	barTimeout = 2 * time.Second
	barPause   = time.Second
	// barTries is how often a bar is tried to be written.
	barTries = 10
	// barWitnesses is how many of the other instances write a bar that whoever decided on
	// it has not written barWait later.
	barWitnesses = 2
	barWait      = 2 * time.Second
	// storeName stands for the store among those who told of something.
	storeName = wasabiridge.InstanceID("store")
)

// timeOfDay is the time that instances share across their starts, but for some seconds.
func timeOfDay() wasabiridge.Millis { return wasabiridge.Millis(time.Now().UnixMilli()) }

// noteBar lets writeBars write what was decided. The instance that saw the last end
// writes; a few others look whether it did.
func (k *Keeper) noteBar(note Note) {
	written := note.Kind == NoteBarred || note.Kind == NoteLifted && len(note.Mark.Ends) >= endsMost
	if k.options.Rows == nil || !written || note.From == storeName {
		return
	}
	if note.From != "" && (note.Kind != NoteBarred || !k.isWitness(note)) {
		return
	}
	select {
	case k.bars <- note:
	default:
	}
}

// isWitness reports whether this is one of the instances that look whether a bar was
// written. All instances that know the same others agree on them.
func (k *Keeper) isWitness(note Note) bool {
	own, ahead := rank(note.Mark.Fingerprint, string(k.options.Self)), 0
	for _, m := range k.options.Members() {
		if m.ID != note.From && rank(note.Mark.Fingerprint, string(m.ID)) > own {
			ahead++
		}
	}
	return ahead < barWitnesses
}

// readBars takes over what is written down. It tries until the store answers.
//
// The failure it guards against: all instances are replaced at once. None of them knows
// any more which request ends servers, and it ends as many again.
func (k *Keeper) readBars(ctx context.Context) {
	for {
		rows, err := k.listBars(ctx)
		if err == nil {
			k.takeBars(ctx, rows)
			return
		}
		k.options.Log.Debug().Err(err).Msg("Bars not read.")
		if !pause(ctx, barPause) {
			return
		}
	}
}

// pause waits. It reports false when the context ended before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (k *Keeper) listBars(ctx context.Context) ([]wasabiridge.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, barTimeout)
	defer cancel()
	return k.options.Rows.List(ctx, RowPrefix, "", barsMost)
}

func (k *Keeper) takeBars(ctx context.Context, rows []wasabiridge.Row) {
	now := timeOfDay()
	var crashes []wasabiridge.CrashNews
	for _, row := range rows {
		c, err := DecodeRow(now, row)
		if err != nil || IsOver(c) {
			k.options.Log.Info().Err(err).Str("row", row.Key).Msg("Bar dropped.")
			k.commitBar(ctx, row, nil)
			continue
		}
		crashes = append(crashes, c)
	}
	k.options.Log.Info().Int("bars", len(crashes)).Msg("Bars read.")
	if len(crashes) > 0 {
		k.loop.Post(wasabiridge.CrashesHeard{From: storeName, Crashes: crashes})
	}
}

// writeBars writes bars, and drops those that are lifted, until the context ends.
func (k *Keeper) writeBars(ctx context.Context) {
	for {
		select {
		case note := <-k.bars:
			k.writeBar(ctx, note)
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) writeBar(ctx context.Context, note Note) {
	var value []byte
	if note.Kind == NoteBarred {
		var err error
		if value, err = EncodeRow(timeOfDay(), note.Mark); err != nil {
			return
		}
	}
	if note.From != "" && !pause(ctx, barWait) {
		return
	}
	for range barTries {
		row, err := k.getBar(ctx, note.Mark.Fingerprint)
		done := row.Revision == 0 && value == nil || row.Revision > 0 && note.From != ""
		if err == nil && (done || k.commitBar(ctx, row, value)) || !pause(ctx, barPause) {
			return
		}
	}
}

func (k *Keeper) getBar(ctx context.Context, f wasabiridge.Fingerprint) (wasabiridge.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, barTimeout)
	defer cancel()
	return k.options.Rows.Get(ctx, RowKey(f))
}

// commitBar puts a value in place of a row, or drops the row. It reports whether the
// store said that it did.
func (k *Keeper) commitBar(ctx context.Context, row wasabiridge.Row, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, barTimeout)
	defer cancel()
	id := string(k.options.Self) + "/" + strconv.FormatUint(uint64(k.options.Incarnation), 36) + "/" + row.Key + "/" +
		strconv.FormatInt(int64(k.options.Clock.Now()), 36)
	err := k.options.Rows.Commit(ctx, wasabiridge.Transaction{
		ID:      wasabiridge.WriteID(id),
		Changes: []wasabiridge.RowChange{{Key: row.Key, IfRevision: row.Revision, Value: value, Delete: value == nil}},
	})
	if err != nil {
		k.options.Log.Debug().Err(err).Str("row", row.Key).Msg("Bar not written.")
	}
	return err == nil
}
