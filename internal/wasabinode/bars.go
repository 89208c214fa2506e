package wasabinode

import (
	"context"
	"strconv"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
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
	// barWitnesses is how many of the lowest ranks write a bar that whoever decided on it
	// has not written barWait later.
	barWitnesses = 2
	barWait      = 2 * time.Second
)

// keepBars writes down which requests are barred, and reads it after the start.
//
// The failure it guards against: all instances are replaced at once. None of them knows
// any more which request ends servers, and it ends as many again.
func (n *Node) keepBars(ctx context.Context) {
	go n.readBars(ctx)
	for {
		select {
		case note := <-n.barred:
			n.writeBar(ctx, note)
		case <-ctx.Done():
			return
		}
	}
}

// timeOfDay is the time that instances share across their starts, but for some seconds.
func timeOfDay() wasabiridge.Millis { return wasabiridge.Millis(time.Now().UnixMilli()) }

// noteBar lets keepBars write what was decided. The instance that saw the last end
// writes; a few others look whether it did.
func (n *Node) noteBar(note wasabiquarantine.Note) {
	written := note.Kind == wasabiquarantine.NoteBarred || note.Kind == wasabiquarantine.NoteLifted && wasabiquarantine.WasBarred(note.Mark)
	if !written || note.From == storeName || note.From != "" && (note.Kind != wasabiquarantine.NoteBarred || n.rank() >= barWitnesses) {
		return
	}
	select {
	case n.barred <- note:
	default:
	}
}

// readBars takes over what is written down. It tries until the store answers.
func (n *Node) readBars(ctx context.Context) {
	log := wasabilog.Part(n.log, "quarantine")
	for {
		rows, err := n.listBars(ctx)
		if err == nil {
			n.takeBars(ctx, rows)
			return
		}
		log.Debug().Err(err).Msg("Bars not read.")
		select {
		case <-time.After(barPause):
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) listBars(ctx context.Context) ([]wasabiridge.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, barTimeout)
	defer cancel()
	return n.options.Platform.Table.List(ctx, wasabiquarantine.RowPrefix, "", barsMost)
}

func (n *Node) takeBars(ctx context.Context, rows []wasabiridge.Row) {
	log := wasabilog.Part(n.log, "quarantine")
	now := timeOfDay()
	var crashes []wasabiridge.CrashNews
	for _, row := range rows {
		c, err := wasabiquarantine.DecodeRow(now, row)
		if err != nil || wasabiquarantine.IsOver(c) {
			log.Info().Err(err).Str("row", row.Key).Msg("Bar dropped.")
			n.commitBar(ctx, row, nil)
			continue
		}
		crashes = append(crashes, c)
	}
	log.Info().Int("bars", len(crashes)).Msg("Bars read.")
	if len(crashes) > 0 {
		n.loop.Post(wasabiridge.CrashesHeard{From: storeName, Crashes: crashes})
	}
}

// storeName stands for the store among those who told of something.
const storeName = wasabiridge.InstanceID("store")

// writeBar writes a bar, or drops it when the request was let go.
func (n *Node) writeBar(ctx context.Context, note wasabiquarantine.Note) {
	var value []byte
	if note.Kind == wasabiquarantine.NoteBarred {
		var err error
		if value, err = wasabiquarantine.EncodeRow(timeOfDay(), note.Mark); err != nil {
			return
		}
	}
	if note.From != "" {
		select {
		case <-time.After(barWait):
		case <-ctx.Done():
			return
		}
	}
	for range barTries {
		row, err := n.getBar(ctx, note.Mark.Fingerprint)
		done := row.Revision == 0 && value == nil || row.Revision > 0 && note.From != ""
		if err == nil && (done || n.commitBar(ctx, row, value)) {
			return
		}
		select {
		case <-time.After(barPause):
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) getBar(ctx context.Context, f wasabiridge.Fingerprint) (wasabiridge.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, barTimeout)
	defer cancel()
	return n.options.Platform.Table.Get(ctx, wasabiquarantine.RowKey(f))
}

// commitBar puts a value in place of a row, or drops the row. It reports whether the
// store said that it did.
func (n *Node) commitBar(ctx context.Context, row wasabiridge.Row, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, barTimeout)
	defer cancel()
	id := string(n.options.Settings.Instance) + "/" + strconv.FormatUint(uint64(n.incarnation), 36) + "/" + row.Key + "/" + strconv.FormatInt(int64(n.options.Clock.Now()), 36)
	err := n.options.Platform.Table.Commit(ctx, wasabiridge.Transaction{
		ID:      wasabiridge.WriteID(id),
		Changes: []wasabiridge.RowChange{{Key: row.Key, IfRevision: row.Revision, Value: value, Delete: value == nil}},
	})
	if err != nil {
		log := wasabilog.Part(n.log, "quarantine")
		log.Debug().Err(err).Str("row", row.Key).Msg("Bar not written.")
	}
	return err == nil
}
