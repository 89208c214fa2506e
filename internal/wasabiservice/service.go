// Package wasabiservice is an HTTP stand-in for a booking service, a backend
// server that is not an engine. It counts how often the request of each
// idempotency key was executed and does not prevent a second execution, so that
// a test can check that the router does.
//
// # Usage
//
//	service := wasabiservice.New("bookings")
//	if err := service.Start("127.0.0.1:0"); err != nil {
//		return err
//	}
//	defer service.Close()
//	// ... requests ...
//	fmt.Println(service.Executions("key-1"))
package wasabiservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
)

const (
	maxBodyBytes = 1 << 20
	// KeyHeader is the header with the idempotency key that identifies a booking.
	KeyHeader = "Idempotency-Key"
)

// Booking is the body of the answer to a booking request.
type Booking struct {
	Number int    `json:"number"`
	Key    string `json:"key"`
}

// Service is one stand-in for a booking service. It is safe for concurrent use.
type Service struct {
	wasabiserver.Faults
	*wasabiserver.Server
	id wasabiridge.BackendServerID

	mu         sync.Mutex
	total      int
	executions map[string]int
	refusals   int
}

// New returns a service that does not listen until Start.
func New(id wasabiridge.BackendServerID) *Service {
	s := &Service{id: id, executions: make(map[string]int)}
	r := chi.NewRouter()
	r.Post("/bookings", s.handleBooking)
	r.Get("/catalogue/{item}", s.handleCatalogue)
	s.Server = wasabiserver.New(r)
	return s
}

// Close stops the service and closes its connections.
func (s *Service) Close() { s.Crash() }

// Backend returns the service as a backend server of a configuration.
func (s *Service) Backend() wasabiridge.BackendServer {
	return wasabiridge.BackendServer{ID: s.id, Kind: wasabiridge.BackendService, URL: s.URL()}
}

// Executions returns how often a booking with the key was executed.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// Total returns the number of bookings executed with any key.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// RefuseNext makes the service refuse the next count bookings without running them,
// with status 503 and the disposition not_run.
func (s *Service) RefuseNext(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals = count
}

// takeRefusal reports whether the current booking is to be refused, and counts
// it.
func (s *Service) takeRefusal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusals == 0 {
		return false
	}
	s.refusals--
	return true
}

func (s *Service) execute(key string) Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.executions[key]++
	return Booking{Number: s.total, Key: key}
}

func (s *Service) handleBooking(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.takeRefusal() {
		w.Header().Set(wasabiridge.HeaderDisposition, wasabiridge.NotRun.String())
		w.Header().Set(wasabiridge.HeaderRequest, r.Header.Get(wasabiridge.HeaderRequest))
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.answer(w, r, http.StatusCreated, s.execute(r.Header.Get(KeyHeader)))
}

func (s *Service) handleCatalogue(w http.ResponseWriter, r *http.Request) {
	s.answer(w, r, http.StatusOK, map[string]string{"item": chi.URLParam(r, "item")})
}

// answer writes the answer and executes the next injected fault, if there is one.
// A TruncatedEnd fault after the headers closes the connection half way through an
// answer that has no content length.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, status int, v any) {
	var data []byte
	var err error
	if data, err = json.Marshal(v); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fault := s.Next()
	if fault.OccursAt(wasabiserver.BeforeHeaders, 0) {
		fault.Execute(w, r)
	}
	if fault.OccursAt(wasabiserver.AfterHeaders, 0) && fault.Kind == wasabiserver.TruncatedEnd {
		endByClose(w, data[:len(data)/2])
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if fault.OccursAt(wasabiserver.AfterHeaders, 0) {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		fault.Execute(w, r)
	}
	_, _ = w.Write(data)
}

// endByClose sends an answer without a content length, whose end is the end of the
// connection, as HTTP/1.0 servers do.
func endByClose(w http.ResponseWriter, data []byte) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString("HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n")
	_, _ = buffer.Write(data)
	_ = buffer.Flush()
	_ = conn.Close()
}
