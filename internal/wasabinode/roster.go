package wasabinode

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

const (
	rosterPrefix = "member/"
	// rosterMost bounds the rows that are read.
	rosterMost = 500
	// rosterTimeout bounds one call, signInterval is the time between two
	// tries to write the own row.
	rosterTimeout = 2 * time.Second
	signInterval  = 3 * time.Second
)

// roster is the list of instances: those that the settings name, and for an
// instance that reaches none of them the rows that all instances write when
// they start.
//
// The failure it guards against: the machines that the settings name were
// replaced, and an instance that starts finds nobody. It would serve alone,
// unknown to the others and to callers.
type roster struct {
	seeds []wasabisettings.Seed
	table wasabiridge.Table
	self  wasabiridge.InstanceEntry
	// alone reports whether no other instance is known.
	alone func() bool
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
	rows, err := r.table.List(ctx, rosterPrefix, "", rosterMost)
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

// sign writes the own row, once it can.
func (r *roster) sign(ctx context.Context, incarnation wasabiridge.Incarnation) {
	value, err := json.Marshal(r.self)
	if err != nil {
		return
	}
	key := rosterPrefix + string(r.self.ID)
	for try := 0; ; try++ {
		if r.write(ctx, key, value, string(r.self.ID)+"/"+strconv.FormatUint(uint64(incarnation), 36)+"/"+strconv.Itoa(try)) == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(signInterval):
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
