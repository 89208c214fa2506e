package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the network before a replica: it forwards bytes, and holds them while it is cut. What it
// holds arrives when the cut has healed, as of a sender whose kernel sends it again.
type link struct {
	address string
	target  string

	mu  sync.Mutex
	cut chan struct{} // closed when the cut heals; nil without a cut
}

func newLink(target string) *link {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	l := &link{address: socket.Addr().String(), target: target}
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			go l.serve(c.(*net.TCPConn))
		}
	}()
	return l
}

// hold cuts the link for a time.
func (l *link) hold(d time.Duration) {
	healed := make(chan struct{})
	l.mu.Lock()
	l.cut = healed
	l.mu.Unlock()
	time.AfterFunc(d, func() {
		l.mu.Lock()
		l.cut = nil
		l.mu.Unlock()
		close(healed)
	})
}

// wait returns when the link is not cut.
func (l *link) wait() {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

func (l *link) serve(c *net.TCPConn) {
	l.wait()
	other, err := net.Dial("tcp", l.target)
	if err != nil {
		// Nothing listens at the replica: its machine refuses the connection.
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	up := other.(*net.TCPConn)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); l.copy(up, c) }()
	go func() { defer wg.Done(); l.copy(c, up) }()
	wg.Wait()
	_ = c.Close()
	_ = up.Close()
}

// copy forwards bytes, and then what ended the connection: its regular end, or a reset.
func (l *link) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.wait()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
