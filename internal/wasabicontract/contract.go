// Package wasabicontract provides conformance tests for the platform's interfaces. The
// tests of every adapter run these checks against the adapter.
//
// # Usage
//
// A test suite runs each check as a separate spec, against a fresh subject:
//
//	wasabicontract.Specs(wasabicontract.Table(func() wasabicontract.TableSubject {
//		return wasabicontract.TableSubject{Table: newAdapter()}
//	}))
package wasabicontract

import (
	"context"
	"sort"

	"github.com/joomcode/errorx"
	"github.com/onsi/ginkgo/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// ErrViolated is the type of errors for an implementation that violates the contract.
var ErrViolated = wasabiridge.Errors.NewType("contract_broken")

// Checks maps names to checks. A check returns nil, or an error of type ErrViolated.
type Checks map[string]func(ctx context.Context) error

// Names returns the names in sorted order, so that suites list their specs in the same
// order every time.
func (c Checks) Names() []string {
	names := make([]string, 0, len(c))
	for name := range c {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// InjectFaults sets the fates of the next operations of the given kind on a subject:
// the fault that is injected into each, if any.
type InjectFaults func(op wasabifault.Op, fates ...wasabifault.Outcome)

// Specs registers a Ginkgo spec for each check. Call it inside a container node.
func Specs(checks Checks) {
	for _, name := range checks.Names() {
		ginkgo.It(name, func(ctx ginkgo.SpecContext) {
			if err := checks[name](ctx); err != nil {
				ginkgo.Fail(err.Error())
			}
		})
	}
}

// expectType returns an error unless err is of the wanted type. If want is nil, err must be
// nil too. The operation is named in the error message.
func expectType(operation string, err error, want *errorx.Type) error {
	switch {
	case want == nil && err != nil:
		return ErrViolated.Wrap(err, "%s failed", operation)
	case want != nil && !errorx.IsOfType(err, want):
		return ErrViolated.New("%s: got error %v, want an error of type %s", operation, err, want)
	}
	return nil
}

// expect returns an error with the message unless ok is true.
func expect(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return ErrViolated.New(format, args...)
}

// runSteps runs the steps in order until one fails, and returns its error.
func runSteps(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}
