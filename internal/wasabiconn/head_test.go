package wasabiconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconn"
)

// pipes returns a pool whose connections are pipes to serve, which is called in a goroutine
// of its own.
func pipes(serve func(conn net.Conn)) *wasabiconn.Pool {
	return wasabiconn.New(wasabiconn.Options{Clock: wasabiclock.System(), Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(far)
		return near, nil
	}})
}

func request() *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: "a", Path: "/p"}, Host: "a", Body: http.NoBody, Header: http.Header{}}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

var _ = Describe("Heads of responses that do not end", func() {
	const connections, maxBytes = 100, 16 << 20
	unlike := func(n int) string {
		var lines strings.Builder
		for i := range n {
			fmt.Fprintf(&lines, "x%x:\r\n", i)
		}
		return lines.String()
	}
	heads := map[string][]string{
		"one line":                         {"HTTP/1.1 200 OK\r\na: ", strings.Repeat("x", 16<<10-30)},
		"a long line, then short ones":     {"HTTP/1.1 200 OK\r\na: ", strings.Repeat("x", 10<<10), "\r\n", unlike(120)},
		"names of their own in one buffer": {"HTTP/1.1 200 OK\r\n", unlike(600)},
	}
	for _, name := range slices.Sorted(maps.Keys(heads)) {

		// Guards against a process that is ended for its memory while a few servers send heads
		// that grow.
		It("take a bounded part of the memory: "+name, func() {
			waits := make(chan struct{}, connections)
			pool := pipes(func(conn net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				for _, part := range heads[name] {
					if _, err := io.WriteString(conn, part); err != nil {
						break
					}
				}
				waits <- struct{}{}
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			before := heapBytes()
			done := make(chan error, connections)
			for range connections {
				go func() {
					conn, err := pool.Get(ctx, "a:1", wasabiconn.Requirements{})
					if err == nil {
						_, err = conn.RoundTrip(ctx, request(), func(http.Header) bool { return true })
						conn.Discard()
					}
					done <- err
				}()
			}
			for range connections {
				Eventually(waits).Should(Receive())
			}
			Expect(heapBytes() - before).To(BeNumerically("<", maxBytes))
			cancel()
			for range connections {
				Eventually(done).Should(Receive(HaveOccurred()))
			}
		})
	}
})

func BenchmarkRoundTrip(b *testing.B) {
	const response = "HTTP/1.1 200 OK\r\nWasabiridge-Attempt-Id: 9c41d07be2a35f68\r\nWasabiridge-Replica-Load: 3,0,8\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok"
	pool := pipes(func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
		}
	})
	ctx, r := context.Background(), request()
	b.ReportAllocs()
	for b.Loop() {
		conn, err := pool.Get(ctx, "a:1", wasabiconn.Requirements{})
		if err != nil {
			b.Fatal(err)
		}
		answer, err := conn.RoundTrip(ctx, r, func(http.Header) bool { return true })
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		conn.Release(answer, true)
	}
}
