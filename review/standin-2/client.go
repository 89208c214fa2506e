package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client saw of one attempt.
type answer struct {
	ID       string
	Sent     time.Time
	Ended    time.Time
	Status   int
	Sealed   bool
	Body     string
	Complete bool
	Cause    string
}

// text returns a request as it is sent.
func text(method, path, id string, deadline time.Duration, body string, fields ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nWasabiridge-Attempt-Id: %s\r\nWasabiridge-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, host, id, deadline.Milliseconds(), apiKey)
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// stream returns the text of a request for a stream of about so many tokens.
func stream(route, id string, deadline time.Duration, tokens int) string {
	return text(http.MethodPost, route+"2f", id, deadline, "question "+id, "Wasabiridge-Model: "+model,
		fmt.Sprintf("Wasabiridge-Token-Usage: 1460,%d", tokens), "Wasabiridge-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,"+fmt.Sprintf("%x", time.Now().UnixNano())+":250")
}

// send writes a request to a connection and reads its answer. It waits until the deadline at
// most.
func send(c net.Conn, reader *bufio.Reader, id, request string, deadline time.Duration) answer {
	a := answer{ID: id, Sent: time.Now()}
	defer func() { a.Ended = time.Now() }()
	_ = c.SetDeadline(a.Sent.Add(deadline))
	if _, err := io.WriteString(c, request); err != nil {
		a.Cause, a.Ended = "write: "+short(err), time.Now()
		return a
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.Cause, a.Ended = "no answer: "+short(err), time.Now()
		return a
	}
	defer response.Body.Close()
	a.Status, a.Sealed = response.StatusCode, response.Header.Get("Wasabiridge-Server-Seal") != ""
	body, err := io.ReadAll(response.Body)
	a.Body, a.Complete, a.Ended = string(body), err == nil, time.Now()
	if err != nil {
		a.Cause = "cut off: " + short(err)
	}
	return a
}

// short is an error without addresses.
func short(err error) string {
	t := err.Error()
	if i := strings.LastIndex(t, ": "); i >= 0 {
		t = t[i+2:]
	}
	return t
}

// fresh sends a request over a new connection.
func fresh(address, id, request string, deadline time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{ID: id, Sent: time.Now(), Ended: time.Now(), Cause: "connect: " + short(err)}
	}
	defer c.Close()
	return send(c, bufio.NewReader(c), id, request, deadline)
}
