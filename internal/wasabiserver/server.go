// Package wasabiserver is the HTTP server of the stand-ins for backend servers: it
// can crash and restart at the same address, and faults can be injected into
// single answers.
//
// # Usage
//
//	server := wasabiserver.New(handler)
//	if err := server.Start("127.0.0.1:0"); err != nil {
//		return err
//	}
//	server.Crash()
//	err := server.Start("")
package wasabiserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const readHeaderTimeout = 10 * time.Second

// Server is the HTTP server of one stand-in. It is safe for concurrent use.
type Server struct {
	handler http.Handler

	mu      sync.Mutex
	address string
	running *http.Server
	done    chan struct{}
}

// New returns a server for a handler. It does not listen until Start.
func New(h http.Handler) *Server {
	return &Server{handler: h}
}

// Start listens on an address such as "127.0.0.1:0". After a crash it listens on
// the same address and port as before and ignores its argument. It returns
// ErrUnavailable when it cannot listen.
func (s *Server) Start(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address != "" {
		address = s.address
	}
	var listener net.Listener
	var err error
	if listener, err = new(net.ListenConfig).Listen(context.Background(), "tcp", address); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "server: listen on %s", address)
	}
	s.address = listener.Addr().String()
	running := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan struct{})
	s.running, s.done = running, done
	go func() {
		defer close(done)
		_ = running.Serve(listener)
	}()
	return nil
}

// Crash stops listening and closes all connections, without finishing the
// answers. It has no effect when the server is not listening.
func (s *Server) Crash() {
	s.mu.Lock()
	running, done := s.running, s.done
	s.running = nil
	s.mu.Unlock()
	if running == nil {
		return
	}
	_ = running.Close()
	<-done
}

// URL returns the base URL of the server. It is not valid before the first Start.
func (s *Server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "http://" + s.address
}
