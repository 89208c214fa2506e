package main

import (
	"sync"
	"time"
)

// encodedSlash shows to which service requests go whose path has an encoded slash, while a
// new version of the configuration adds routes.
func encodedSlash(r *record, folder string, trouble bool) int {
	const (
		routers  = 2
		before   = 3 * time.Second
		after    = 7 * time.Second
		interval = 100 * time.Millisecond
	)
	s, all := startStore(), &runs{}
	tenants := []any{tenant("shop", "key-of-shop")}
	first := config(3, "safe", tenants)
	first["services"] = append(first["services"].([]any), map[string]any{"name": "list-desk", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false})
	s.put("op", "config", first)
	home := map[string]string{}
	for _, name := range []string{"mix-desk", "list-desk"} {
		for _, x := range service(s, name, 2, all, r, func(_ int, x *replica) { x.work = 20 * time.Millisecond }) {
			home[x.id] = name
		}
	}
	processes := startRouters(routers, s.address, folder)
	defer stopRouters(processes)
	awaitReady(processes)
	time.Sleep(2 * time.Second)

	// Each path begins with the prefix /desk/ of the route to mix-desk, which wants a key, and
	// with no longer prefix of any configuration.
	kinds := []struct{ path, key string }{
		{"/desk/receipt", "key-of-shop"},
		{"/desk/lists%2F2026", "key-of-shop"},
		{"/desk/pub%2Freceipt", "key-of-nobody"},
	}
	type outcome struct {
		kind int
		at   time.Time
		got  answer
	}
	outcomes := map[string]outcome{}
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(before + after)
	for _, p := range processes {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &caller{address: p.front}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				k := kinds[i%len(kinds)]
				q := request{id: newID(), method: "GET", path: k.path, host: "desk.example", key: k.key, deadline: 2500 * time.Millisecond}
				at := time.Now()
				r.note("client sends %s to %s: GET %s, key %s", q.id, p.name, q.path, q.key)
				a := c.send(q)
				r.note("client receives for %s: %s", q.id, a)
				mu.Lock()
				outcomes[q.id] = outcome{kind: i % len(kinds), at: at, got: a}
				mu.Unlock()
				time.Sleep(interval)
			}
		}()
	}
	time.Sleep(before)
	second := config(7, "safe", tenants)
	second["services"] = first["services"]
	if trouble {
		route := func(name, prefix, service string, anonymous bool) map[string]any {
			return map[string]any{
				"name": name, "host": "desk.example", "prefix": prefix, "kind": "safe", "timeoutMs": 2500, "latencyTargetMs": 150,
				"priority": 1, "service": service, "attempts": 1, "anonymous": anonymous,
			}
		}
		second["routes"] = append(second["routes"].([]any), route("r-lists", "/desk/lists/", "list-desk", false), route("r-pub", "/desk/pub/", "mix-desk", true))
	}
	s.put("op", "config", second)
	r.say("The store confirms version 7 of the configuration, with %d routes.", len(second["routes"].([]any)))
	group.Wait()
	time.Sleep(time.Second)

	ran, foreign, keyless := 0, 0, 0
	for _, x := range all.list() {
		o, known := outcomes[x.id]
		if !known {
			continue
		}
		ran++
		if service := home[x.replica]; service != "mix-desk" {
			foreign++
			if foreign <= 3 {
				r.say("ROUTE: %s, GET %s, was run by service %s; its client received: %s", x.id, kinds[o.kind].path, service, o.got)
			}
		}
		if kinds[o.kind].key == "key-of-nobody" {
			keyless++
			if keyless <= 3 {
				r.say("ROUTE: %s, GET %s, ran at %s with a key that no configuration held, tenant %q; its client received: %s", x.id, kinds[o.kind].path, x.replica, x.tenant, o.got)
			}
		}
	}
	r.say("%d requests sent, %d ran; %d ran at a service to which no configuration sends them, %d with a key that no configuration held.", len(outcomes), ran, foreign, keyless)
	switch {
	case ran == 0:
		return notRun
	case foreign > 0 || keyless > 0:
		return broken
	}
	return held
}
