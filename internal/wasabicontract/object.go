package wasabicontract

import (
	"bytes"
	"context"
	"slices"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// ObjectSubject is an empty object store under test.
type ObjectSubject struct {
	Store  wasabiridge.ObjectStore
	Script InjectFaults
}

// Objects returns the checks for wasabiridge.ObjectStore. Fresh is called for each check
// and must return an empty store.
func Objects(fresh func() ObjectSubject) Checks {
	checks := Checks{}
	for name, check := range objectChecks {
		checks[name] = func(ctx context.Context) error {
			return check(objectSteps{ObjectSubject: fresh(), ctx: ctx})
		}
	}
	return checks
}

var objectChecks = map[string]func(s objectSteps) error{
	"a read of a missing object returns not found": func(s objectSteps) error {
		_, err := s.Store.Get(s.ctx, "a")
		return expectType("read", err, wasabiridge.ErrNotFound)
	},
	"an object keeps all bytes, and a write replaces it completely": func(s objectSteps) error {
		long := bytes.Repeat([]byte{0, 255, '\r', '\n'}, 50_000)
		return runSteps(
			s.put("d/ä ?#%&+", long, nil),
			s.holds("d/ä ?#%&+", long),
			s.put("d/ä ?#%&+", []byte("short"), nil),
			s.holds("d/ä ?#%&+", []byte("short")),
			s.lists("d/", "", 5, "d/ä ?#%&+"),
		)
	},
	"an empty object can be stored and read": func(s objectSteps) error {
		return runSteps(s.put("a", nil, nil), s.holds("a", nil))
	},
	"a list is sorted and limited": func(s objectSteps) error {
		return runSteps(
			s.put("p/2", nil, nil), s.put("p/1", nil, nil), s.put("p/3", nil, nil), s.put("q", nil, nil),
			s.lists("p/", "", 2, "p/1", "p/2"),
			s.lists("p/", "p/2", 2, "p/3"),
			s.lists("r/", "", 2),
		)
	},
	"a write that is reported as unavailable has no effect": func(s objectSteps) error {
		s.script(wasabifault.Unavailable)
		return runSteps(s.put("a", []byte("1"), wasabiridge.ErrUnavailable), s.missing("a"))
	},
	"a write with a lost answer is reported as unknown and has an effect": func(s objectSteps) error {
		s.script(wasabifault.LostAnswer)
		return runSteps(s.put("a", []byte("1"), wasabiridge.ErrOutcomeUnknown), s.holds("a", []byte("1")))
	},
	"a lost write request is reported as unknown and has no effect": func(s objectSteps) error {
		s.script(wasabifault.LostRequest)
		return runSteps(s.put("a", []byte("1"), wasabiridge.ErrOutcomeUnknown), s.missing("a"))
	},
}

type objectSteps struct {
	ObjectSubject
	ctx context.Context
}

func (s objectSteps) script(kind wasabifault.Kind) {
	s.Script(wasabifault.Write, wasabifault.Outcome{Kind: kind})
}

func (s objectSteps) put(name string, data []byte, want *errorx.Type) func() error {
	return func() error { return expectType("write of "+name, s.Store.Put(s.ctx, name, data), want) }
}

func (s objectSteps) missing(name string) func() error {
	return func() error {
		_, err := s.Store.Get(s.ctx, name)
		return expectType("read of "+name, err, wasabiridge.ErrNotFound)
	}
}

func (s objectSteps) holds(name string, want []byte) func() error {
	return func() error {
		data, err := s.Store.Get(s.ctx, name)
		if err != nil {
			return ErrViolated.Wrap(err, "read of %q failed", name)
		}
		return expect(bytes.Equal(data, want), "object %q: got %d bytes that differ from the %d bytes written", name, len(data), len(want))
	}
}

func (s objectSteps) lists(prefix, after string, limit int, want ...string) func() error {
	return func() error {
		names, err := s.Store.List(s.ctx, prefix, after, limit)
		if err != nil {
			return ErrViolated.Wrap(err, "list of %q failed", prefix)
		}
		return expect(slices.Equal(names, want), "list of %q after %q: got %q, want %q", prefix, after, names, want)
	}
}
