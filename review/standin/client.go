package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// caller sends one request after the other over kept connections, each exactly once.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// request is a request of a client.
type request struct {
	id, method, path, host, key, body string
	// header holds further lines of the header.
	header   string
	deadline time.Duration
}

// answer is what a client received. Cut is set if the answer ended early, and err if there
// was none.
type answer struct {
	status     int
	seal, body string
	cut        bool
	err        error
	// retryAfter is when the client is told to come back.
	retryAfter time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request and reads its answer.
func (c *caller) send(r request) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + 200*time.Millisecond))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nWasabiridge-Attempt-Id: %s\r\nWasabiridge-Deadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&text, "Authorization: Bearer %s\r\n", r.key)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	text.WriteString(r.header + "\r\n" + r.body)
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		c.close()
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.Close {
		c.close()
	}
	var after time.Duration
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		after = time.Duration(seconds * float64(time.Second))
	}
	return answer{retryAfter: after, status: response.StatusCode, seal: response.Header.Get("Wasabiridge-Server-Seal"), body: string(body), cut: err != nil}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (a answer) String() string {
	switch {
	case errors.Is(a.err, io.EOF):
		return "connection closed"
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.cut:
		return fmt.Sprintf("%d, cut off after %d bytes", a.status, len(a.body))
	}
	return fmt.Sprintf("%d, %d bytes, seal %q", a.status, len(a.body), a.seal)
}
