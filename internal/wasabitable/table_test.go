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

// virtualTable returns a table whose delays move its clock.
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
		return wasabicontract.TableSubject{Table: m, Script: m.Faults().Script}
	}
	wasabicontract.Specs(wasabicontract.Table(fresh))
	wasabicontract.Specs(wasabicontract.TableFaults(fresh))

	It("turns calls away above the rate of the store", func(ctx SpecContext) {
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
		return wasabicontract.TableSubject{Table: newClient(server.URL), Script: m.Faults().Script}
	}
	wasabicontract.Specs(wasabicontract.Table(fresh))
	wasabicontract.Specs(wasabicontract.TableFaults(fresh))

	It("has nothing in effect when no connection was made", func(ctx SpecContext) {
		server := httptest.NewServer(nil)
		server.Close()
		err := newClient(server.URL).Commit(ctx, wasabiridge.Transaction{ID: "w", Changes: []wasabiridge.RowChange{{Key: "a"}}})
		Expect(errorx.IsOfType(err, wasabiridge.ErrUnavailable)).To(BeTrue(), "%v", err)
	})

	// A store that hangs must not hold its caller for ever, and the caller
	// must not believe that nothing happened.
	It("gives up on a store that hangs, with an unknown outcome", func(ctx SpecContext) {
		m := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: wasabiclock.System()})
		m.Faults().Script(wasabifault.Write, wasabifault.Fate{After: wasabiridge.Minute})
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

// counter is a row whose value counts effects.
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

var _ = Describe("A write whose answer is lost", func() {
	// A shop pays twice for one upload. The first write took effect, its
	// answer was lost, and the writer tried again with a fresh revision. The
	// cause is the blind retry: the second write is a new one to the store.
	It("takes effect twice with a blind retry", func(ctx SpecContext) {
		table, _ := virtualTable(noFaults)
		table.Faults().Script(wasabifault.Write, wasabifault.Fate{Kind: wasabifault.LostAnswer})
		Expect(blindRetry(ctx, table, "blind")).To(Succeed())
		Expect(table.Get(ctx, counter)).To(HaveField("Value", BeEquivalentTo("2")))
	})

	// The same order of events with the guard: the writer reads back, finds
	// its own identifier and does not write again.
	fates := map[string][]wasabifault.Fate{
		"the answer is lost":                   {{Kind: wasabifault.LostAnswer}},
		"the request is lost":                  {{Kind: wasabifault.LostRequest}},
		"the request is lost twice":            {{Kind: wasabifault.LostRequest}, {Kind: wasabifault.LostRequest}},
		"turned away, then the answer is lost": {{Kind: wasabifault.Unavailable}, {Kind: wasabifault.LostAnswer}},
		"lost answer behind a lost request":    {{Kind: wasabifault.LostRequest}, {Kind: wasabifault.LostAnswer}},
		"the first copy comes late":            {{Kind: wasabifault.LateEffect, Late: 70}},
		"the first copy comes last":            {{Kind: wasabifault.LateEffect, Late: 5000}},
	}
	names := make([]string, 0, len(fates))
	for name := range fates {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		It("takes effect once with the guard when "+name, func(ctx SpecContext) {
			table, sleep := virtualTable(noFaults)
			table.Faults().Script(wasabifault.Write, fates[name]...)
			writer := wasabitable.NewWriter(table, wasabitable.WriterOptions{Name: "w", Sleep: sleep})
			Expect(writer.Commit(ctx, wasabitable.Write{Changes: []wasabiridge.RowChange{increment(wasabiridge.Row{})}})).To(Succeed())
			sleep(ctx, wasabiridge.Minute)
			Expect(table.Get(ctx, counter)).To(HaveField("Value", BeEquivalentTo("1")))
		})
	}

	It("is unknown when the store stays away, and not run when it never answered", func(ctx SpecContext) {
		table, sleep := virtualTable(wasabifault.Plan{Windows: []wasabifault.Window{wasabifault.Outage(0, wasabiridge.Hour)}})
		writer := wasabitable.NewWriter(table, wasabitable.WriterOptions{Name: "w", Sleep: sleep})
		write := wasabitable.Write{Changes: []wasabiridge.RowChange{increment(wasabiridge.Row{})}}
		Expect(errorx.IsOfType(writer.Commit(ctx, write), wasabiridge.ErrUnavailable)).To(BeTrue())
		table.Faults().Script(wasabifault.Write, wasabifault.Fate{Kind: wasabifault.LostAnswer})
		Expect(errorx.IsOfType(writer.Commit(ctx, write), wasabiridge.ErrOutcomeUnknown)).To(BeTrue())
	})

	// Two operators save at the same moment and the answer to the first is
	// lost. The second overwrites the head before the first reads back. The
	// first must not be told that nothing happened when it did.
	overtaken := map[string]struct {
		first wasabifault.Kind
		want  *errorx.Type
	}{
		"and happened":     {wasabifault.LostAnswer, nil},
		"and did not":      {wasabifault.LostRequest, wasabiridge.ErrConflict},
		"and might happen": {wasabifault.LateEffect, wasabiridge.ErrConflict},
	}
	for _, name := range []string{"and did not", "and happened", "and might happen"} {
		It("is told from another's by its witness when it was overtaken "+name, func(ctx SpecContext) {
			c := overtaken[name]
			table, _ := virtualTable(noFaults)
			overtake := func(context.Context, wasabiridge.Millis) bool {
				Expect(blindRetry(ctx, table, "other")).To(Succeed())
				return true
			}
			table.Faults().Script(wasabifault.Write, wasabifault.Fate{Kind: c.first, Late: wasabiridge.Minute})
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

	It("takes effect once per write under all faults at once", func(ctx SpecContext) {
		for seed := range uint64(200) {
			plan := wasabifault.Plan{Seed: seed, Unavailable: 0.1, LostRequest: 0.1, LostAnswer: 0.2, LateEffect: 0.1, Race: 0.1, Lateness: 400}
			table, sleep := virtualTable(plan)
			writer := wasabitable.NewWriter(table, wasabitable.WriterOptions{Name: "w", Sleep: sleep})
			surely, maybe := 0, 0
			for range 30 {
				row, err := table.Get(ctx, counter)
				if err != nil {
					continue
				}
				switch err = writer.Commit(ctx, wasabitable.Write{Changes: []wasabiridge.RowChange{increment(row)}}); {
				case err == nil:
					surely++
				case errorx.IsOfType(err, wasabiridge.ErrOutcomeUnknown):
					maybe++
				}
			}
			sleep(ctx, wasabiridge.Minute)
			table.Faults().SetPlan(wasabifault.Plan{})
			row, err := table.Get(ctx, counter)
			Expect(err).NotTo(HaveOccurred())
			effects, _ := strconv.Atoi(string(row.Value))
			Expect(effects).To(And(BeNumerically(">=", surely), BeNumerically("<=", surely+maybe)), "seed %d", seed)
		}
	})
})
