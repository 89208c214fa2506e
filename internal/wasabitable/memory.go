// Package wasabitable provides the platform's transactional table: an in-memory
// stand-in with fault injection, a client and a server of the DynamoDB API, and
// Writer, which keeps a write from taking effect twice.
//
// # Usage
//
// A test uses the stand-in and injects the faults that it needs:
//
//	table := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock})
//	table.Faults().Script(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LostAnswer})
//
// Writes go through a Writer, which resolves unknown outcomes:
//
//	writer := wasabitable.NewWriter(table, wasabitable.WriterOptions{Name: "pos-1/17"})
//	if err := writer.Commit(ctx, wasabitable.Write{Changes: changes}); err != nil {
//		return err
//	}
package wasabitable

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// MemoryOptions configures a Memory.
type MemoryOptions struct {
	Clock wasabiridge.Clock
	Plan  wasabifault.Plan
	// Sleep waits for the length of an injected delay and reports false when
	// the context ended first. Nil waits in real time.
	Sleep wasabifault.SleepFunc
}

// Stats counts calls to the table, including those that an injected fault
// rejected.
type Stats struct {
	Reads  uint64
	Writes uint64
	// Committed counts transactions that took effect.
	Committed uint64
}

// Memory is an in-memory stand-in for the platform's table. It is safe for
// concurrent use. Revisions come from one counter for all rows, so that a row
// that is deleted and created again never gets an old revision.
type Memory struct {
	clock  wasabiridge.Clock
	faults *wasabifault.Injector

	mu sync.Mutex
	// rows have the revisions of the epoch in which they were written.
	rows     map[string]wasabiridge.Row
	revision uint64
	epoch    wasabiridge.StoreEpoch
	late     []lateTransaction
	stats    Stats
}

type lateTransaction struct {
	due wasabiridge.Millis
	tx  wasabiridge.Transaction
}

var _ wasabiridge.Table = (*Memory)(nil)

// NewMemory returns an empty table.
func NewMemory(o MemoryOptions) *Memory {
	return &Memory{
		clock:  o.Clock,
		faults: wasabifault.NewInjector(o.Plan, o.Clock, o.Sleep),
		rows:   map[string]wasabiridge.Row{},
	}
}

// Faults returns the fault injector, to change its plan or to script the faults
// of single calls.
func (m *Memory) Faults() *wasabifault.Injector { return m.faults }

// Stats returns the counts since the table was created.
func (m *Memory) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// Get reads a row. A missing row has the revision 0.
func (m *Memory) Get(ctx context.Context, key string) (wasabiridge.Row, error) {
	if err := m.read(ctx, key); err != nil {
		return wasabiridge.Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLate()
	row, ok := m.rows[key]
	if !ok {
		return wasabiridge.Row{Key: key, Epoch: m.epoch}, nil
	}
	return m.inEpoch(row), nil
}

// List reads rows in the order of their keys.
func (m *Memory) List(ctx context.Context, prefix, after string, limit int) ([]wasabiridge.Row, error) {
	if err := m.read(ctx, prefix+"*"); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLate()
	var rows []wasabiridge.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, m.inEpoch(row))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

func (m *Memory) read(ctx context.Context, key string) error {
	m.count(func(s *Stats) { s.Reads++ })
	return m.faults.Read(ctx, key)
}

// Commit executes a transaction.
func (m *Memory) Commit(ctx context.Context, tx wasabiridge.Transaction) error {
	if err := CheckTransaction(tx); err != nil {
		return err
	}
	m.count(func(s *Stats) { s.Writes++ })
	return m.faults.Write(ctx, tx.Changes[0].Key, func(f wasabifault.Outcome) error {
		return m.execute(tx, f)
	})
}

func (m *Memory) execute(tx wasabiridge.Transaction, fate wasabifault.Outcome) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLate()
	switch fate.Kind {
	case wasabifault.LateEffect:
		m.late = append(m.late, lateTransaction{due: m.clock.Now() + fate.EffectDelay, tx: copyTransaction(tx)})
		return nil
	case wasabifault.Race:
		m.touch(tx)
	}
	return m.apply(tx)
}

