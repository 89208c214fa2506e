package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a replica worked on.
type run struct {
	Attempt  string
	Replica  string
	Began    time.Time
	Ended    time.Time
	Complete bool
	// Dropped is set if the connection to the router closed before the response was complete.
	Dropped bool
}

// replica is a model server or a plain server, as PROTOCOL.md says.
type replica struct {
	store   *store
	id      string
	service string
	zone    string
	model   string
	address string
	// events and pause say how many events a stream has, and how far apart they are.
	events func(n int) []int
	pause  time.Duration
	work   time.Duration

	mu       sync.Mutex
	state    string
	version  int
	sequence int
	beats    int
	fence    uint64
	orders   int
	busy     bool
	running  int
	streams  int
	runs     []*run
}

const slots = 32

func newReplica(s *store, id, service, zone, model string) *replica {
	r := &replica{store: s, id: id, service: service, zone: zone, model: model, state: "ready", version: 1, pause: 35 * time.Millisecond, work: 60 * time.Millisecond}
	r.events = func(int) []int { return consecutive(20) }
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r.address = socket.Addr().String()
	go func() { _ = (&http.Server{Handler: r}).Serve(socket) }()
	r.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.beat()
		}
	}()
	return r
}

// consecutive returns the identifiers 1 to n.
func consecutive(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i + 1
	}
	return out
}

// beat writes the entry of the replica.
func (r *replica) beat() {
	r.mu.Lock()
	r.beats++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": slots, "state": r.state,
		"coldLeftMs": 0, "sequence": r.beats,
	}
	if r.model != "" {
		entry["stage"] = "colocated"
		entry["models"] = r.models()
	}
	r.mu.Unlock()
	r.store.put("servers", r.id, entry)
}

func (r *replica) models() any {
	return []any{map[string]any{"name": r.model, "version": r.version, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	if expect := q.Header.Get("Wasabiridge-Expect-Instance"); expect != "" && expect != r.id && !hasPrefix(q.URL.Path, "/api/") {
		h.Set("Wasabiridge-Instance-Id", r.id)
		h.Set("Wasabiridge-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/healthz":
		h.Set("Wasabiridge-Instance-Id", r.id)
		h.Set("Wasabiridge-Replica-Load", r.load())
		return
	case r.model != "" && q.URL.Path == "/api/report":
		r.mu.Lock()
		out := map[string]any{
			"stage": "colocated", "models": r.models(), "busy": r.busy, "sequence": r.orders, "queued": 0, "inFlight": r.running,
			"kvUsed": 0, "kvTotal": 225581, "handles": 0,
		}
		r.mu.Unlock()
		respond(w, out)
		return
	case r.model != "" && q.URL.Path == "/api/kv-list":
		respond(w, map[string]any{"bootEpoch": 1, "next": 1, "held": []any{}})
		return
	case r.model != "" && q.URL.Path == "/api/kv-events":
		respond(w, map[string]any{"bootEpoch": 1, "next": 1, "lost": false, "events": []any{}})
		return
	case r.model != "" && q.URL.Path == "/api/order":
		r.order(w, q)
		return
	}
	attempt := q.Header.Get("Wasabiridge-Attempt-Id")
	if attempt == "" {
		h.Set("Wasabiridge-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if version := q.Header.Get("Wasabiridge-Expect-Version"); version != "" && r.model != "" && version != strconv.Itoa(r.currentVersion()) {
		h.Set("Wasabiridge-Attempt-Id", attempt)
		h.Set("Wasabiridge-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	r.serve(w, q, attempt)
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (r *replica) currentVersion() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

func (r *replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", r.running, slots)
}

// serve works on a request. It drops the request when its connection closes.
func (r *replica) serve(w http.ResponseWriter, q *http.Request, attempt string) {
	one := &run{Attempt: attempt, Replica: r.id, Began: time.Now()}
	r.mu.Lock()
	r.running++
	r.runs = append(r.runs, one)
	ids := []int(nil)
	if r.model != "" {
		ids = r.events(r.streams)
		r.streams++
	}
	r.mu.Unlock()
	end := func(complete bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
		one.Ended, one.Complete, one.Dropped = time.Now(), complete, !complete
	}
	h := w.Header()
	h.Set("Wasabiridge-Attempt-Id", attempt)
	h.Set("Wasabiridge-Server-Seal", "seal."+r.id+"."+attempt)
	h.Set("Wasabiridge-Replica-Load", r.load())
	if r.model == "" {
		select {
		case <-time.After(r.work):
		case <-q.Context().Done():
			end(false)
			return
		}
		h.Set("Content-Type", "application/octet-stream")
		_, err := w.Write([]byte("answer to " + attempt))
		end(err == nil)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Wasabiridge-Weight-Versions", strconv.Itoa(r.currentVersion()))
	w.WriteHeader(http.StatusOK)
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for _, id := range ids {
		if id <= last {
			continue
		}
		select {
		case <-time.After(r.pause):
		case <-q.Context().Done():
			end(false)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", id, id, attempt); err != nil {
			end(false)
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			end(false)
			return
		}
	}
	end(true)
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation string  `json:"operation"`
		Version   int     `json:"version"`
		Holder    string  `json:"holder"`
		Fence     uint64  `json:"fence"`
		Expected  *int    `json:"expected"`
		Model     string  `json:"model"`
		SwapMode  *string `json:"swapMode"`
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0:
		w.WriteHeader(http.StatusBadRequest)
		return
	case o.Fence < r.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case r.busy || o.Expected != nil && *o.Expected != r.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.fence = o.Fence
	if r.version == o.Version {
		return
	}
	r.orders++
	r.busy = true
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(1100*time.Millisecond, func() {
		r.mu.Lock()
		r.busy, r.version = false, o.Version
		r.mu.Unlock()
		r.beat()
	})
}

// of returns the runs of a request.
func (r *replica) of(attempt string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, one := range r.runs {
		if one.Attempt == attempt {
			out = append(out, *one)
		}
	}
	return out
}
