package wasabinode

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

const (
	rosterPrefix = "member/"
	// rosterRows bounds the rows of one page and the rows that are used, and
	// rosterPages the pages that are read.
	rosterRows  = 500
	rosterPages = 20
	// rosterTimeout bounds a read or write of the roster, and registerInterval is the
	// time between two attempts to write this instance's row.
	rosterTimeout    = 2 * time.Second
	registerInterval = 3 * time.Second
	// registerDelay is how long after its start an instance knows its rank, and
	// registeredRanks is how many of the lowest ranks write their rows. One live
	// instance is enough to find all others; the further rows allow for several that
	// go away at once.
	registerDelay   = 2 * time.Second
	registeredRanks = 12
)

// roster lists the instances by which a starting instance joins the membership:
// the seeds of the settings, and, while none of those is reached, the rows that
// the instances of the lowest ranks wrote to the platform's table. If every
// instance wrote a row, hundreds that start at once would make two calls each.
//
// The failure it guards against: all machines that the settings name as seeds
// were replaced, and a starting instance reaches no other. It would serve alone,
// and neither the other instances nor callers would have its address.
type roster struct {
	seeds []wasabisettings.Seed
	table wasabiridge.Table
	self  wasabiridge.InstanceEntry
	// alone reports whether the membership view has no other instance, and rank
	// returns this instance's place in the view.
	alone func() bool
	rank  func() int
	// epoch returns the newest known epoch of the store.
	epoch func() wasabiridge.StoreEpoch
	// queried is set by the first call of Instances.
	queried bool
}

var _ wasabiridge.InstanceList = (*roster)(nil)

// Instances implements wasabiridge.InstanceList. It is not safe for concurrent
// use. The first call returns the seeds only; later ones also read the rows, as
// long as the membership view has no other instance.
func (r *roster) Instances(ctx context.Context) ([]wasabiridge.InstanceEntry, error) {
	entries := make([]wasabiridge.InstanceEntry, 0, len(r.seeds))
	for _, s := range r.seeds {
		entries = append(entries, wasabiridge.InstanceEntry{ID: s.Instance, PeerAddress: s.Address})
	}
	first := !r.queried
	r.queried = true
	if first || !r.alone() {
		return entries, nil
	}
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	rows, err := r.latest(ctx)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		var e wasabiridge.InstanceEntry
		if json.Unmarshal(row.Value, &e) == nil && e.ID != r.self.ID && e.PeerAddress != "" {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

// latest returns the most recently written rows, newest first. Rows of instances that
// are gone are never deleted, so older ones are likely to be useless.
func (r *roster) latest(ctx context.Context) ([]wasabiridge.Row, error) {
	var rows []wasabiridge.Row
	after := ""
	for range rosterPages {
		page, err := r.table.List(ctx, rosterPrefix, after, rosterRows)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < rosterRows {
			break
		}
		after = page[len(page)-1].Key
	}
	slices.SortStableFunc(rows, func(a, b wasabiridge.Row) int { return cmp.Compare(b.Revision, a.Revision) })
	return rows[:min(len(rows), rosterRows)], nil
}

// register writes this instance's row once its rank is below registeredRanks, and again
// after each restore of the store, which may have lost the row. It retries until the write
// succeeds, and ends with the context.
func (r *roster) register(ctx context.Context, incarnation wasabiridge.Incarnation) {
	value, err := json.Marshal(r.self)
	if err != nil {
		return
	}
	key, writer := rosterPrefix+string(r.self.ID), string(r.self.ID)+"/"+strconv.FormatUint(uint64(incarnation), 36)
	wait := registerDelay
	written, writtenIn := false, wasabiridge.StoreEpoch(0)
	for try := 0; ; try++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = registerInterval
		epoch := r.epoch()
		if written && epoch == writtenIn || r.rank() >= registeredRanks {
			continue
		}
		if r.write(ctx, key, value, writer+"/"+strconv.Itoa(try)) == nil {
			written, writtenIn = true, epoch
		}
	}
}

// write stores a value in a row, unless the row holds it already.
func (r *roster) write(ctx context.Context, key string, value []byte, id string) error {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	row, err := r.table.Get(ctx, key)
	if err != nil || string(row.Value) == string(value) {
		return err
	}
	return r.table.Commit(ctx, wasabiridge.Transaction{
		ID: wasabiridge.WriteID(id), Changes: []wasabiridge.RowChange{{Key: key, IfRevision: row.Revision, Value: value}}, Epoch: row.Epoch,
	})
}

// isAlone reports whether the membership view has no other instance.
func (n *Node) isAlone() bool { return len(n.members.Members()) == 0 }
