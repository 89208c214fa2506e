package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	model = "daka51"
	// engineSlots is how many requests an engine processes at a time. Copies of the memory
	// of running requests take slots, too.
	engineSlots = 16
	// handleLife is how long an unused copy is kept.
	handleLife = 5 * time.Second
	// loadTime is how long new weights take, and moveTime how long a copy takes.
	loadTime, moveTime = 1100 * time.Millisecond, 15 * time.Millisecond
)

// engines is a pool of model replicas.
type engines struct {
	mu        sync.Mutex
	byAddress map[string]*engine
	copies    map[string]*kvCopy
	handles   int
	record    *record
	// newest is the newest named version.
	newest int
	// moves and refused count the answers to final moves.
	moves, refused int
	// stoppedUnframed lists the requests whose stream had no length when it was stopped by a
	// move that was answered with 503.
	stoppedUnframed map[string]bool
	unframed        int
}

// kvCopy is the memory of a request that was stopped for a move.
type kvCopy struct {
	id           string
	source, dest *engine
	created      int
}

// engine is a model replica. Its fields are protected by engines.mu.
type engine struct {
	pool                   *engines
	store                  *store
	id, address            string
	version, sequence      int
	fence                  int
	busy                   bool
	running, held, waiting int
	runs                   map[string]*engineRun
	// unframed reports whether the next answer has no length and ends with its connection.
	unframed func() bool
}

// engineRun is a request that is processed.
type engineRun struct {
	stop     chan struct{}
	moving   bool
	unframed bool
	created  int
}

func newEngines(r *record) *engines {
	return &engines{byAddress: map[string]*engine{}, copies: map[string]*kvCopy{}, record: r, newest: 1, stoppedUnframed: map[string]bool{}}
}

// start starts a replica and registers it.
func (p *engines) start(s *store, id string, unframed func() bool) *engine {
	socket := listen()
	e := &engine{pool: p, store: s, id: id, address: socket.Addr().String(), version: 1, runs: map[string]*engineRun{}, unframed: unframed}
	p.mu.Lock()
	p.byAddress[e.address] = e
	e.register()
	p.mu.Unlock()
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go e.handle(conn)
		}
	}()
	return e
}

func (e *engine) models() []any {
	return []any{map[string]any{"name": model, "version": e.version, "adapters": []any{}}}
}

// register writes the replica's entry to the store.
func (e *engine) register() {
	e.store.put("servers", e.id, map[string]any{
		"service": "tagger-lm", "address": e.address, "zone": "hall", "version": "v1", "slots": engineSlots, "state": "ready", "coldLeftMs": 0,
		"stage": "colocated", "models": e.models(), "sequence": e.sequence,
	})
}

func (e *engine) handle(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil || !e.answer(conn, q, body) {
			return
		}
	}
}

// head returns the status line and the header that all answers have.
func (e *engine) head(status int, q *http.Request) string {
	out := fmt.Sprintf("HTTP/1.1 %d %s\r\nWasabiridge-Replica-Load: %d,%d,%d\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), e.running+e.held, e.waiting, engineSlots)
	if id := q.Header.Get("Wasabiridge-Attempt-Id"); id != "" {
		out += "Wasabiridge-Attempt-Id: " + id + "\r\n"
	}
	return out
}

// respond writes a short answer. It reports whether the connection is kept.
func (e *engine) respond(conn net.Conn, q *http.Request, status int, header string, body any) bool {
	data := []byte{}
	if body != nil {
		var err error
		data, err = json.Marshal(body)
		check(err)
		header += "Content-Type: application/json\r\n"
	}
	e.pool.mu.Lock()
	head := e.head(status, q)
	e.pool.mu.Unlock()
	_, err := io.WriteString(conn, head+header+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(data))+string(data))
	return err == nil
}

func (e *engine) answer(conn net.Conn, q *http.Request, body []byte) bool {
	if expected := q.Header.Get("Wasabiridge-Expect-Instance"); expected != "" && expected != e.id {
		return e.respond(conn, q, 421, "Wasabiridge-Instance-Id: "+e.id+"\r\n", nil)
	}
	switch path := q.URL.Path; {
	case path == "/healthz":
		return e.respond(conn, q, 200, "Wasabiridge-Instance-Id: "+e.id+"\r\n", nil)
	case path == "/api/report":
		e.pool.mu.Lock()
		report := map[string]any{
			"stage": "colocated", "models": e.models(), "busy": e.busy, "sequence": e.sequence, "queued": e.waiting, "inFlight": e.running,
			"kvUsed": 1000 * (e.running + e.held), "kvTotal": 184803, "handles": e.held, "pinned": 0, "held": 0, "state": "ready", "next": 0, "runs": []any{},
		}
		e.pool.mu.Unlock()
		return e.respond(conn, q, 200, "", report)
	case path == "/api/kv-list":
		return e.respond(conn, q, 200, "", map[string]any{"bootEpoch": 7, "next": 1, "held": []any{}})
	case path == "/api/kv-events":
		time.Sleep(500 * time.Millisecond)
		return e.respond(conn, q, 200, "", map[string]any{"bootEpoch": 7, "next": 1, "lost": false, "events": []any{}})
	case path == "/api/order":
		return e.respond(conn, q, e.order(body), "", nil)
	case path == "/api/kv-move":
		status, response := e.move(body)
		return e.respond(conn, q, status, "", response)
	case strings.HasPrefix(path, "/api/kv-handle/"):
		e.pool.mu.Lock()
		e.pool.drop(strings.TrimPrefix(path, "/api/kv-handle/"))
		e.pool.mu.Unlock()
		return e.respond(conn, q, 200, "", nil)
	case q.Header.Get("Wasabiridge-Attempt-Id") == "":
		return e.respond(conn, q, 400, "Wasabiridge-Not-Run: 1\r\n", nil)
	}
	return e.stream(conn, q)
}

