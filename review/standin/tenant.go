package main

import (
	"sync"
	"time"
)

// lastTenant shows what happens to requests with a key whose tenant was the only one and is
// removed by a new version of the configuration.
func lastTenant(r *record, folder string, trouble bool) int {
	const (
		routers  = 2
		revoke   = 5000 * time.Millisecond
		before   = 4 * time.Second
		after    = 14 * time.Second
		interval = 100 * time.Millisecond
	)
	s, all := startStore(), &runs{}
	s.put("op", "config", config(3, "safe", []any{tenant("shop", "key-of-shop")}))
	service(s, "mix-desk", 2, all, r, func(_ int, x *replica) { x.work = 20 * time.Millisecond })
	processes := startRouters(routers, s.address, folder)
	defer stopRouters(processes)
	awaitReady(processes)
	time.Sleep(2 * time.Second)
	sent, answers := map[string]time.Time{}, map[string]answer{}
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(before + after)
	for _, p := range processes {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &caller{address: p.front}
			defer c.close()
			for time.Now().Before(end) {
				q := request{id: newID(), method: "GET", path: "/desk/track", host: "desk.example", key: "key-of-shop", deadline: 2500 * time.Millisecond}
				at := time.Now()
				r.note("client sends %s to %s", q.id, p.name)
				a := c.send(q)
				r.note("client receives for %s: %s", q.id, a)
				mu.Lock()
				sent[q.id], answers[q.id] = at, a
				mu.Unlock()
				time.Sleep(interval)
			}
		}()
	}
	time.Sleep(before)
	tenants := []any{tenant("shop", "key-of-shop")}
	if trouble {
		tenants = []any{}
	}
	confirmed := s.put("op", "config", config(7, "safe", tenants))
	r.say("The store confirms version 7 of the configuration, with %d tenants.", len(tenants))
	group.Wait()
	time.Sleep(time.Second)
	early, late, refused := 0, 0, 0
	for _, x := range all.list() {
		switch at, known := sent[x.id]; {
		case !known:
		case at.Sub(confirmed) > revoke && trouble:
			late++
			if late <= 5 {
				r.say("CONFIG: %s, sent %d ms after the confirmation with a key that it took away, ran at %s with tenant %q; its client received: %s",
					x.id, at.Sub(confirmed).Milliseconds(), x.replica, x.tenant, answers[x.id])
			}
		case at.Before(confirmed):
			early++
		}
	}
	for _, a := range answers {
		if a.status == 401 {
			refused++
		}
	}
	r.say("%d requests sent, %d of them 401; %d ran that were sent before the change, and %d that were sent with the key over %d ms after it was taken away.",
		len(sent), refused, early, late, revoke.Milliseconds())
	switch {
	case early == 0:
		return notRun
	case late > 0:
		return broken
	}
	return held
}
