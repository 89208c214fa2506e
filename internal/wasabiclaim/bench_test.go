package wasabiclaim_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclaim"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// rowSimulation measures the table calls and the latency of claims by row, in
// virtual time.
type rowSimulation struct {
	machines                     []*wasabiclaim.RowMachine
	rows                         map[string]wasabiridge.Row
	agenda                       wasabitest.EventQueue
	now                          wasabiridge.Millis
	requestedAt                  map[uint64]wasabiridge.Millis
	queries                      map[uint64]wasabiridge.ClaimQuery
	transactions, changes, reads int
	granted                      int
	waited                       wasabiridge.Millis
}

// tableDelay is the latency of a table call in milliseconds.
const tableDelay = 8

func (r *rowSimulation) schedule(at wasabiridge.Millis, machine int, e wasabiclaim.RowEvent) {
	r.agenda.Schedule(at, func() { r.step(machine, e) })
}

func (r *rowSimulation) step(machine int, e wasabiclaim.RowEvent) {
	for _, effect := range r.machines[machine].Handle(r.now, e) {
		switch e := effect.(type) {
		case wasabiclaim.CommitBatch:
			r.commit(e)
			r.schedule(r.now+tableDelay, machine, wasabiclaim.BatchCommitted{ID: e.Transaction.ID})
		case wasabiclaim.ReadRow:
			r.reads++
			r.schedule(r.now+tableDelay, machine, wasabiclaim.RowRead{Key: e.Key, Number: e.Number, Row: r.rows[e.Key]})
		case wasabiclaim.ReplyClaim:
			r.granted++
			r.waited += r.now - r.requestedAt[e.Call]
			result := wasabiridge.ClaimResult{Query: r.queries[e.Call], Disposition: wasabiridge.Ran}
			r.schedule(r.now+300, machine, wasabiclaim.ClaimEnded{Result: result})
		}
	}
}

// commit writes the rows of a transaction. There are no conflicts, because every key
// of the simulation is new.
func (r *rowSimulation) commit(c wasabiclaim.CommitBatch) {
	r.transactions++
	r.changes += len(c.Transaction.Changes)
	for _, change := range c.Transaction.Changes {
		r.rows[change.Key] = wasabiridge.Row{Key: change.Key, Revision: change.IfRevision + 1, Value: change.Value}
	}
}

// simulateRows simulates n instances for a time span. Each claims perInstance keys a
// second, at random times.
func simulateRows(n int, perInstance float64, span wasabiridge.Millis) *rowSimulation {
	r := &rowSimulation{
		rows: map[string]wasabiridge.Row{}, requestedAt: map[uint64]wasabiridge.Millis{},
		queries: map[uint64]wasabiridge.ClaimQuery{},
	}
	rng := rand.New(rand.NewPCG(wasabitest.Seed, 0))
	call := uint64(0)
	for i := range n {
		self := wasabiridge.InstanceID(fmt.Sprint(i))
		r.machines = append(r.machines, wasabiclaim.NewRowMachine(self, n))
		for at := rng.ExpFloat64() * 1000 / perInstance; at < float64(span); at += rng.ExpFloat64() * 1000 / perInstance {
			call++
			q := wasabiridge.ClaimQuery{
				Account: "lifts", Key: fmt.Sprint(call), Request: wasabiridge.RequestID(fmt.Sprint(call)),
				Holder: self, Incarnation: 1,
			}
			r.requestedAt[call], r.queries[call] = wasabiridge.Millis(at), q
			r.schedule(wasabiridge.Millis(at), i, wasabiclaim.Requested(call, q))
		}
		for at := wasabiridge.Millis(i % 20); at < span; at += 20 {
			r.schedule(at, i, wasabiclaim.Ticked(n))
		}
	}
	r.agenda.Run(span-1, func(at wasabiridge.Millis) { r.now = at })
	return r
}

// BenchmarkRows reports the table calls of all instances for claims by row, and the
// mean latency of a claim, when various shares of the target of 9,300 requests a
// second claim a row.
func BenchmarkRows(b *testing.B) {
	const span = 20 * wasabiridge.Second
	for _, n := range []int{9, 37, 370} {
		for _, share := range []float64{0.001, 0.01, 0.05, 0.1, 0.2} {
			rate := 9300.0 / 370 * share
			b.Run(fmt.Sprintf("instances=%d/share=%g", n, share), func(b *testing.B) {
				for range b.N {
					r := simulateRows(n, rate, span)
					if r.granted == 0 {
						b.Skip("no request in the span")
					}
					seconds := float64(span) / 1000
					b.ReportMetric(float64(r.transactions)/seconds, "transactions/s")
					b.ReportMetric(float64(r.changes)/seconds, "rows/s")
					b.ReportMetric(float64(r.reads)/seconds, "reads/s")
					b.ReportMetric(float64(r.changes)/float64(r.granted), "rows/request")
					b.ReportMetric(float64(r.waited)/float64(r.granted), "wait-ms")
				}
			})
		}
	}
}

// BenchmarkTicket issues, claims and finishes a ticket at its issuer.
func BenchmarkTicket(b *testing.B) {
	k := wasabiclaim.New(wasabiclaim.Options{
		Self: "a", Incarnation: 1, Secret: []byte("secret"), Clock: wasabiclock.NewVirtual(start),
		Limits: wasabiclaim.Limits{MaxTickets: 1 << 30},
	})
	for i := range b.N {
		q := wasabiridge.ClaimQuery{
			Account: "lifts", Key: k.Ticket("lifts"), Request: wasabiridge.RequestID(fmt.Sprint(i)),
		}
		out, err := k.Claim(b.Context(), q)
		if err != nil || out.State != wasabiridge.ClaimGranted {
			b.Fatal(out, err)
		}
		if err := k.Finish(b.Context(), wasabiridge.ClaimResult{Query: q, Disposition: wasabiridge.Ran}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTicketMemory reports the memory for each used ticket that is
// remembered, without cached answers.
func BenchmarkTicketMemory(b *testing.B) {
	for _, n := range []int{1000, 10_000, 40_000} {
		b.Run(fmt.Sprintf("tickets=%d", n), func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				k := wasabiclaim.New(wasabiclaim.Options{
					Self: "a", Incarnation: 1, Clock: wasabiclock.NewVirtual(start), Limits: wasabiclaim.Limits{MaxCachedAnswers: 1},
				})
				for i := range n {
					q := wasabiridge.ClaimQuery{Account: "lifts", Key: k.Ticket("lifts"), Request: wasabiridge.RequestID(fmt.Sprint(i))}
					if _, err := k.Claim(b.Context(), q); err != nil {
						b.Fatal(err)
					}
					_ = k.Finish(b.Context(), wasabiridge.ClaimResult{Query: q, Disposition: wasabiridge.Ran})
				}
				b.ReportMetric(float64(heapInUse()-before)/float64(n), "bytes/ticket")
				runtime.KeepAlive(k)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
