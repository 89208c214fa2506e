package wasabitable_test

import (
	"context"
	"net/http/httptest"
	"sort"
	"strconv"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabicontract"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestTable(t *testing.T) { wasabitest.Run(t, "table") }

var noFaults wasabifault.Plan

// virtualTable returns a table whose injected delays advance its virtual clock.
func virtualTable(plan wasabifault.Plan) (*wasabitable.Memory, func(context.Context, wasabiridge.Millis) bool) {
	clock := wasabiclock.NewVirtual(0)
	sleep := func(ctx context.Context, span wasabiridge.Millis) bool {
		clock.Advance(span)
		return ctx.Err() == nil
	}
	return wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock, Plan: plan, Sleep: sleep}), sleep
}

var _ = Describe("The table in memory", func() {
	fresh := func() wasabicontract.TableSubject {
		m, _ := virtualTable(noFaults)
		return wasabicontract.TableSubject{Table: m, Script: m.Faults().SetNextOutcomes}
	}
	wasabicontract.Specs(wasabicontract.Table(fresh))
	wasabicontract.Specs(wasabicontract.TableFaults(fresh))

	It("rejects calls above the configured rate", func(ctx SpecContext) {
		m, _ := virtualTable(wasabifault.Plan{ReadsPerSecond: 3})
		for range 3 {
			Expect(m.Get(ctx, "a")).To(HaveField("Revision", BeZero()))
		}
		_, err := m.Get(ctx, "a")
		Expect(errorx.IsOfType(err, wasabiridge.ErrUnavailable)).To(BeTrue())
	})
})

var _ = Describe("The table over HTTP", func() {
	fresh := func() wasabicontract.TableSubject {
		m, _ := virtualTable(noFaults)
		server := httptest.NewServer(wasabitable.Handler(m))
		DeferCleanup(server.Close)
		return wasabicontract.TableSubject{Table: newClient(server.URL), Script: m.Faults().SetNextOutcomes}
	}
	wasabicontract.Specs(wasabicontract.Table(fresh))
	wasabicontract.Specs(wasabicontract.TableFaults(fresh))

	It("reports that nothing took effect when no connection was established", func(ctx SpecContext) {
		server := httptest.NewServer(nil)
		server.Close()
		err := newClient(server.URL).Commit(ctx, wasabiridge.Transaction{ID: "w", Changes: []wasabiridge.RowChange{{Key: "a"}}})
		Expect(errorx.IsOfType(err, wasabiridge.ErrUnavailable)).To(BeTrue(), "%v", err)
	})

	// A table that hangs must not block its caller for ever, and the caller
	// must not assume that nothing took effect.
	It("times out on a table that hangs and reports an unknown outcome", func(ctx SpecContext) {
		m := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: wasabiclock.System()})
		m.Faults().SetNextOutcomes(wasabifault.Write, wasabifault.Outcome{After: wasabiridge.Minute})
		server := httptest.NewServer(wasabitable.Handler(m))
		DeferCleanup(server.Close)
		client := newClient(server.URL)
		err := client.Commit(ctx, wasabiridge.Transaction{ID: "w", Changes: []wasabiridge.RowChange{{Key: "a"}}})
		Expect(errorx.IsOfType(err, wasabiridge.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
		Expect(client.Get(ctx, "a")).To(HaveField("LastWrite", BeEquivalentTo("w")))
	})
})

func newClient(url string) *wasabitable.Client {
	return wasabitable.NewClient(wasabitable.ClientOptions{
		URL: url, Table: "wasabiridge", Region: "local", AccessKey: "test", SecretKey: "test",
		Clock: wasabiclock.System(), Timeout: 500,
	})
}

// counter is a row whose value counts the writes that took effect.
const counter = "counter"

func increment(row wasabiridge.Row) wasabiridge.RowChange {
	n, _ := strconv.Atoi(string(row.Value))
	return wasabiridge.RowChange{Key: counter, IfRevision: row.Revision, Value: []byte(strconv.Itoa(n + 1))}
}

// blindRetry writes again with fresh revisions after every error.
func blindRetry(ctx context.Context, table wasabiridge.Table, id string) error {
	var err error
	for try := range 5 {
		var row wasabiridge.Row
		if row, err = table.Get(ctx, counter); err != nil {
			continue
		}
		tx := wasabiridge.Transaction{
			ID:      wasabiridge.WriteID(id + strconv.Itoa(try)),
			Changes: []wasabiridge.RowChange{increment(row)},
		}
		if err = table.Commit(ctx, tx); err == nil {
			return nil
		}
	}
	return err
}

