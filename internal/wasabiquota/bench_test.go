package wasabiquota_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

// busyTable returns the table of one of 62 owners, with a limit for each of so many
// accounts.
func busyTable(accounts int) (*wasabiquota.Table, []wasabiridge.ClientAccount) {
	t := wasabiquota.New(wasabiquota.Options{Self: instanceID(0), Incarnation: 1, Started: 1000})
	var list []wasabiridge.ClientAccount
	for i := range accounts {
		list = append(list, limitedAccount(fmt.Sprintf("a%05d", i), largeRate))
	}
	t.Observe(1000, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Accounts: list}})
	t.Observe(1000, wasabiridge.ActiveKnown{Instances: instanceIDs[:62], Known: 374})
	for i := 1; i < 62; i++ {
		t.Observe(1000, wasabiridge.PeerReachable{From: instanceID(i)})
	}
	for now := wasabiridge.Millis(1000); now < 4000; now += 20 {
		t.Observe(now, wasabiridge.Ticked{})
	}
	return t, list
}

func BenchmarkRequest(b *testing.B) {
	t, accounts := busyTable(1000)
	id := wasabiridge.AttemptID(0)
	for b.Loop() {
		id++
		r := wasabiridge.Request{Account: accounts[int(id)%len(accounts)].ID, Chain: wasabiridge.Chain{Tokens: 383}}
		now := 4000 + wasabiridge.Millis(id/100)
		t.Check(now, r)
		t.Sent(now, r, id)
		t.Observe(now, wasabiridge.AttemptSent{Attempt: id})
		t.Observe(now, wasabiridge.AttemptEnded{Attempt: id, Result: wasabiridge.AttemptCompleted})
	}
}

func BenchmarkMessage(b *testing.B) {
	t, accounts := busyTable(1000)
	n := uint64(0)
	for b.Loop() {
		n++
		use := wasabiridge.UsageUpdate{Account: accounts[n%1000].ID, Spent: int64(n)}
		t.Observe(4000+wasabiridge.Millis(n/100), wasabiridge.UsageReceived{From: instanceID(int(n)%61 + 1), Incarnation: 2, Sequence: n, Share: 1, Usage: []wasabiridge.UsageUpdate{use}})
	}
}

// BenchmarkMemory reports the heap bytes of a table with many accounts, 1,000 of which have
// been used at all of 62 instances.
func BenchmarkMemory(b *testing.B) {
	for _, accounts := range []int{10_000, 20_000, 40_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t, list := busyTable(accounts)
			for i := range 1000 {
				for j := 1; j < 62; j++ {
					use := wasabiridge.UsageUpdate{Account: list[i].ID, Spent: 1}
					t.Observe(4000, wasabiridge.UsageReceived{From: instanceID(j), Incarnation: 2, Sequence: uint64(i + 1), Share: 1, Usage: []wasabiridge.UsageUpdate{use}})
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				runtime.KeepAlive(t)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
		})
	}
}

// BenchmarkNews measures sending an update after one request among 40,000 accounts.
func BenchmarkNews(b *testing.B) {
	t, accounts := busyTable(40_000)
	id := wasabiridge.AttemptID(0)
	for b.Loop() {
		id++
		now := 4000 + wasabiridge.Millis(id)
		t.Sent(now, wasabiridge.Request{Account: accounts[int(id)%1000].ID, Chain: wasabiridge.Chain{Tokens: 383}}, id)
		if t.IsDue(now) {
			t.TakeUpdate(now)
		}
	}
}
