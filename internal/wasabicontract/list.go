package wasabicontract

import (
	"context"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// ListSubject is an empty list of instances under test, with the platform's
// side of it. Wait passes the lag of the list.
type ListSubject struct {
	List   wasabiridge.InstanceList
	Set    func(e wasabiridge.InstanceEntry)
	Remove func(id wasabiridge.InstanceID)
	Wait   func()
	Script Script
}

// Instances returns the contract of wasabiridge.InstanceList. The function
// makes an empty list for each check. The lag must not be zero.
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
	"every field is kept, in the order of names": func(s listSteps) error {
		return first(s.set(entryTwo), s.set(entryOne), s.wait(), s.shows(entryOne, entryTwo))
	},
	"a dead instance is still listed within the lag": func(s listSteps) error {
		return first(s.set(entryOne), s.wait(), s.remove(entryOne.ID), s.shows(entryOne), s.wait(), s.shows())
	},
	"a new instance is missing within the lag": func(s listSteps) error {
		return first(s.set(entryOne), s.shows(), s.wait(), s.shows(entryOne))
	},
	"an outage is unavailable, not an empty list": func(s listSteps) error {
		s.Script(wasabifault.Read, wasabifault.Fate{Kind: wasabifault.Unavailable})
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
			return ErrBroken.Wrap(err, "read of the list failed")
		}
		return expect(slices.Equal(got, want), "the list is %+v, not %+v", got, want)
	}
}
