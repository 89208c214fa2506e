// Command quota shows how two instances enforce the rate limit of a client account
// together, and what share of it each may use while they receive no updates from each
// other.
//
//	go run ./examples/quota
package main

import (
	"fmt"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

const step = 20 * wasabiridge.Millis(1)

// instance is the quota table of one instance.
type instance struct {
	id    wasabiridge.InstanceID
	table *wasabiquota.Table
	sent  wasabiridge.AttemptID
}

func newInstance(id, other wasabiridge.InstanceID, config wasabiridge.Config) *instance {
	i := &instance{id: id, table: wasabiquota.New(wasabiquota.Options{Self: id, Incarnation: 1})}
	i.table.Observe(0, wasabiridge.ConfigAdopted{Config: config})
	i.table.Observe(0, wasabiridge.ActiveKnown{Instances: []wasabiridge.InstanceID{id, other}, Known: 2})
	return i
}

// exhaust admits requests until one is refused.
func (i *instance) exhaust(now wasabiridge.Millis) {
	r := wasabiridge.Request{Account: "liftwell"}
	for n := 0; ; n++ {
		v := i.table.Check(now, r)
		if !v.Allowed {
			fmt.Printf("%5d ms: %s admits %d requests; the next one may be retried after %d ms\n", now, i.id, n, v.RetryAfter)
			return
		}
		i.sent++
		i.table.Sent(now, r, i.sent)
	}
}

// sendUpdate sends the usage of one instance to another, if they are connected.
func sendUpdate(now wasabiridge.Millis, from, to *instance, connected bool) {
	from.table.Observe(now, wasabiridge.Ticked{})
	for _, id := range from.table.HelloTargets(now) {
		if connected {
			from.table.Observe(now, wasabiridge.PeerReachable{From: id})
		}
	}
	if !from.table.IsDue(now) {
		return
	}
	update := from.table.TakeUpdate(now)
	from.table.Observe(now, wasabiridge.PeerUpdateSent{To: to.id})
	if connected {
		to.table.Observe(now, update.UsageReceived())
		from.table.Observe(now, wasabiridge.PeerReachable{From: to.id})
	}
}

func main() {
	config := wasabiridge.Config{Accounts: []wasabiridge.ClientAccount{{ID: "liftwell", Limit: &wasabiridge.AccountLimit{Rate: 10, Burst: 20}}}}
	a, b := newInstance("pos-1", "ari-1", config), newInstance("ari-1", "pos-1", config)
	for now := step; now <= 20*wasabiridge.Second; now += step {
		connected := now < 8*wasabiridge.Second
		sendUpdate(now, a, b, connected)
		sendUpdate(now, b, a, connected)
		switch now {
		case 5 * wasabiridge.Second, 8 * wasabiridge.Second, 18 * wasabiridge.Second:
			fmt.Printf("%5d ms: pos-1 may use %.2f of the limit, ari-1 %.2f\n", now, a.table.UsableShare(now), b.table.UsableShare(now))
			a.exhaust(now)
		case 6 * wasabiridge.Second, 19 * wasabiridge.Second:
			b.exhaust(now)
		}
	}
}
