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
	// rosterMost bounds the rows of one call and those that are used, rosterPages the
	// calls.
	rosterMost  = 500
	rosterPages = 20
	// rosterTimeout bounds one call, signInterval is the time between two
	// tries to write the own row.
	rosterTimeout = 2 * time.Second
	signInterval  = 3 * time.Second
	// signDelay is how long after its start an instance knows its rank, and signers
	// is how many of the lowest ranks write their rows. One living instance is
	// enough to find all others; the rest is for those that go at once.
	signDelay = 2 * time.Second
	signers   = 12
)

// roster is the list of instances: those that the settings name, and for an
// instance that reaches none of them the rows that instances of the lowest ranks
// write. Rows of all would cost two calls for each of hundreds of instances that
// start at once.
//
// The failure it guards against: the machines that the settings name were
// replaced, and an instance that starts finds nobody. It would serve alone,
// unknown to the others and to callers.
type roster struct {
	seeds []wasabisettings.Seed
	table wasabiridge.Table
	self  wasabiridge.InstanceEntry
	// alone reports whether no other instance is known, rank is this one's place
	// among those that are.
	alone func() bool
	rank  func() int
	asked bool
}

var _ wasabiridge.InstanceList = (*roster)(nil)

// Instances implements wasabiridge.InstanceList for one goroutine. The rows
// are read only by an instance that is still alone when it asks again.
func (r *roster) Instances(ctx context.Context) ([]wasabiridge.InstanceEntry, error) {
	entries := make([]wasabiridge.InstanceEntry, 0, len(r.seeds))
	for _, s := range r.seeds {
		entries = append(entries, wasabiridge.InstanceEntry{ID: s.Instance, PeerAddress: s.Address})
	}
	first := !r.asked
	r.asked = true
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

// latest returns the rows that were written last. Nobody deletes those of instances that
// are gone.
func (r *roster) latest(ctx context.Context) ([]wasabiridge.Row, error) {
	var rows []wasabiridge.Row
	after := ""
	for range rosterPages {
		page, err := r.table.List(ctx, rosterPrefix, after, rosterMost)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < rosterMost {
			break
		}
		after = page[len(page)-1].Key
	}
	slices.SortStableFunc(rows, func(a, b wasabiridge.Row) int { return cmp.Compare(b.Revision, a.Revision) })
	return rows[:min(len(rows), rosterMost)], nil
}

// sign writes the own row, once this instance has a low rank and the store takes it.
func (r *roster) sign(ctx context.Context, incarnation wasabiridge.Incarnation) {
	value, err := json.Marshal(r.self)
	if err != nil {
		return
	}
	key, life := rosterPrefix+string(r.self.ID), string(r.self.ID)+"/"+strconv.FormatUint(uint64(incarnation), 36)
	wait := signDelay
	for try := 0; ; try++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = signInterval
		if r.rank() < signers && r.write(ctx, key, value, life+"/"+strconv.Itoa(try)) == nil {
			return
		}
	}
}

// write makes the row say what it should, if it does not yet.
func (r *roster) write(ctx context.Context, key string, value []byte, id string) error {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	row, err := r.table.Get(ctx, key)
	if err != nil || string(row.Value) == string(value) {
		return err
	}
	return r.table.Commit(ctx, wasabiridge.Transaction{
		ID: wasabiridge.WriteID(id), Changes: []wasabiridge.RowChange{{Key: key, IfRevision: row.Revision, Value: value}},
	})
}

// isAlone reports whether no other instance is known.
func (n *Node) isAlone() bool { return len(n.members.Members()) == 0 }
