// Command standin-2 plays the cases of the second review: the store, the replicas and the clients
// of the users' platform, and the router processes between them.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Names and bounds of the small deployment, as the sheet of liftwell-tt has them.
const (
	host    = "jepu9.example"
	model   = "daka510000"
	apiKey  = "ctnfzs989anu6wsjnban"
	graceS  = 8
	ttlMaxS = 5.0

	routeLookup  = "/lepu270/" // resumable stream
	routeTriage  = "/xapu221/" // stream that runs once
	routeBooking = "/fiti832/" // unsafe
	routeStatus  = "/filo73/"  // safe
)

var (
	began = time.Now()
	out   *os.File
	// trouble is false for the play without the disruption.
	trouble = os.Getenv("TROUBLE") != "0"
)

// broken and held are the results of a case.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "engine" {
		engine(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD FOLDER")
		os.Exit(notPlayed)
	}
	cases := map[string]func(dir string) int{"reborn": reborn, "numbers": numbers, "signals": signals}
	play := cases[os.Args[1]]
	var err error
	if out, err = os.Create(os.Args[2]); err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", err)
		os.Exit(notPlayed)
	}
	// Whatever happens, the processes end.
	time.AfterFunc(longest, func() {
		record("%s the play takes too long", since())
		endAll()
		os.Exit(notPlayed)
	})
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	go func() {
		<-stops
		endAll()
		os.Exit(notPlayed)
	}()
	code := guarded(play, os.Args[3])
	endAll()
	record("exit %d (0 the rule held, 1 it was broken, 2 not played)", code)
	_ = out.Close()
	os.Exit(code)
}

// guarded plays a case. A failure of the play itself is no result.
func guarded(play func(dir string) int, dir string) (code int) {
	defer func() {
		if failed := recover(); failed != nil {
			record("could not run: %v", failed)
			code = notPlayed
		}
	}()
	record("case %s, with the disruption: %v", os.Args[1], trouble)
	return play(dir)
}

// longest is how long a play may take.
const longest = 110 * time.Second

// children are all processes that were started.
var children struct {
	sync.Mutex
	all   []*os.Process
	ended bool
}

// startChild starts a process that endAll ends.
func startChild(cmd *exec.Cmd) bool {
	children.Lock()
	defer children.Unlock()
	if children.ended {
		return false
	}
	check(cmd.Start())
	children.all = append(children.all, cmd.Process)
	return true
}

// endAll ends all processes that were started, and starts no further ones.
func endAll() {
	children.Lock()
	defer children.Unlock()
	children.ended = true
	for _, p := range children.all {
		_ = p.Kill()
	}
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// since is the time since the start.
func since() string { return at(time.Now()) }

func at(t time.Time) string { return fmt.Sprintf("%8.3f s", t.Sub(began).Seconds()) }

var recording sync.Mutex

func record(format string, args ...any) {
	recording.Lock()
	defer recording.Unlock()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintln(out, line)
	fmt.Println(line)
}

// deployment is a store with the configuration, replicas and routers.
type deployment struct {
	store    *store
	engines  []*replica
	services []*replica
	routers  []*router
}

// deploy starts a small deployment and waits until each router serves.
func deploy(dir string, zones ...string) *deployment {
	d := &deployment{store: newStore()}
	d.store.put("op", "config", config(7))
	d.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	for i := range 3 {
		zone := zones[i%len(zones)]
		d.engines = append(d.engines, newReplica(d.store, fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", zone, model))
		d.services = append(d.services, newReplica(d.store, fmt.Sprintf("i-02d9e6b%d", i), "kafi81c", zone, ""))
	}
	d.routers = startRouters(d.store, dir, zones...)
	d.waitServed()
	return d
}

// waitServed waits until each router serves.
func (d *deployment) waitServed() {
	for _, r := range d.routers {
		for i := 0; ; i++ {
			id := fmt.Sprintf("warm-%s-%d", r.name, i)
			if r.isReady() {
				if a := fresh(r.front, id, stream(routeLookup, id, 6*time.Second, 20), 6*time.Second); a.Status == 200 && a.Complete {
					break
				}
			}
			if i == 100 {
				panic(r.name + " does not serve")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	record("%s all %d routers serve", since(), len(d.routers))
}

// config is the operators' configuration.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, attempts int, resumable bool) map[string]any {
		out := map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "latencyTargetMs": target, "priority": 1,
			"service": service, "attempts": attempts, "anonymous": false, "affinity": kind == "streaming", "resumable": resumable,
		}
		if kind == "streaming" {
			out["gapTargetMs"] = 250
		}
		return out
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-lookup", routeLookup, "streaming", "huvo11a", 6000, 300, 2, true),
			route("r-triage", routeTriage, "streaming", "huvo11a", 4000, 250, 1, false),
			route("r-booking", routeBooking, "unsafe", "kafi81c", 4000, 300, 1, false),
			route("r-status", routeStatus, "safe", "kafi81c", 4000, 300, 2, false),
		},
		"services": []any{
			map[string]any{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 230, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": slots, "kvCapacityTokens": 225581, "kvTokenBytes": 18432, "linkMbps": 180000.0, "migrations": false, "backups": false,
				"maxInflight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": model}},
			}},
			map[string]any{"name": "kafi81c", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "sese880", "apiKeys": []string{apiKey}, "priority": 1, "isolated": false}},
	}
}

// runsOf returns the runs of a request at all replicas.
func (d *deployment) runsOf(id string) []run {
	var out []run
	for _, r := range append(append([]*replica(nil), d.engines...), d.services...) {
		out = append(out, r.of(id)...)
	}
	return out
}
