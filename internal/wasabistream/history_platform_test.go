package wasabistream_test

import (
	"context"
	"encoding/json"

	"github.com/wasabiridge/wasabiridge"
)

// source is the platform as one instance reads it.
type source struct {
	h *streamHistory
	a *instance
}

func (s source) ReadConfig(context.Context) (wasabiridge.ConfigSnapshot, error) {
	return wasabiridge.ConfigSnapshot{}, nil
}

func (s source) ReadBackends(context.Context) (wasabiridge.BackendSnapshot, error) {
	if !s.h.storeReached(s.a) {
		return wasabiridge.BackendSnapshot{}, wasabiridge.ErrUnavailable.New("away")
	}
	var out wasabiridge.BackendSnapshot
	for _, b := range s.h.servers {
		if b.alive {
			out.Entries = append(out.Entries, wasabiridge.BackendEntry{Pool: pool, Server: wasabiridge.BackendServer{ID: b.id, Software: b.software}})
		}
	}
	return out, nil
}

// rows is the platform's table as one instance reaches it. The outcome of some writes is
// not known.
type rows struct {
	h *streamHistory
	a *instance
}

func (r rows) Get(context.Context, string) (wasabiridge.Row, error) {
	if !r.h.storeReached(r.a) {
		return wasabiridge.Row{}, wasabiridge.ErrUnavailable.New("away")
	}
	return r.h.row, nil
}

func (r rows) List(context.Context, string, string, int) ([]wasabiridge.Row, error) { return nil, nil }

func (r rows) Commit(_ context.Context, tx wasabiridge.Transaction) error {
	change := tx.Changes[0]
	switch {
	case !r.h.storeReached(r.a) || r.h.writesFail || r.h.random.IntN(5) == 0:
		return wasabiridge.ErrUnavailable.New("away")
	case change.IfRevision != r.h.row.Revision:
		return wasabiridge.ErrConflict.New("row changed")
	}
	r.h.row = wasabiridge.Row{Key: change.Key, Revision: r.h.row.Revision + 1, Value: change.Value}
	if !json.Valid(change.Value) {
		r.h.violations = append(r.h.violations, "the row is not JSON")
	}
	if r.h.random.IntN(5) == 0 {
		return wasabiridge.ErrUnavailable.New("the answer is lost")
	}
	return nil
}

// finder asks other instances.
type finder struct {
	h *streamHistory
	a *instance
}

func (f finder) FindStream(_ context.Context, address string, q wasabiridge.StreamQuery) (wasabiridge.StreamAnswer, error) {
	f.h.mu.RLock()
	defer f.h.mu.RUnlock()
	for _, b := range f.h.instances {
		if string(b.id) == address && f.h.reaches(f.a.id, b) {
			return b.streams.Answer(q), nil
		}
	}
	return wasabiridge.StreamAnswer{}, wasabiridge.ErrUnavailable.New("no answer")
}
