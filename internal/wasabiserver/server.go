// Package wasabiserver is the HTTP listener of the stand-ins: a server that
// can crash and come back at the same address, and failures that strike one
// answer each.
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

// Server is an HTTP server of one stand-in. It is safe for concurrent use.
type Server struct {
	handler http.Handler

	mu      sync.Mutex
	address string
	running *http.Server
	done    chan struct{}
}

// New returns a server that does not listen yet.
func New(h http.Handler) *Server {
	return &Server{handler: h}
}

// Start listens on the address, such as "127.0.0.1:0". After a crash it
// listens where it did before, whatever the address says.
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

// Crash stops listening and cuts all connections. It does nothing when the
// server does not listen.
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

// URL returns the base address of the server.
func (s *Server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "http://" + s.address
}
