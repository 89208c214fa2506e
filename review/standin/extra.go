package main

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// shed is the response of a replica that sheds a request, as the platform's examples of
// messages show it. Sent behind a complete response, it belongs to no request.
const shed = "HTTP/1.1 503 Service Unavailable\r\nWasabiridge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// extraRefusal shows what happens to requests that may run once while replicas send
// additional bytes behind complete responses.
func extraRefusal(r *record, folder string, trouble bool) int {
	const (
		routers, replicas, callers = 2, 4, 8
		duration                   = 40 * time.Second
		// share of the replicas are faulty, and send additional bytes behind part of their
		// responses.
		share, part = 0.5, 0.03
		late        = 60 * time.Millisecond
	)
	s, all := startStore(), &runs{}
	s.put("op", "config", config(1, "unsafe", []any{tenant("shop", "key-of-shop")}))
	var extras atomic.Int64
	service(s, "mix-desk", replicas, all, r, func(i int, x *replica) {
		x.work = 30 * time.Millisecond
		if !trouble || float64(i) >= share*replicas {
			return
		}
		x.trailing = func() (string, time.Duration) {
			if rand.Float64() >= part {
				return "", 0
			}
			extras.Add(1)
			return shed, time.Duration(rand.Int64N(int64(late)))
		}
	})
	processes := startRouters(routers, s.address, folder)
	defer stopRouters(processes)
	awaitReady(processes)
	time.Sleep(2 * time.Second)
	answers := map[string]answer{}
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &caller{address: processes[i%routers].front}
			defer c.close()
			for time.Now().Before(end) {
				q := request{id: newID(), method: "POST", path: "/desk/receipt", host: "desk.example", key: "key-of-shop", body: "a receipt", deadline: 2500 * time.Millisecond}
				r.note("client sends %s to %s", q.id, processes[i%routers].name)
				a := c.send(q)
				r.note("client receives for %s: %s", q.id, a)
				mu.Lock()
				answers[q.id] = a
				mu.Unlock()
				time.Sleep(time.Duration(rand.Int64N(int64(30 * time.Millisecond))))
			}
		}()
	}
	group.Wait()
	time.Sleep(3 * time.Second)
	count, twice, refused, served := map[string]int{}, 0, 0, 0
	for _, x := range all.list() {
		count[x.id]++
	}
	for id, a := range answers {
		if a.status == 200 && !a.cut {
			served++
		}
		if n := count[id]; n > 1 {
			twice++
			r.say("TWICE: %s ran %d times; its client received: %s", id, n, a)
		}
		if n := count[id]; n > 0 && (a.status == 503 || a.status == 429) {
			refused++
			r.say("REFUSED: %s ran %d times and its client received: %s", id, n, a)
		}
	}
	r.say("%d requests sent, %d served, %d runs, additional bytes behind %d responses; %d ran more than once, %d refused and ran.",
		len(answers), served, len(all.list()), extras.Load(), twice, refused)
	switch {
	case served < len(answers)/2:
		return notRun
	case twice > 0 || refused > 0:
		return broken
	}
	return held
}
