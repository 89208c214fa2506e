package wasabicontract

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// WeightSubject is an empty weight store under test, with the platform's side
// of it.
type WeightSubject struct {
	Store   wasabiridge.WeightStore
	Publish func(ctx context.Context, m wasabiridge.ModelID, a wasabiridge.AdapterID, v wasabiridge.WeightsVersion) error
	Script  Script
}

// Weights returns the contract of wasabiridge.WeightStore. The function makes
// an empty store for each check.
func Weights(fresh func() WeightSubject) Checks {
	checks := Checks{}
	for name, check := range weightChecks {
		checks[name] = func(ctx context.Context) error {
			return check(weightSteps{WeightSubject: fresh(), ctx: ctx})
		}
	}
	return checks
}

var weightChecks = map[string]func(s weightSteps) error{
	"nothing published is not found": func(s weightSteps) error {
		return s.latest("large", "", 0, wasabiridge.ErrNotFound)()
	},
	"the newest counts, in whatever order it came": func(s weightSteps) error {
		return first(
			s.publish("large", "", 9), s.publish("large", "", 10), s.publish("large", "", 2),
			s.latest("large", "", 10, nil),
		)
	},
	"models and adapters are apart": func(s weightSteps) error {
		return first(
			s.publish("large", "", 1), s.publish("large", "legal", 2),
			s.publish("large/legal", "", 3), s.publish("larg", "e", 4),
			s.latest("large", "", 1, nil), s.latest("large", "legal", 2, nil),
			s.latest("large/legal", "", 3, nil), s.latest("large", "le", 0, wasabiridge.ErrNotFound),
		)
	},
	"above its rate the store is unavailable, not empty": func(s weightSteps) error {
		s.Script(wasabifault.Read, wasabifault.Fate{Kind: wasabifault.Unavailable})
		return s.latest("large", "", 0, wasabiridge.ErrUnavailable)()
	},
}

type weightSteps struct {
	WeightSubject
	ctx context.Context
}

func (s weightSteps) publish(m wasabiridge.ModelID, a wasabiridge.AdapterID, v wasabiridge.WeightsVersion) func() error {
	return func() error { return expectType("publication", s.Publish(s.ctx, m, a, v), nil) }
}

func (s weightSteps) latest(m wasabiridge.ModelID, a wasabiridge.AdapterID, want wasabiridge.WeightsVersion, kind *errorx.Type) func() error {
	return func() error {
		got, err := s.Store.Latest(s.ctx, m, a)
		if err = expectType("read", err, kind); err != nil {
			return err
		}
		return expect(got == want, "latest of %q and %q is %d, not %d", m, a, got, want)
	}
}
