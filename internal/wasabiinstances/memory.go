// Package wasabiinstances provides the platform's list of live and leaving
// instances: a client that reads the JSON of Prometheus HTTP service discovery,
// an in-memory stand-in whose changes appear with a lag, and a server that
// offers the stand-in over the same interface.
//
// # Usage
//
//	list := wasabiinstances.NewMemory(wasabiinstances.MemoryOptions{Clock: clock, Lag: 5 * wasabiridge.Second})
//	list.Set(wasabiridge.InstanceEntry{ID: "pos-1", PeerAddress: "127.0.0.1:7001"})
//	list.Remove("pos-1")
package wasabiinstances

import (
	"context"
	"sort"
	"sync"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// MemoryOptions configures a Memory.
type MemoryOptions struct {
	Clock wasabiridge.Clock
	Plan  wasabifault.Plan
	// Sleep waits for the length of an injected delay. Nil waits in real time.
	Sleep wasabifault.SleepFunc
	// Lag is how long a change takes to appear in the list.
	Lag wasabiridge.Millis
}

// Memory is an in-memory stand-in for the platform's list. It is safe for
// concurrent use.
type Memory struct {
	clock  wasabiridge.Clock
	lag    wasabiridge.Millis
	faults *wasabifault.Injector

	mu      sync.Mutex
	visible map[wasabiridge.InstanceID]wasabiridge.InstanceEntry
	pending []listChange
}

type listChange struct {
	due     wasabiridge.Millis
	entry   wasabiridge.InstanceEntry
	removed bool
}

var _ wasabiridge.InstanceList = (*Memory)(nil)

// NewMemory returns an empty list.
func NewMemory(o MemoryOptions) *Memory {
	return &Memory{
		clock:   o.Clock,
		lag:     o.Lag,
		faults:  wasabifault.NewInjector(o.Plan, o.Clock, o.Sleep),
		visible: map[wasabiridge.InstanceID]wasabiridge.InstanceEntry{},
	}
}

// Faults returns the fault injector, to change its plan or to script the faults
// of single calls.
func (m *Memory) Faults() *wasabifault.Injector { return m.faults }

// Set adds or replaces an instance. The list shows the change after the lag.
func (m *Memory) Set(e wasabiridge.InstanceEntry) { m.change(listChange{entry: e}) }

// Remove removes an instance. The list still shows it until the lag is over.
func (m *Memory) Remove(id wasabiridge.InstanceID) {
	m.change(listChange{entry: wasabiridge.InstanceEntry{ID: id}, removed: true})
}

func (m *Memory) change(c listChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.due = m.clock.Now() + m.lag
	m.pending = append(m.pending, c)
}

// Instances returns the list as it was one lag ago, ordered by name.
func (m *Memory) Instances(ctx context.Context) ([]wasabiridge.InstanceEntry, error) {
	if err := m.faults.Read(ctx, "instances"); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDue()
	entries := make([]wasabiridge.InstanceEntry, 0, len(m.visible))
	for _, e := range m.visible {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return entries, nil
}

// applyDue applies the changes whose lag is over. The lag is the same for all,
// so they are due in the order in which they were made.
func (m *Memory) applyDue() {
	now := m.clock.Now()
	for len(m.pending) > 0 && m.pending[0].due <= now {
		c := m.pending[0]
		m.pending = m.pending[1:]
		if c.removed {
			delete(m.visible, c.entry.ID)
			continue
		}
		m.visible[c.entry.ID] = c.entry
	}
}