// order accepts an order to load a version: running requests finish first.
func (e *engine) order(body []byte) int {
	var o struct {
		Operation, Model, Holder string
		Version, Fence           int
		Expected                 *int
	}
	if json.Unmarshal(body, &o) != nil || o.Operation != "version" || o.Model != model || o.Holder == "" {
		return 400
	}
	p := e.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case o.Fence < e.fence:
		return 412
	case o.Version > p.newest:
		return 400
	case o.Version <= e.version && !e.busy:
		return 200
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		return 409
	}
	e.fence, e.busy = o.Fence, true
	e.sequence++
	go func() {
		for {
			p.mu.Lock()
			idle := e.running == 0
			p.mu.Unlock()
			if idle {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(loadTime)
		p.mu.Lock()
		defer p.mu.Unlock()
		e.version, e.busy = o.Version, false
		e.register()
		p.record.note("replica %s has version %d", e.id, e.version)
	}()
	return 202
}

// move stops a run, closes its stream without its end and copies its memory to another
// replica, if that one has a free slot.
func (e *engine) move(body []byte) (int, any) {
	var m struct {
		ID, To string
		Final  bool
	}
	if json.Unmarshal(body, &m) != nil || !m.Final {
		return 400, nil
	}
	p := e.pool
	p.mu.Lock()
	run := e.runs[m.ID]
	switch {
	case run == nil:
		p.mu.Unlock()
		return 404, nil
	case run.moving:
		p.mu.Unlock()
		return 409, nil
	}
	run.moving = true
	close(run.stop)
	delete(e.runs, m.ID)
	p.handles++
	handle := fmt.Sprintf("h%d", p.handles)
	c := &kvCopy{id: m.ID, source: e, created: run.created}
	p.copies[handle] = c
	p.moves++
	dest := p.byAddress[m.To]
	status := 200
	if dest == nil || dest.busy || dest.running+dest.held >= engineSlots {
		// There is no room. The source keeps the memory.
		status = 503
		p.refused++
		if run.unframed {
			p.stoppedUnframed[m.ID] = true
		}
	} else {
		c.dest = dest
		dest.held++
	}
	p.record.note("replica %s stops %s after event %d for a move to %s, which is answered %d with handle %s; stream without a length: %v", e.id, m.ID, run.created, m.To, status, handle, run.unframed)
	p.mu.Unlock()
	time.AfterFunc(handleLife, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.drop(handle)
	})
	time.Sleep(moveTime)
	return status, map[string]any{"handle": handle, "created": c.created}
}

// drop frees a copy. The mutex must be held.
func (p *engines) drop(handle string) *kvCopy {
	c := p.copies[handle]
	if c == nil {
		return nil
	}
	delete(p.copies, handle)
	if c.dest != nil {
		c.dest.held--
	}
	return c
}

// stream answers a request with its events, from the one after Last-Event-Id on.
func (e *engine) stream(conn net.Conn, q *http.Request) bool {
	p, id := e.pool, q.Header.Get("Wasabiridge-Attempt-Id")
	notRun := "Wasabiridge-Not-Run: 1\r\n"
	_, out, _ := strings.Cut(q.Header.Get("Wasabiridge-Token-Usage"), ",")
	events, _ := strconv.Atoi(out)
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	p.mu.Lock()
	if want := q.Header.Get("Wasabiridge-Expect-Version"); want != "" && want != strconv.Itoa(e.version) {
		p.mu.Unlock()
		return e.respond(conn, q, 421, "Wasabiridge-Instance-Id: "+e.id+"\r\n", nil)
	}
	from := q.Header.Get("Kv-From")
	if from != "" {
		c := p.copies[from[strings.LastIndexByte(from, '/')+1:]]
		if c == nil || c.id != id || c.dest != e && c.source != e {
			p.mu.Unlock()
			return e.respond(conn, q, 503, notRun, nil)
		}
		p.drop(from[strings.LastIndexByte(from, '/')+1:])
	} else if e.busy || e.running+e.held >= engineSlots {
		p.mu.Unlock()
		return e.respond(conn, q, 503, notRun, nil)
	}
	run := &engineRun{stop: make(chan struct{}), unframed: from == "" && e.unframed(), created: first}
	e.running++
	e.runs[id] = run
	if run.unframed {
		p.unframed++
	}
	head := e.head(200, q) + "Content-Type: text/event-stream\r\nWasabiridge-Weight-Versions: " + strconv.Itoa(e.version) + "\r\nWasabiridge-Server-Seal: seal-" + e.id + "-" + id + "\r\n"
	p.mu.Unlock()
	p.record.note("replica %s runs %s from event %d on, from the memory of %q, stream without a length: %v", e.id, id, first+1, from, run.unframed)
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		e.running--
		if e.runs[id] == run {
			delete(e.runs, id)
		}
	}()
	if run.unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := first + 1; n <= events; n++ {
		select {
		case <-run.stop:
			return false
		case <-time.After(eventGap):
		}
		text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if !run.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		p.mu.Lock()
		select {
		case <-run.stop:
			p.mu.Unlock()
			return false
		default:
		}
		run.created = n
		p.mu.Unlock()
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
	}
	if run.unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
