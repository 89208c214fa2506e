// Package wasabiinstances holds what stands between wasabiridge and the
// platform's list of live and leaving instances: a stand-in in memory that
// lags, an adapter that reads the JSON of Prometheus HTTP service discovery,
// and a stand-in server of that interface.
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

// MemoryOptions set up a stand-in in memory.
type MemoryOptions struct {
	Clock wasabiridge.Clock
	Plan  wasabifault.Plan
	// Sleep waits out injected delays. Nil waits in real time.
	Sleep wasabifault.SleepFunc
	// Lag is how long a change takes to show in the list.
	Lag wasabiridge.Millis
}

// Memory is a stand-in of the platform's list. It is safe for concurrent use.
type Memory struct {
	clock  wasabiridge.Clock
	lag    wasabiridge.Millis
	faults *wasabifault.Injector

	mu      sync.Mutex
	shown   map[wasabiridge.InstanceID]wasabiridge.InstanceEntry
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
		clock:  o.Clock,
		lag:    o.Lag,
		faults: wasabifault.NewInjector(o.Plan, o.Clock, o.Sleep),
		shown:  map[wasabiridge.InstanceID]wasabiridge.InstanceEntry{},
	}
}

// Faults returns the injector, to change the plan or script single fates.
func (m *Memory) Faults() *wasabifault.Injector { return m.faults }

// Set adds or replaces an instance. The list shows it after the lag.
func (m *Memory) Set(e wasabiridge.InstanceEntry) { m.change(listChange{entry: e}) }

// Remove takes an instance away. The list shows it until the lag is over.
func (m *Memory) Remove(id wasabiridge.InstanceID) {
	m.change(listChange{entry: wasabiridge.InstanceEntry{ID: id}, removed: true})
}

func (m *Memory) change(c listChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.due = m.clock.Now() + m.lag
	m.pending = append(m.pending, c)
}

// Instances returns the list as it was one lag ago, in the order of names.
func (m *Memory) Instances(ctx context.Context) ([]wasabiridge.InstanceEntry, error) {
	if err := m.faults.Read(ctx, "instances"); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.catchUp()
	entries := make([]wasabiridge.InstanceEntry, 0, len(m.shown))
	for _, e := range m.shown {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return entries, nil
}

// catchUp shows changes that are old enough. They are due in the order in
// which they were made, because the lag is the same for all.
func (m *Memory) catchUp() {
	now := m.clock.Now()
	for len(m.pending) > 0 && m.pending[0].due <= now {
		c := m.pending[0]
		m.pending = m.pending[1:]
		if c.removed {
			delete(m.shown, c.entry.ID)
			continue
		}
		m.shown[c.entry.ID] = c.entry
	}
}
