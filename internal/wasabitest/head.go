package wasabitest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// MalformedHeads are heads of responses, without their end, that a parser of net/http accepts and
// that are none of HTTP/1.1.
var MalformedHeads = map[string]string{
	"status 000":                 "HTTP/1.1 000 OK\r\n",
	"status 099":                 "HTTP/1.1 099 OK\r\n",
	"status 101 to no upgrade":   "HTTP/1.1 101 Switching Protocols\r\n",
	"status 600":                 "HTTP/1.1 600 OK\r\n",
	"a status with a sign":       "HTTP/1.1 +20 OK\r\n",
	"a control byte in a reason": "HTTP/1.1 200 O\x01K\r\n",
	"an unknown version":         "HTTP/2.0 200 OK\r\n",
	"a blank in a name":          "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
	"a blank behind a name":      "HTTP/1.1 200 OK\r\nX-Y : 1\r\n",
	"a length behind a blank":    "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
}

// ServeHead starts a server on a free loopback port that answers each request with a head, further
// fields and a body of a length, and closes the connection. It returns the URL of the server and a
// function that stops it. It panics if it cannot listen.
func ServeHead(head, fields, body string) (string, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				q, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = fmt.Fprintf(conn, "%s%sContent-Length: %d\r\n\r\n%s", head, fields, len(body), body)
			}()
		}
	}()
	return "http://" + listener.Addr().String(), func() { _ = listener.Close() }
}