var _ = Describe("A write whose response is lost", func() {
	// A shop pays twice for one upload: the first write took effect, its
	// response was lost, and the writer tried again with a fresh revision. To
	// the table, the second write is a new one.
	It("takes effect twice with a blind retry", func(ctx SpecContext) {
		table, _ := virtualTable(noFaults)
		table.Faults().SetNextOutcomes(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LostAnswer})
		Expect(blindRetry(ctx, table, "blind")).To(Succeed())
		Expect(table.Get(ctx, counter)).To(HaveField("Value", BeEquivalentTo("2")))
	})

	// The same sequence of events with a Writer: it reads back, finds its own
	// identifier and does not write again.
	fates := map[string][]wasabifault.Outcome{
		"the response is lost":                   {{Kind: wasabifault.LostAnswer}},
		"the request is lost":                    {{Kind: wasabifault.LostRequest}},
		"the request is lost twice":              {{Kind: wasabifault.LostRequest}, {Kind: wasabifault.LostRequest}},
		"rejected, then the response is lost":    {{Kind: wasabifault.Unavailable}, {Kind: wasabifault.LostAnswer}},
		"the request is lost, then the response": {{Kind: wasabifault.LostRequest}, {Kind: wasabifault.LostAnswer}},
		"the first copy takes effect late":       {{Kind: wasabifault.LateEffect, EffectDelay: 70}},
		"the first copy takes effect last":       {{Kind: wasabifault.LateEffect, EffectDelay: 5000}},
	}
	names := make([]string, 0, len(fates))
	for name := range fates {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		It("takes effect once with a Writer when "+name, func(ctx SpecContext) {
			table, sleep := virtualTable(noFaults)
			table.Faults().SetNextOutcomes(wasabifault.Write, fates[name]...)
			writer := wasabitable.NewWriter(table, wasabitable.WriterOptions{Name: "w", Sleep: sleep})
			Expect(writer.Commit(ctx, wasabitable.Write{Changes: []wasabiridge.RowChange{increment(wasabiridge.Row{})}})).To(Succeed())
			sleep(ctx, wasabiridge.Minute)
			Expect(table.Get(ctx, counter)).To(HaveField("Value", BeEquivalentTo("1")))
		})
	}

	It("has an unknown outcome after a lost response, and no effect when every call was rejected", func(ctx SpecContext) {
		table, sleep := virtualTable(wasabifault.Plan{Windows: []wasabifault.Window{wasabifault.Outage(0, wasabiridge.Hour)}})
		writer := wasabitable.NewWriter(table, wasabitable.WriterOptions{Name: "w", Sleep: sleep})
		write := wasabitable.Write{Changes: []wasabiridge.RowChange{increment(wasabiridge.Row{})}}
		Expect(errorx.IsOfType(writer.Commit(ctx, write), wasabiridge.ErrUnavailable)).To(BeTrue())
		table.Faults().SetNextOutcomes(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LostAnswer})
		Expect(errorx.IsOfType(writer.Commit(ctx, write), wasabiridge.ErrOutcomeUnknown)).To(BeTrue())
	})

	// Two operators save at the same moment, and the response to the first is
	// lost. The second overwrites the shared row before the first reads back.
	// The first must not be told that nothing took effect when its write did.
	overtaken := map[string]struct {
		first wasabifault.Kind
		want  *errorx.Type
	}{
		"and took effect":           {wasabifault.LostAnswer, nil},
		"and did not take effect":   {wasabifault.LostRequest, wasabiridge.ErrConflict},
		"and might yet take effect": {wasabifault.LateEffect, wasabiridge.ErrConflict},
	}
	for _, name := range []string{"and did not take effect", "and took effect", "and might yet take effect"} {
		It("is identified by its witness when another write overtook it "+name, func(ctx SpecContext) {
			c := overtaken[name]
			table, _ := virtualTable(noFaults)
			overtake := func(context.Context, wasabiridge.Millis) bool {
				Expect(blindRetry(ctx, table, "other")).To(Succeed())
				return true
			}
			table.Faults().SetNextOutcomes(wasabifault.Write, wasabifault.Outcome{Kind: c.first, EffectDelay: wasabiridge.Minute})
			writer := wasabitable.NewWriter(table, wasabitable.WriterOptions{Name: "w", Sleep: overtake})
			changes := []wasabiridge.RowChange{increment(wasabiridge.Row{}), {Key: "witness/1", Value: []byte("1")}}
			err := writer.Commit(ctx, wasabitable.Write{Changes: changes, Witness: "witness/1"})
			if c.want == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(errorx.IsOfType(err, c.want)).To(BeTrue(), "%v", err)
		})
	}

	It("takes effect at most once per write under all kinds of fault at once", func(ctx SpecContext) {
		for seed := range uint64(200) {
			plan := wasabifault.Plan{Seed: seed, Unavailable: 0.1, LostRequest: 0.1, LostAnswer: 0.2, LateEffect: 0.1, Race: 0.1, MaxEffectDelay: 400}
			table, sleep := virtualTable(plan)
			writer := wasabitable.NewWriter(table, wasabitable.WriterOptions{Name: "w", Sleep: sleep})
			committed, unknown := 0, 0
			for range 30 {
				row, err := table.Get(ctx, counter)
				if err != nil {
					continue
				}
				switch err = writer.Commit(ctx, wasabitable.Write{Changes: []wasabiridge.RowChange{increment(row)}}); {
				case err == nil:
					committed++
				case errorx.IsOfType(err, wasabiridge.ErrOutcomeUnknown):
					unknown++
				}
			}
			sleep(ctx, wasabiridge.Minute)
			table.Faults().SetPlan(wasabifault.Plan{})
			row, err := table.Get(ctx, counter)
			Expect(err).NotTo(HaveOccurred())
			effects, _ := strconv.Atoi(string(row.Value))
			Expect(effects).To(And(BeNumerically(">=", committed), BeNumerically("<=", committed+unknown)), "seed %d", seed)
		}
	})
})
