package wasabilimit_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilimit"
)

func benchLimiter(servers, accounts int) (*wasabilimit.Limiter, []wasabiridge.BackendServer, []wasabiridge.ClientAccountID) {
	pool := wasabiridge.Pool{ID: "p"}
	for i := range servers {
		pool.Backends = append(pool.Backends, wasabiridge.BackendServer{ID: wasabiridge.BackendServerID(fmt.Sprint("b", i)), Slots: 32})
	}
	var ids []wasabiridge.ClientAccountID
	for i := range accounts {
		ids = append(ids, wasabiridge.ClientAccountID(fmt.Sprint("a", i)))
	}
	l := wasabilimit.New(wasabilimit.Options{Instances: 9})
	l.Observe(0, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Pools: []wasabiridge.Pool{pool}}})
	return l, pool.Backends, ids
}

// BenchmarkRequest measures one request from arrival to end, with a load report
// for every request and a tick for every fifth.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []struct{ servers, accounts int }{{16, 8}, {160, 8}, {1600, 8}, {16, 800}, {16, 4000}} {
		b.Run(fmt.Sprintf("servers=%d/accounts=%d", size.servers, size.accounts), func(b *testing.B) {
			l, servers, ids := benchLimiter(size.servers, size.accounts)
			requests := make([]wasabiridge.RequestID, 1024)
			for i := range requests {
				requests[i] = wasabiridge.RequestID(fmt.Sprint(i))
			}
			b.ReportAllocs()
			now := wasabiridge.Millis(0)
			for i := 0; b.Loop(); i++ {
				// 25 requests a second correspond to one instance at the target
				// load.
				now += 40
				s := servers[i%len(servers)]
				r := wasabiridge.Request{
					ID: requests[i%len(requests)], Account: ids[i%len(ids)], Rule: "r", MaxTokens: 100,
					Action: wasabiridge.Action{Pool: "p"}, Deadline: now + 20*wasabiridge.Second,
				}
				if l.Offer(now, r).Verdict == wasabiridge.Admitted && l.HasRoom(now, s) {
					l.Sent(now, r, wasabiridge.AttemptID(i), s.ID)
					l.Observe(now, wasabiridge.AttemptEnded{Request: r.ID, Attempt: wasabiridge.AttemptID(i), Backend: s.ID})
				}
				l.Observe(now, wasabiridge.LoadReported{Report: wasabiridge.LoadReport{Backend: s.ID, Incarnation: 1, MeasuredAt: now, Running: 3}})
				if i%5 == 0 {
					l.Observe(now, wasabiridge.Ticked{})
				}
			}
		})
	}
}

// BenchmarkNext measures releases from a long queue of many accounts.
func BenchmarkNext(b *testing.B) {
	for _, accounts := range []int{8, 80, 800} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			l, servers, ids := benchLimiter(1, accounts)
			offer := func(i int) {
				l.Offer(0, wasabiridge.Request{
					ID: wasabiridge.RequestID(fmt.Sprint(i)), Account: ids[i%len(ids)], Rule: "r", MaxTokens: 100,
					Action: wasabiridge.Action{Pool: "p", QueueLimit: 1 << 20},
				})
			}
			for i := range 1000 {
				offer(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if r, ok := l.Next(0); ok {
					l.Sent(0, r, wasabiridge.AttemptID(i), servers[0].ID)
					l.Observe(0, wasabiridge.AttemptEnded{Request: r.ID, Attempt: wasabiridge.AttemptID(i), Backend: servers[0].ID})
				}
				offer(1000 + i)
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a Limiter with the given numbers of
// servers and active accounts.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ servers, accounts int }{{16, 8}, {160, 8}, {1600, 8}, {16, 800}, {16, 4000}} {
		b.Run(fmt.Sprintf("servers=%d/accounts=%d", size.servers, size.accounts), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				l, servers, ids := benchLimiter(size.servers, size.accounts)
				for i, id := range ids {
					l.Offer(1, wasabiridge.Request{
						ID: wasabiridge.RequestID(fmt.Sprint(i)), Account: id, Rule: "r", MaxTokens: 100,
						Action: wasabiridge.Action{Pool: "p"},
					})
					l.Withdraw(wasabiridge.RequestID(fmt.Sprint(i)))
				}
				held := heap() - before
				runtime.KeepAlive(l)
				runtime.KeepAlive(servers)
				b.ReportMetric(float64(held), "held-bytes")
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
