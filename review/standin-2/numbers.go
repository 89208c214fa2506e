package main

import (
	"fmt"
	"sync"
	"time"
)

// numbers plays streams whose identifiers count the tokens, before and after all router processes
// are killed. An event holds one token while few requests run, and two or three while many do.
func numbers(dir string) int {
	const (
		tokens    = 12
		deadline  = 4 * time.Second
		busy      = 8 * time.Second
		quiet     = 12 // streams for each router, one at a time, when clients come back
		recoveryS = 12
		perSecond = 20
	)
	d := deploy(dir, "port-of-spain", "san-fernando", "chaguanas")
	defer stopRouters(d.routers)
	var mu sync.Mutex
	loaded := true
	for i, e := range d.engines {
		e.pause = 20 * time.Millisecond
		e.events = func(n int) []int {
			mu.Lock()
			defer mu.Unlock()
			return tokenIDs(tokens, loaded, n+i)
		}
	}
	send := func(phase string, n int) answer {
		id := fmt.Sprintf("%s-%03d", phase, n)
		return fresh(d.routers[n%len(d.routers)].front, id, stream(routeTriage, id, deadline, tokens), deadline)
	}
	// many sends streams at an even rate.
	many := func(phase string, span time.Duration) []answer {
		answers := make([]answer, int(span.Seconds()*perSecond))
		var wg sync.WaitGroup
		for n := range answers {
			wg.Add(1)
			go func() { defer wg.Done(); answers[n] = send(phase, n) }()
			time.Sleep(time.Second / perSecond)
		}
		wg.Wait()
		return answers
	}
	before := many("before", busy)
	if trouble {
		for _, r := range d.routers {
			r.kill()
		}
		record("%s all processes are killed", since())
	}
	back := d.waitReady()
	record("%s all machines are back", at(back))
	mu.Lock()
	loaded = false
	mu.Unlock()
	var light []answer
	for n := range quiet * len(d.routers) {
		light = append(light, send("light", n))
	}
	mu.Lock()
	loaded = true
	mu.Unlock()
	time.Sleep(time.Until(back.Add(recoveryS * time.Second)))
	after := many("after", busy)
	d.report("before", before, tokens)
	d.report("light", light, tokens)
	d.report("after", after, tokens)
	was, is := served(before, tokens), served(after, tokens)
	record("RECOVER: %d of %d streams were served before, %d of %d of those sent later than %d s after all machines were back", was, len(before), is, len(after), recoveryS)
	if 4*was >= len(before) && 4*is < len(after) {
		return broken
	}
	return held
}

// tokenIDs returns the identifiers of the events of a stream. Each is the number of the last token
// of its event. Without load each token has an event of its own. Under load the engine puts the
// tokens of some steps together, at no fixed place.
func tokenIDs(tokens int, loaded bool, n int) []int {
	if !loaded {
		return consecutive(tokens)
	}
	var out []int
	for id := 1; id <= tokens; id++ {
		if id < tokens && (id+n)%3 == 0 {
			continue
		}
		out = append(out, id)
	}
	return out
}

// served counts the streams that were answered completely, up to their last token.
func served(answers []answer, tokens int) int {
	n := 0
	for _, a := range answers {
		if last, _ := lastEvent(a.Body); a.Status == 200 && a.Sealed && a.Complete && last == tokens {
			n++
		}
	}
	return n
}

// report records the answers of a phase.
func (d *deployment) report(phase string, answers []answer, tokens int) {
	counts := map[string]int{}
	for i, a := range answers {
		last, events := lastEvent(a.Body)
		kind := fmt.Sprintf("status %d, complete %v %s", a.Status, a.Complete && last == tokens, a.Cause)
		counts[kind]++
		if counts[kind] > 3 && i > 0 {
			continue
		}
		runs := d.runsOf(a.ID)
		record("%s: sent %s, ended %s, %s, %d events, the last one is %d of %d", a.ID, at(a.Sent), at(a.Ended), kind, events, last, tokens)
		for _, r := range runs {
			record("           run at %s from %s to %s, complete %v, dropped because its connection closed %v", r.Replica, at(r.Began), at(r.Ended), r.Complete, r.Dropped)
		}
	}
	for kind, n := range counts {
		record("%s: %d of %d with %s", phase, n, len(answers), kind)
	}
}
