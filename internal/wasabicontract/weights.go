package wasabicontract

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// WeightSubject is an empty weight store under test. Publish publishes a version on the
// platform's side.
type WeightSubject struct {
	Store   wasabiridge.WeightStore
	Publish func(ctx context.Context, m wasabiridge.ModelID, a wasabiridge.AdapterID, v wasabiridge.WeightsVersion) error
	Script  InjectFaults
}

// Weights returns the checks for wasabiridge.WeightStore. Fresh is called for each check
// and must return an empty store.
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
	"a model without published weights is not found": func(s weightSteps) error {
		return s.latest("large", "", 0, wasabiridge.ErrNotFound)()
	},
	"the highest version is the latest, in whatever order versions were published": func(s weightSteps) error {
		return runSteps(
			s.publish("large", "", 9), s.publish("large", "", 10), s.publish("large", "", 2),
			s.latest("large", "", 10, nil),
		)
	},
	"versions of different models and adapters are independent": func(s weightSteps) error {
		return runSteps(
			s.publish("large", "", 1), s.publish("large", "legal", 2),
			s.publish("large/legal", "", 3), s.publish("larg", "e", 4),
			s.latest("large", "", 1, nil), s.latest("large", "legal", 2, nil),
			s.latest("large/legal", "", 3, nil), s.latest("large", "le", 0, wasabiridge.ErrNotFound),
		)
	},
	"a store above its request rate is reported as unavailable, not as empty": func(s weightSteps) error {
		s.Script(wasabifault.Read, wasabifault.Outcome{Kind: wasabifault.Unavailable})
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
		return expect(got == want, "latest version of model %q, adapter %q: got %d, want %d", m, a, got, want)
	}
}
