package wasabimetrics_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"testing"

	"github.com/ThreeDotsLabs/watermill/message"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabimetrics"
	"github.com/wasabiridge/wasabiridge/internal/wasabioutcome"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

func TestMetrics(t *testing.T) { wasabitest.Run(t, "metrics") }

var _ = Describe("Set", func() {
	// Guards against a metric that is not documented or has no unit, and against a
	// gauge that is exported before a component registers it, which would show a
	// zero that nothing measured.
	It("registers all defined metrics, and docs/METRICS.md lists them", func() {
		var defined []wasabimetrics.Name
		set := wasabimetrics.New()
		for _, d := range wasabimetrics.Definitions() {
			if d.Kind == wasabimetrics.KindGauge {
				Expect(set.Names()).NotTo(ContainElement(d.Name), "a gauge that was not registered")
				Expect(set.RegisterGauge(d.Name, func() int64 { return 1 })).To(Succeed())
				Expect(set.RegisterGauge(d.Name, func() int64 { return 2 })).NotTo(Succeed())
			}
			Expect(d.Unit).NotTo(BeEmpty(), string(d.Name))
			Expect(d.Help).To(HaveSuffix("."), string(d.Name))
			defined = append(defined, d.Name)
		}
		Expect(set.Names()).To(ConsistOf(defined))
		page, err := os.ReadFile("../../docs/METRICS.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(wasabimetrics.Page()), "docs/METRICS.md is out of date; write wasabimetrics.Page() to it")
	})

	// A message without a batch and events that were overwritten before they were
	// published must be counted, because the event counters lack them. A kind of
	// event without a counter must be ignored.
	It("counts time line events, lost events and unreadable messages", func() {
		set := wasabimetrics.New()
		events := []wasabiridge.TimelineEvent{{Kind: wasabiridge.EventArrived}, {Kind: wasabiridge.EventFirstToken, Value: 212}, {Kind: "unheard_of"}}
		good := wasabitimeline.NewMessage(wasabitimeline.Batch{Events: events, Overwritten: 3})
		messages := make(chan *message.Message, 2)
		messages <- good
		messages <- message.NewMessage("x", []byte("{"))
		close(messages)
		set.Watch(context.Background(), messages)
		Expect(set.Counter(wasabimetrics.RequestsArrived).Count()).To(Equal(int64(1)))
		Expect(set.Counter(wasabimetrics.TimelineUnpublished).Count()).To(Equal(int64(3)))
		Expect(set.Counter(wasabimetrics.TimelineUnreadable).Count()).To(Equal(int64(1)))
		Expect(set.Histogram(wasabimetrics.FirstToken).Max()).To(Equal(int64(212)))
	})

	It("writes gauges as JSON and rejects names that are not defined gauges", func() {
		set := wasabimetrics.New()
		Expect(set.RegisterGauge(wasabimetrics.RequestsOpen, func() int64 { return 42 })).To(Succeed())
		Expect(set.RegisterGauge("unheard.of", func() int64 { return 1 })).NotTo(Succeed())
		Expect(set.RegisterGauge(wasabimetrics.FirstToken, func() int64 { return 1 })).NotTo(Succeed())
		var out bytes.Buffer
		Expect(set.WriteMetrics(&out)).To(Succeed())
		var values map[string]map[string]any
		Expect(json.Unmarshal(out.Bytes(), &values)).To(Succeed())
		Expect(values["requests.open"]["value"]).To(BeNumerically("==", 42))
		Expect(values).NotTo(HaveKey("members.known"), "gauge was not registered")
	})

	It("registers the gauges of time line, outcomes and process once", func() {
		clock := wasabiclock.NewVirtual(1)
		log := wasabitimeline.New(wasabitimeline.Options{Clock: clock, Capacity: 2})
		for range 3 {
			log.Record(wasabiridge.TimelineEvent{})
		}
		set := wasabimetrics.New()
		for _, gauges := range []wasabimetrics.Gauges{
			wasabimetrics.TimelineGauges(log), wasabimetrics.ProcessGauges(),
			wasabimetrics.OutcomeGauges(wasabioutcome.New(wasabioutcome.Options{Clock: clock})),
		} {
			Expect(set.RegisterGauges(gauges)).To(Succeed())
			Expect(set.RegisterGauges(gauges)).NotTo(Succeed())
		}
		var out bytes.Buffer
		Expect(set.WriteMetrics(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring(`"timeline.dropped":{"value":1}`))
		Expect(out.String()).To(ContainSubstring(`"outcomes.unwritten_age":{"value":0}`))
		Expect(out.String()).NotTo(ContainSubstring(`"process.heap":{"value":0}`))
	})
})
