package main

import (
	"fmt"
	"sync"
	"time"
)

// reborn plays a replica that is cut off from all machines for a moment, crashes behind the cut and
// starts again, while it sends streams that have no length.
func reborn(dir string) int {
	const (
		count    = 24
		replicas = 9 // as on the site; one of them is cut off
		deadline = 6 * time.Second
		cutAfter = 1000 * time.Millisecond
		cutFor   = 1500 * time.Millisecond
		// killAfter and backAfter count from the cut.
		killAfter = 200 * time.Millisecond
		backAfter = 900 * time.Millisecond
	)
	d := &deployment{store: newStore()}
	d.store.put("op", "config", config(7))
	d.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	zones := []string{"port-of-spain", "san-fernando", "chaguanas"}
	var engines []*engineProcess
	for i := range replicas {
		address := freeAddress()
		engines = append(engines, startEngine(d.store, fmt.Sprintf("i-7f3a91c%d", i), zones[i%len(zones)], address, newLink(address)))
	}
	d.routers = startRouters(d.store, dir, zones...)
	defer stopRouters(d.routers)
	d.waitServed()
	time.Sleep(3 * time.Second) // contactMs without anything
	answers := make([]answer, count)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("stream-%02d", i)
			answers[i] = fresh(d.routers[i%len(d.routers)].front, id, stream(routeLookup, id, deadline, engineEvents), deadline)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	if trouble {
		time.Sleep(cutAfter)
		victim := engines[0]
		for _, e := range engines {
			if e.running.Load() > victim.running.Load() {
				victim = e
			}
		}
		victim.link.hold(cutFor)
		record("%s %s is cut off from all machines for %.1f s", since(), victim.id, cutFor.Seconds())
		cut := time.Now()
		time.Sleep(killAfter)
		victim.kill()
		record("%s %s is killed behind the cut", since(), victim.id)
		time.Sleep(time.Until(cut.Add(backAfter)))
		engines = append(engines, startEngine(d.store, "i-02d9e6b9", victim.zone, victim.address, victim.link))
		record("%s a new replica starts at its address: i-02d9e6b9", since())
	}
	wg.Wait()
	early := 0
	for _, a := range answers {
		last, events := lastEvent(a.Body)
		record("%s: sent %s, ended %s, status %d, sealed %v, complete %v, %d events, the last one is %d of %d %s", a.ID, at(a.Sent), at(a.Ended), a.Status, a.Sealed, a.Complete, events, last, engineEvents, a.Cause)
		if a.Status == 200 && a.Sealed && a.Complete && last < engineEvents {
			early++
		}
	}
	record("MIXED, ORDER: %d of %d streams ended as complete before their last piece", early, count)
	if early > 0 {
		return broken
	}
	return held
}
