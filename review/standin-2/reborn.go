package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// reborn plays replicas that are cut off from all machines for a moment, one after the other, crash
// behind the cut and start again, while a share of the streams have no length.
func reborn(dir string) int {
	const (
		count    = 1800
		between  = 45 * time.Millisecond // from one stream to the next
		cuts     = 9
		cutEvery = 8 * time.Second
		replicas = 9 // as on the site; one of them is cut off
		deadline = 6 * time.Second
		cutAfter = time.Second
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
	wg.Add(count)
	go func() {
		for i := range answers {
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("stream-%04d", i)
				answers[i] = fresh(d.routers[i%len(d.routers)].front, id, stream(routeLookup, id, deadline, engineEvents), deadline)
			}()
			time.Sleep(between)
		}
	}()
	time.Sleep(cutAfter)
	for i := 0; trouble && i < cuts; i++ {
		time.Sleep(cutEvery)
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
		next := startEngine(d.store, fmt.Sprintf("i-02d9e6b%d", i), victim.zone, victim.address, victim.link)
		engines = append(slices.DeleteFunc(engines, func(e *engineProcess) bool { return e == victim }), next)
		record("%s a new replica starts at its address: %s", since(), next.id)
	}
	wg.Wait()
	early, complete := 0, 0
	for _, a := range answers {
		last, events := lastEvent(a.Body)
		record("%s: sent %s, ended %s, status %d, sealed %v, complete %v, %d events, the last one is %d of %d %s", a.ID, at(a.Sent), at(a.Ended), a.Status, a.Sealed, a.Complete, events, last, engineEvents, a.Cause)
		if a.Status == 200 && a.Sealed && a.Complete && last < engineEvents {
			early++
		} else if a.Status == 200 && a.Complete {
			complete++
		}
	}
	record("MIXED, ORDER: %d of %d streams ended as complete before their last piece; %d came completely", early, count, complete)
	if early > 0 {
		return broken
	}
	return held
}
