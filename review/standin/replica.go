package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a request that a replica began to work on.
type run struct {
	replica, id, key, tenant, path string
	at                             time.Time
}

// runs collects the runs of all replicas.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run{}, r.all...)
}

// replica is a replica of a plain service.
type replica struct {
	id, service, address string
	runs                 *runs
	record               *record
	work                 time.Duration
	// slots bounds the requests that it processes at a time; a few more wait.
	slots chan struct{}
	// trailing returns bytes to send behind a complete response, and how much later. Nil
	// means none.
	trailing func() (bytes string, after time.Duration)
	// body returns the body of a response.
	body func(id string) string
	// unframed reports whether a response has no length and ends with its connection.
	unframed func() bool
}

const replicaSlots = 6

// serve accepts connections until the process ends.
func (r *replica) serve(socket net.Listener) {
	r.address, r.slots = socket.Addr().String(), make(chan struct{}, replicaSlots)
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go r.handle(conn)
		}
	}()
}

// entry is the replica's entry in the store.
func (r *replica) entry(sequence int) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": "hall", "version": "v1", "slots": replicaSlots, "state": "ready", "coldLeftMs": 0, "sequence": sequence,
	}
}

// handle serves the requests of one connection, one after the other.
func (r *replica) handle(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	// writing is held while bytes are written, so that responses and trailing bytes do not mix.
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(conn, text)
	}
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if !r.answer(q, string(body), write) {
			return
		}
	}
}

// answer processes a request. It reports whether the connection is kept.
func (r *replica) answer(q *http.Request, body string, write func(string)) bool {
	id := q.Header.Get("Wasabiridge-Attempt-Id")
	head := func(status int, text string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nWasabiridge-Attempt-Id: %s\r\nWasabiridge-Replica-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\n", status, text, id, len(r.slots), replicaSlots)
	}
	empty := "Content-Length: 0\r\n\r\n"
	expected := q.Header.Get("Wasabiridge-Expect-Instance")
	switch {
	case expected != "" && expected != r.id:
		write(head(421, "Misdirected Request") + "Wasabiridge-Instance-Id: " + r.id + "\r\n" + empty)
		return true
	case q.URL.Path == "/healthz":
		write(head(200, "OK") + "Wasabiridge-Instance-Id: " + r.id + "\r\n" + empty)
		return true
	case id == "":
		write(head(400, "Bad Request") + "Wasabiridge-Not-Run: 1\r\n" + empty)
		return true
	}
	select {
	case r.slots <- struct{}{}:
	case <-time.After(500 * time.Millisecond):
		write(head(503, "Service Unavailable") + "Wasabiridge-Not-Run: 1\r\n" + empty)
		return true
	}
	defer func() { <-r.slots }()
	r.runs.add(run{replica: r.id, id: id, tenant: q.Header.Get("Wasabiridge-Tenant"), path: q.URL.Path, at: time.Now()})
	r.record.note("replica %s runs %s, tenant %q, body of %d bytes", r.id, id, q.Header.Get("Wasabiridge-Tenant"), len(body))
	text := "answer to " + id + " "
	if r.body != nil {
		text = r.body(id)
	} else {
		text += strings.Repeat("x", 800-len(text))
	}
	sealed := head(200, "OK") + "Content-Type: text/plain\r\nWasabiridge-Server-Seal: seal-" + r.id + "-" + id + "\r\n"
	if r.unframed != nil && r.unframed() {
		write(sealed + "\r\n" + text[:len(text)/2])
		time.Sleep(r.work)
		write(text[len(text)/2:])
		return false
	}
	time.Sleep(r.work/2 + time.Duration(rand.Int64N(int64(r.work))))
	write(sealed + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text)) + text)
	if r.trailing == nil {
		return true
	}
	if bytes, after := r.trailing(); bytes != "" {
		time.AfterFunc(after, func() {
			r.record.note("replica %s sends %d additional bytes on the connection of %s, %d ms after that answer", r.id, len(bytes), id, after.Milliseconds())
			write(bytes)
		})
	}
	return true
}
