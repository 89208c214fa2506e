// Package wasabiobject holds what stands between wasabiridge and the
// platform's object store: a stand-in in memory with injected faults, an
// adapter that speaks the S3 API, and a stand-in server of that API.
//
// # Usage
//
//	objects := wasabiobject.NewMemory(wasabiobject.MemoryOptions{Clock: clock})
//	if err := objects.Put(ctx, "outcomes/2026-12-02/pos-1", data); err != nil {
//		return err
//	}
//
// A process that shares its platform with others uses the adapter:
//
//	objects, err := wasabiobject.NewClient(wasabiobject.ClientOptions{URL: url})
package wasabiobject

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
	// Sleep waits out injected delays. Nil waits in real time.
	Sleep wasabifault.SleepFunc
}

// Memory is a stand-in of the platform's object store. It is safe for
// concurrent use.
type Memory struct {
	clock  wasabiridge.Clock
	faults *wasabifault.Injector

	mu      sync.Mutex
	objects map[string][]byte
	late    []lateObject
}

type lateObject struct {
	due  wasabiridge.Millis
	name string
	data []byte
}

var _ wasabiridge.ObjectStore = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory(o MemoryOptions) *Memory {
	return &Memory{
		clock:   o.Clock,
		faults:  wasabifault.NewInjector(o.Plan, o.Clock, o.Sleep),
		objects: map[string][]byte{},
	}
}

// Faults returns the injector, to change the plan or script single fates.
func (m *Memory) Faults() *wasabifault.Injector { return m.faults }

// Get reads an object.
func (m *Memory) Get(ctx context.Context, name string) ([]byte, error) {
	if err := m.faults.Read(ctx, name); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrive()
	data, ok := m.objects[name]
	if !ok {
		return nil, wasabiridge.ErrNotFound.New("no object %q", name)
	}
	return append([]byte{}, data...), nil
}

// Put writes an object as a whole. A copy that comes late overwrites what was
// written meanwhile, as in a store without conditions.
func (m *Memory) Put(ctx context.Context, name string, data []byte) error {
	if name == "" {
		return wasabiridge.ErrInvalid.New("object without a name")
	}
	kept := append([]byte{}, data...)
	return m.faults.Write(ctx, name, func(f wasabifault.Fate) error {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.arrive()
		if f.Kind == wasabifault.LateEffect {
			m.late = append(m.late, lateObject{due: m.clock.Now() + f.Late, name: name, data: kept})
			return nil
		}
		m.objects[name] = kept
		return nil
	})
}

// arrive carries out late writes that are due.
func (m *Memory) arrive() {
	now := m.clock.Now()
	var waiting []lateObject
	for _, l := range m.late {
		if l.due > now {
			waiting = append(waiting, l)
			continue
		}
		m.objects[l.name] = l.data
	}
	m.late = waiting
}

// List names objects in order.
func (m *Memory) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := m.faults.Read(ctx, prefix+"*"); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrive()
	var names []string
	for name := range m.objects {
		if strings.HasPrefix(name, prefix) && name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names[:min(limit, len(names))], nil
}
