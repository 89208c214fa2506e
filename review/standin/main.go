// Command standin runs the cases of the review. It starts the project's router as processes
// and is itself the platform's store, the replicas and the clients, all on loopback
// addresses.
//
//	standin CASE FOLDER
//
// It writes FOLDER/record.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
)

var cases = map[string]func(r *record, folder string, trouble bool) int{
	"extra-refusal": extraRefusal,
	"last-tenant":   lastTenant,
	"stopped-move":  stoppedMove,
}

func main() {
	// The routers end with the thread that started them, which therefore has to last.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal("usage: standin CASE FOLDER")
	}
	folder, err := os.MkdirTemp("", "review")
	check(err)
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRecord(filepath.Join(os.Args[2], "record.txt"))
	r.say("Case %s, disruption: %v.", os.Args[1], trouble)
	code := cases[os.Args[1]](r, folder, trouble)
	r.say("Exit code %d (0: the rule held, 1: it was broken, 2: not run).", code)
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

func listen() net.Listener {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return socket
}

// service starts replicas of a plain service and registers them.
func service(s *store, name string, count int, all *runs, r *record, change func(i int, x *replica)) []*replica {
	var out []*replica
	for i := range count {
		x := &replica{id: fmt.Sprintf("i-%s-%d", name, i+1), service: name, runs: all, record: r}
		change(i, x)
		x.serve(listen())
		s.put("servers", x.id, x.entry(1))
		out = append(out, x)
	}
	return out
}

// config returns an operator's configuration with one route of a plain service.
func config(version int, kind string, tenants []any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-desk", "host": "desk.example", "prefix": "/desk/", "kind": kind, "timeoutMs": 2500, "latencyTargetMs": 150,
			"priority": 1, "service": "mix-desk", "attempts": 1, "anonymous": false,
		}},
		"services": []any{map[string]any{"name": "mix-desk", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys, "priority": 1, "isolated": false}
}
