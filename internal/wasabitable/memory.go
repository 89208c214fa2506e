// Package wasabitable holds what stands between wasabiridge and the
// platform's transactional table: a stand-in in memory with injected faults,
// an adapter and a stand-in server over HTTP, and the guard that keeps a write
// from taking effect twice.
//
// # Usage
//
// A test takes the stand-in in memory and breaks it as it needs:
//
//	table := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock})
//	table.Faults().Script(wasabifault.Write, wasabifault.Fate{Kind: wasabifault.LostAnswer})
//
// Whoever writes does so through a Writer, which settles unknown outcomes:
//
//	writer := wasabitable.NewWriter(table, wasabitable.WriterOptions{Name: "pos-1/17"})
//	if err := writer.Commit(ctx, wasabitable.Write{Changes: changes}); err != nil {
//		return err
//	}
package wasabitable

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// MemoryOptions set up a stand-in in memory.
type MemoryOptions struct {
	Clock wasabiridge.Clock
	Plan  wasabifault.Plan
	// Sleep waits out injected delays and reports false when the context
	// ended first. Nil waits in real time.
	Sleep wasabifault.SleepFunc
}

// Stats counts calls that reached the table, turned away or not.
type Stats struct {
	Reads  uint64
	Writes uint64
	// Committed counts transactions that took effect.
	Committed uint64
}

// Memory is a stand-in of the platform's table. It is safe for concurrent
// use. Revisions come from one counter for all rows, so that a row that is
// deleted and made again never shows an old revision.
type Memory struct {
	clock  wasabiridge.Clock
	faults *wasabifault.Injector

	mu       sync.Mutex
	rows     map[string]wasabiridge.Row
	revision uint64
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

// Faults returns the injector, to change the plan or script single fates.
func (m *Memory) Faults() *wasabifault.Injector { return m.faults }

// Stats returns the counts since the start.
func (m *Memory) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// Get reads a row.
func (m *Memory) Get(ctx context.Context, key string) (wasabiridge.Row, error) {
	if err := m.read(ctx, key); err != nil {
		return wasabiridge.Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrive()
	row, ok := m.rows[key]
	if !ok {
		return wasabiridge.Row{Key: key}, nil
	}
	return copyRow(row), nil
}

// List reads rows in the order of their keys.
func (m *Memory) List(ctx context.Context, prefix, after string, limit int) ([]wasabiridge.Row, error) {
	if err := m.read(ctx, prefix+"*"); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrive()
	var rows []wasabiridge.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, copyRow(row))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

func (m *Memory) read(ctx context.Context, key string) error {
	m.count(func(s *Stats) { s.Reads++ })
	return m.faults.Read(ctx, key)
}

// Commit carries out a transaction.
func (m *Memory) Commit(ctx context.Context, tx wasabiridge.Transaction) error {
	if err := CheckTransaction(tx); err != nil {
		return err
	}
	m.count(func(s *Stats) { s.Writes++ })
	return m.faults.Write(ctx, tx.Changes[0].Key, func(f wasabifault.Fate) error {
		return m.carryOut(tx, f)
	})
}

func (m *Memory) carryOut(tx wasabiridge.Transaction, fate wasabifault.Fate) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrive()
	switch fate.Kind {
	case wasabifault.LateEffect:
		m.late = append(m.late, lateTransaction{due: m.clock.Now() + fate.Late, tx: copyTransaction(tx)})
		return nil
	case wasabifault.Race:
		m.touch(tx)
	}
	return m.apply(tx)
}

// peek reads a row past the injected faults.
func (m *Memory) peek(key string) wasabiridge.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrive()
	return copyRow(m.rows[key])
}

// arrive carries out late transactions that are due. Their conditions are
// tested now, not when they were sent.
func (m *Memory) arrive() {
	now := m.clock.Now()
	var waiting []lateTransaction
	for _, l := range m.late {
		if l.due > now {
			waiting = append(waiting, l)
			continue
		}
		// The caller has given up, so nobody is left to hear of a conflict.
		_ = m.apply(l.tx)
	}
	m.late = waiting
}

// touch rewrites the first existing row of the transaction under another
// writer's identifier.
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
	for _, c := range tx.Changes {
		if found := m.rows[c.Key].Revision; found != c.IfRevision {
			return wasabiridge.ErrConflict.New("row %q has revision %d, not %d", c.Key, found, c.IfRevision)
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

// CheckTransaction reports ErrInvalid for a transaction that no table takes:
// one without an identifier, without changes, or with a row named twice.
func CheckTransaction(tx wasabiridge.Transaction) error {
	if tx.ID == "" {
		return wasabiridge.ErrInvalid.New("transaction without an identifier")
	}
	if len(tx.Changes) == 0 {
		return wasabiridge.ErrInvalid.New("transaction %q without changes", tx.ID)
	}
	seen := map[string]bool{}
	for _, c := range tx.Changes {
		if c.Key == "" || seen[c.Key] {
			return wasabiridge.ErrInvalid.New("transaction %q names row %q twice or not at all", tx.ID, c.Key)
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
