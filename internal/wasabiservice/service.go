// Package wasabiservice is an HTTP stand-in of a plain service that takes
// bookings. It counts how often the request of each idempotency key was
// executed and does nothing to prevent a second execution, so that a test sees
// whether the router does.
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
	// KeyHeader names a booking, so that it can be recognised.
	KeyHeader = "Idempotency-Key"
)

// Booking is the answer to a booking.
type Booking struct {
	Number int    `json:"number"`
	Key    string `json:"key"`
}

// Service is one stand-in of a plain service. It is safe for concurrent use.
type Service struct {
	wasabiserver.Faults
	*wasabiserver.Server
	id wasabiridge.BackendServerID

	mu         sync.Mutex
	total      int
	executions map[string]int
	refusals   int
}

// New returns a service that does not listen yet.
func New(id wasabiridge.BackendServerID) *Service {
	s := &Service{id: id, executions: make(map[string]int)}
	r := chi.NewRouter()
	r.Post("/bookings", s.handleBooking)
	r.Get("/catalogue/{item}", s.handleCatalogue)
	s.Server = wasabiserver.New(r)
	return s
}

// Close ends the service.
func (s *Service) Close() { s.Crash() }

// Backend describes the service as a configuration would.
func (s *Service) Backend() wasabiridge.BackendServer {
	return wasabiridge.BackendServer{ID: s.id, Kind: wasabiridge.BackendService, URL: s.URL()}
}

// Executions counts how often a booking with the key was executed.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// Total counts all executed bookings.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Refuse makes the next bookings be refused in the form that says that they
// did not run.
func (s *Service) Refuse(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals = count
}

func (s *Service) refuses() bool {
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
	if s.refuses() {
		w.Header().Set(wasabiridge.HeaderDisposition, wasabiridge.NotRun.String())
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.answer(w, r, http.StatusCreated, s.execute(r.Header.Get(KeyHeader)))
}

func (s *Service) handleCatalogue(w http.ResponseWriter, r *http.Request) {
	s.answer(w, r, http.StatusOK, map[string]string{"item": chi.URLParam(r, "item")})
}

// answer writes the answer, or fails where the next fault says. A clean end
// closes the connection behind an answer without length, half way through.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, status int, v any) {
	var data []byte
	var err error
	if data, err = json.Marshal(v); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fault := s.Take()
	if fault.Strikes(wasabiserver.BeforeHeaders, 0) {
		fault.Perform(w, r)
	}
	if fault.Strikes(wasabiserver.AfterHeaders, 0) && fault.Manner == wasabiserver.CleanEnd {
		endByClose(w, data[:len(data)/2])
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if fault.Strikes(wasabiserver.AfterHeaders, 0) {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		fault.Perform(w, r)
	}
	_, _ = w.Write(data)
}

// endByClose answers without a length, as HTTP/1.0 servers do.
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
