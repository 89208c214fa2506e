package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// eventGap is the time between two events of a stream.
const eventGap = 50 * time.Millisecond

// stoppedMove shows what clients receive of streams without a length that a replica has
// stopped for a move which it answers with 503.
func stoppedMove(r *record, folder string, trouble bool) int {
	const (
		routers, replicas, callers = 6, 12, 150
		events                     = 60
		// share of the replicas send part of their streams without a length, for window at
		// a time.
		share, part  = 0.5, 0.05
		window       = 5 * time.Second
		versionEvery = 6 * time.Second
		versions     = 15
	)
	s, pool := startStore(), newEngines(r)
	s.put("op", "config", streamConfig(3))
	s.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	var open atomic.Bool
	for i := range replicas {
		pool.start(s, fmt.Sprintf("i-tagger-%d", i+1), func() bool {
			return trouble && float64(i) < share*replicas && open.Load() && rand.Float64() < part
		})
	}
	processes := startRouters(routers, s.address, folder)
	defer stopRouters(processes)
	awaitReady(processes)
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var group sync.WaitGroup
	complete, cut, refused, wrong := 0, 0, 0, 0
	end := time.Now().Add(versions*versionEvery + 4*time.Second)
	for i := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			p := processes[i%routers]
			c := &caller{address: p.front}
			defer c.close()
			for time.Now().Before(end) {
				q := request{id: newID(), method: "POST", path: "/tags/set", host: "tags.example", key: "key-of-shop", body: "a prompt", deadline: 6000 * time.Millisecond}
				q.header = fmt.Sprintf("Wasabiridge-Model: %s\r\nWasabiridge-Token-Usage: 1000,%d\r\nWasabiridge-Prefix-Hash: %x:700,%x:300\r\n", model, events, 0x5c1e07a2+i%8, rand.Uint32())
				r.note("client sends %s to %s", q.id, p.name)
				a := c.send(q)
				r.note("client receives for %s: %s", q.id, a)
				mu.Lock()
				switch {
				case a.err != nil || a.cut:
					cut++
				case a.status != 200:
					refused++
				default:
					complete++
					if want := allEvents(q.id, events); a.body != want {
						wrong++
						r.say("ORDER: the stream of %s ended as complete after %d of %d events; stopped by a move that was answered 503: %v", q.id, strings.Count(a.body, "data:"), events, pool.wasStopped(q.id))
					}
				}
				mu.Unlock()
				time.Sleep(a.retryAfter + time.Duration(rand.Int64N(int64(100*time.Millisecond))))
			}
		}()
	}
	for v := 2; v < versions+2; v++ {
		open.Store(true)
		time.Sleep(time.Second)
		pool.mu.Lock()
		pool.newest = v
		pool.mu.Unlock()
		s.put("op", "version/"+model, map[string]any{"model": model, "version": v})
		r.note("The store confirms version %d of the weights.", v)
		time.Sleep(window - time.Second)
		open.Store(false)
		time.Sleep(versionEvery - window)
	}
	group.Wait()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	r.say("%d streams complete, %d cut off, %d not served; %d without a length; %d moves, %d of them answered 503, %d of these for streams without a length; %d streams ended as complete with pieces missing, twice or foreign.",
		complete, cut, refused, pool.unframed, pool.moves, pool.refused, len(pool.stoppedUnframed), wrong)
	switch {
	case complete < 1000 || pool.refused == 0:
		return notRun
	case wrong > 0:
		return broken
	}
	return held
}

func (p *engines) wasStopped(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stoppedUnframed[id]
}

// allEvents returns the whole stream of a request.
func allEvents(id string, events int) string {
	var out strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
	}
	return out.String()
}

// streamConfig returns a configuration with one route of resumable streams.
func streamConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-tags", "host": "tags.example", "prefix": "/tags/", "kind": "streaming", "timeoutMs": 6000, "latencyTargetMs": 300, "priority": 1,
			"service": "tagger-lm", "attempts": 2, "anonymous": false, "affinity": true, "resumable": true, "gapTargetMs": 250,
		}},
		"services": []any{map[string]any{
			"name": "tagger-lm", "healthPath": "/healthz", "maxConns": 180, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": engineSlots, "kvCapacityTokens": 184803, "kvTokenBytes": 18432, "linkMbps": 180000.0, "migrations": true, "backups": true, "stride": 1,
				"maxInflight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": model}},
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{tenant("shop", "key-of-shop")},
	}
}
