package wasabimeasure_test

import (
	"bytes"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabimeasure"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestMeasure(t *testing.T) {
	wasabitest.Run(t, "measure")
}

func short(name string) wasabimeasure.Options {
	w, err := wasabimeasure.Load(name)
	Expect(err).NotTo(HaveOccurred())
	w.Duration, w.WarmUp = 20*wasabiridge.Second, 4*wasabiridge.Second
	return wasabimeasure.Options{Workload: w, Policy: "rendezvous_first", Instances: 3, Load: 0.6, Seed: wasabitest.Seed}
}

func run(o wasabimeasure.Options) wasabimeasure.Report {
	r, err := wasabimeasure.Run(o)
	Expect(err).NotTo(HaveOccurred())
	return r
}

func text(o wasabimeasure.Options) string {
	var b bytes.Buffer
	Expect(wasabimeasure.WriteJSON(&b, []wasabimeasure.Report{run(o)})).To(Succeed())
	return b.String()
}

// meddler puts another Decider's effects in the place of the real ones.
type meddler struct {
	wasabiridge.Decider
	meddle func(now wasabiridge.Millis, effects []wasabiridge.Effect) []wasabiridge.Effect
}

func (m meddler) Handle(now wasabiridge.Millis, e wasabiridge.Event) []wasabiridge.Effect {
	return m.meddle(now, m.Decider.Handle(now, e))
}

// onDispatch changes every Dispatch, or adds effects after it.
func onDispatch(change func(now wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect) func(wasabiridge.Decider) wasabiridge.Decider {
	return func(d wasabiridge.Decider) wasabiridge.Decider {
		return meddler{d, func(now wasabiridge.Millis, effects []wasabiridge.Effect) []wasabiridge.Effect {
			var all []wasabiridge.Effect
			for _, e := range effects {
				if sent, ok := e.(wasabiridge.Dispatch); ok {
					all = append(all, change(now, sent)...)
					continue
				}
				all = append(all, e)
			}
			return all
		}}
	}
}

var _ = Describe("A measured run", func() {
	It("gives the same bytes for the same seed, and others for another", func() {
		for _, name := range []string{"liftwell", "selam"} {
			o := short(name).WithFaults(wasabimeasure.RoutersRestarted, wasabimeasure.EventsLost, wasabimeasure.EngineCrash)
			Expect(text(o)).To(Equal(text(o)))
			Expect(text(o)).NotTo(Equal(text(o.WithSeed(1))))
		}
	})

	faults := map[string]wasabimeasure.Fault{}
	for _, f := range wasabimeasure.Faults() {
		faults[string(f)] = f
	}
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		It("keeps all promises under "+name, func() {
			r := run(short("liftwell").WithFaults(faults[name]))
			Expect(r.Violations).To(BeEmpty())
			Expect(r.Answered + r.Refused + r.Cut).To(BeNumerically(">=", r.Requests))
		})
	}

	planted := map[string]struct {
		faults []wasabimeasure.Fault
		plant  func(now wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect
		says   string
	}{
		"a claim that nothing backs": {
			plant: func(_ wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				d.ClaimedTokens, d.Incarnation = 2048, 7
				return []wasabiridge.Effect{d}
			},
			says: "never was given",
		},
		"a claim on the life before a crash": {
			faults: []wasabimeasure.Fault{wasabimeasure.EngineCrash},
			plant: func(now wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				if now > 16*wasabiridge.Second && d.Backend.ID == "answer-1" {
					d.ClaimedTokens, d.Incarnation = 2048, 1
				}
				return []wasabiridge.Effect{d}
			},
			says: "though life 2 was known",
		},
		"work for a server that is leaving": {
			faults: []wasabimeasure.Fault{wasabimeasure.BackendLeaving},
			plant: func(now wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				if now > 13*wasabiridge.Second {
					d.Backend.ID = "answer-1"
				}
				return []wasabiridge.Effect{d}
			},
			says: "began to leave",
		},
		"a refusal as not run of a request that was sent": {
			plant: func(_ wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				return []wasabiridge.Effect{d, wasabiridge.Refuse{Request: d.Request}}
			},
			says: "but reached an engine",
		},
		"a second answer": {
			plant: func(_ wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				again := d
				again.Attempt += 1 << 60
				return []wasabiridge.Effect{d, again}
			},
			says: "must run at most once",
		},
		"an attempt identifier used twice": {
			plant: func(_ wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				d.Attempt %= 1 << 32
				return []wasabiridge.Effect{d}
			},
			says: "used before",
		},
		"a request that is never sent": {
			plant: func(wasabiridge.Millis, wasabiridge.Dispatch) []wasabiridge.Effect { return nil },
			says:  "was lost",
		},
	}
	for _, name := range slices.Sorted(maps.Keys(planted)) {
		It("catches "+name, func() {
			p := planted[name]
			r := run(short("liftwell").WithFaults(p.faults...).WithDecider(onDispatch(p.plant)))
			Expect(r.Breaches).To(BeNumerically(">", 0))
			Expect(r.Violations).To(ContainElement(ContainSubstring(p.says)))
		})
	}

	It("names what is wrong in a workload file", func() {
		_, err := wasabimeasure.Parse([]byte(`{"name": "x", "speed": 1}`))
		Expect(err).To(MatchError(ContainSubstring("speed")))
		_, err = wasabimeasure.Load("no-such-file.json")
		Expect(err).To(HaveOccurred())
	})
})
