// Package wasabiobject provides the platform's object store: an in-memory
// stand-in with fault injection, and a client and a server of the S3 API.
//
// # Usage
//
//	objects := wasabiobject.NewMemory(wasabiobject.MemoryOptions{Clock: clock})
//	if err := objects.Put(ctx, "outcomes/2026-12-02/pos-1", data); err != nil {
//		return err
//	}
//
// A process that shares its platform with others uses the client:
//
//	objects := wasabiobject.NewClient(wasabiobject.ClientOptions{URL: url})
package wasabiobject

import (
	"context"
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
	// Sleep waits for the length of an injected delay. Nil waits in real time.
	Sleep wasabifault.SleepFunc
}

// Memory is an in-memory stand-in for the platform's object store. It is safe
// for concurrent use.
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

// Faults returns the fault injector, to change its plan or to script the faults
// of single calls.
func (m *Memory) Faults() *wasabifault.Injector { return m.faults }

// Get reads an object. It reports ErrNotFound for a missing one.
func (m *Memory) Get(ctx context.Context, name string) ([]byte, error) {
	if err := m.faults.Read(ctx, name); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLate()
	data, ok := m.objects[name]
	if !ok {
		return nil, wasabiridge.ErrNotFound.New("object %q does not exist", name)
	}
	return append([]byte{}, data...), nil
}

// Put creates or replaces an object. A write that an injected fault delays
// overwrites later ones when it takes effect, as in a store without conditional
// writes.
func (m *Memory) Put(ctx context.Context, name string, data []byte) error {
	if name == "" {
		return wasabiridge.ErrInvalid.New("object has no name")
	}
	stored := append([]byte{}, data...)
	return m.faults.Write(ctx, name, func(f wasabifault.Outcome) error {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.applyLate()
		if f.Kind == wasabifault.LateEffect {
			m.late = append(m.late, lateObject{due: m.clock.Now() + f.EffectDelay, name: name, data: stored})
			return nil
		}
		m.objects[name] = stored
		return nil
	})
}

// applyLate applies late writes that are due.
func (m *Memory) applyLate() {
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

// List returns object names in order.
func (m *Memory) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := m.faults.Read(ctx, prefix+"*"); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLate()
	var names []string
	for name := range m.objects {
		if strings.HasPrefix(name, prefix) && name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names[:min(limit, len(names))], nil
}
