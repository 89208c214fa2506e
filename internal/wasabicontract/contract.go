// Package wasabicontract holds what every implementation of the platform's
// interfaces must do, as checks that the tests of any adapter can run.
//
// # Usage
//
// A suite runs each check as a spec of its own, against a fresh subject:
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

// ErrBroken says that an implementation does not keep the contract.
var ErrBroken = wasabiridge.Errors.NewType("contract_broken")

// Checks are named checks. Each returns nil or ErrBroken.
type Checks map[string]func(ctx context.Context) error

// Names returns the names in order, so that suites are the same every time.
func (c Checks) Names() []string {
	names := make([]string, 0, len(c))
	for name := range c {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Script sets the fates of the next operations of a subject.
type Script func(op wasabifault.Op, fates ...wasabifault.Fate)

// Specs makes a Ginkgo spec of each check. Call it inside a container node.
func Specs(checks Checks) {
	for _, name := range checks.Names() {
		ginkgo.It(name, func(ctx ginkgo.SpecContext) {
			if err := checks[name](ctx); err != nil {
				ginkgo.Fail(err.Error())
			}
		})
	}
}

// expectType reports ErrBroken unless the error is of the wanted type. A nil
// type stands for no error.
func expectType(what string, err error, want *errorx.Type) error {
	switch {
	case want == nil && err != nil:
		return ErrBroken.Wrap(err, "%s failed", what)
	case want != nil && !errorx.IsOfType(err, want):
		return ErrBroken.New("%s reported %v, not %s", what, err, want)
	}
	return nil
}

func expect(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return ErrBroken.New(format, args...)
}

// first returns the first error, so that a check reads as a list of steps.
// Steps run in order and stop at the first failure.
func first(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}
