package wasabicontract

import (
	"context"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// ListSubject is an empty instance list under test. Set and Remove change the list on the
// platform's side, and Wait waits until the changes are visible.
type ListSubject struct {
	List   wasabiridge.InstanceList
	Set    func(e wasabiridge.InstanceEntry)
	Remove func(id wasabiridge.InstanceID)
	Wait   func()
	Script InjectFaults
}

// Instances returns the checks for wasabiridge.InstanceList. Fresh is called for each check
// and must return an empty list. Changes must become visible with a delay, not
// immediately.
func Instances(fresh func() ListSubject) Checks {
	checks := Checks{}
	for name, check := range listChecks {
		checks[name] = func(ctx context.Context) error {
			return check(listSteps{ListSubject: fresh(), ctx: ctx})
		}
	}
	return checks
}

var (
	entryOne = wasabiridge.InstanceEntry{
		ID: "pos-1", PeerAddress: "127.0.0.1:7001", CallerURL: "http://127.0.0.1:8001",
		Zone: "port-of-spain", Region: "trinidad",
	}
	entryTwo = wasabiridge.InstanceEntry{
		ID: "sfo-1", PeerAddress: "[::1]:7002", CallerURL: "http://[::1]:8002",
		Zone: "san-fernando", Region: "trinidad", Leaving: true,
	}
)

var listChecks = map[string]func(s listSteps) error{
	"an empty list is no error": func(s listSteps) error { return s.shows()() },
	"all fields are kept, and entries are sorted by name": func(s listSteps) error {
		return runSteps(s.set(entryTwo), s.set(entryOne), s.wait(), s.shows(entryOne, entryTwo))
	},
	"a removed instance is still listed until the lag has passed": func(s listSteps) error {
		return runSteps(s.set(entryOne), s.wait(), s.remove(entryOne.ID), s.shows(entryOne), s.wait(), s.shows())
	},
	"a new instance is not listed until the lag has passed": func(s listSteps) error {
		return runSteps(s.set(entryOne), s.shows(), s.wait(), s.shows(entryOne))
	},
	"an outage is reported as unavailable, not as an empty list": func(s listSteps) error {
		s.Script(wasabifault.Read, wasabifault.Outcome{Kind: wasabifault.Unavailable})
		_, err := s.List.Instances(s.ctx)
		return expectType("read of the list", err, wasabiridge.ErrUnavailable)
	},
}

type listSteps struct {
	ListSubject
	ctx context.Context
}

func (s listSteps) set(e wasabiridge.InstanceEntry) func() error {
	return func() error { s.Set(e); return nil }
}

func (s listSteps) remove(id wasabiridge.InstanceID) func() error {
	return func() error { s.Remove(id); return nil }
}

func (s listSteps) wait() func() error {
	return func() error { s.Wait(); return nil }
}

func (s listSteps) shows(want ...wasabiridge.InstanceEntry) func() error {
	return func() error {
		got, err := s.List.Instances(s.ctx)
		if err != nil {
			return ErrViolated.Wrap(err, "read of the instance list failed")
		}
		return expect(slices.Equal(got, want), "instance list: got %+v, want %+v", got, want)
	}
}