// MemoryCopy is a copy of the content of a Memory.
type MemoryCopy struct {
	rows     map[string]wasabiridge.Row
	revision uint64
}

// Copy returns a copy of the content.
func (m *Memory) Copy() MemoryCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryCopy{rows: maps.Clone(m.rows), revision: m.revision}
}

// Restore replaces the content by a copy. Later writes are lost.
func (m *Memory) Restore(c MemoryCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rows, m.revision = maps.Clone(c.rows), c.revision
	m.epoch++
}

// inEpoch returns a row as it is read in the current epoch. The mutex must be held.
func (m *Memory) inEpoch(row wasabiridge.Row) wasabiridge.Row {
	row = copyRow(row)
	row.Epoch = m.epoch
	if row.Revision != 0 {
		// The numbers of restores and writes in a test are small.
		row.Revision, _ = wasabiridge.NewRevision(m.epoch, wasabiridge.VersionOf(row.Revision))
	}
	return row
}

// peek reads a row without injected faults.
func (m *Memory) peek(key string) wasabiridge.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLate()
	return m.inEpoch(m.rows[key])
}

// applyLate applies late transactions that are due. Their conditions are
// checked now, not when they were sent.
func (m *Memory) applyLate() {
	now := m.clock.Now()
	var waiting []lateTransaction
	for _, l := range m.late {
		if l.due > now {
			waiting = append(waiting, l)
			continue
		}
		// The caller has given up, so a conflict cannot be reported.
		_ = m.apply(l.tx)
	}
	m.late = waiting
}

// touch simulates a concurrent writer: it changes the revision and the write
// identifier of the first existing row of the transaction.
func (m *Memory) touch(tx wasabiridge.Transaction) {
	for _, c := range tx.Changes {
		if row, ok := m.rows[c.Key]; ok {
			m.revision++
			row.Revision = m.revision
			row.LastWrite = "race/" + tx.ID
			m.rows[c.Key] = row
			return
		}
	}
}

func (m *Memory) apply(tx wasabiridge.Transaction) error {
	if tx.Epoch != 0 && tx.Epoch != m.epoch {
		return wasabiridge.ErrConflict.New("transaction %q is of epoch %d, the table is at %d", tx.ID, tx.Epoch, m.epoch)
	}
	for _, c := range tx.Changes {
		if found := m.inEpoch(m.rows[c.Key]).Revision; found != c.IfRevision {
			return wasabiridge.ErrConflict.New("row %q has revision %d, want %d", c.Key, found, c.IfRevision)
		}
	}
	m.revision++
	m.stats.Committed++
	for _, c := range tx.Changes {
		if c.Delete {
			delete(m.rows, c.Key)
			continue
		}
		m.rows[c.Key] = wasabiridge.Row{
			Key:       c.Key,
			Revision:  m.revision,
			Value:     append([]byte(nil), c.Value...),
			LastWrite: tx.ID,
		}
	}
	return nil
}

func (m *Memory) count(add func(*Stats)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	add(&m.stats)
}

// CheckTransaction reports ErrInvalid for a transaction that no table accepts:
// one without an identifier, without changes, or with a change whose key is
// empty or repeated.
func CheckTransaction(tx wasabiridge.Transaction) error {
	if tx.ID == "" {
		return wasabiridge.ErrInvalid.New("transaction has no identifier")
	}
	if len(tx.Changes) == 0 {
		return wasabiridge.ErrInvalid.New("transaction %q has no changes", tx.ID)
	}
	seen := map[string]bool{}
	for _, c := range tx.Changes {
		if c.Key == "" || seen[c.Key] {
			return wasabiridge.ErrInvalid.New("transaction %q has an empty or repeated row key %q", tx.ID, c.Key)
		}
		seen[c.Key] = true
	}
	return nil
}

func copyRow(r wasabiridge.Row) wasabiridge.Row {
	r.Value = append([]byte(nil), r.Value...)
	return r
}

func copyTransaction(tx wasabiridge.Transaction) wasabiridge.Transaction {
	changes := make([]wasabiridge.RowChange, len(tx.Changes))
	for i, c := range tx.Changes {
		c.Value = append([]byte(nil), c.Value...)
		changes[i] = c
	}
	tx.Changes = changes
	return tx
}
