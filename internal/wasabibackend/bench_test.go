package wasabibackend_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
)

// tokenEvent is one event of a stream, in the form that engines send.
const tokenEvent = `data: {"id":"cmpl-1","object":"chat.completion.chunk","created":1796232000,"model":"stairlift",` +
	`"choices":[{"index":0,"delta":{"content":" footrest"},"token_ids":[1234],"finish_reason":null}]}` + "\n\n"

// countingSink counts tokens and discards the data.
type countingSink struct{ tokens int }

func (*countingSink) Sent()                       {}
func (*countingSink) Head(int, http.Header) error { return nil }
func (s *countingSink) Chunk(tokens int, _ []byte) error {
	s.tokens += tokens
	return nil
}

// serveStreams starts an engine with the given handler, which ends with the
// benchmark.
func serveStreams(b *testing.B, h http.HandlerFunc) wasabiridge.BackendServer {
	b.Helper()
	s := wasabiserver.New(h)
	if err := s.Start("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Crash)
	return wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: s.URL()}
}

// BenchmarkRelay relays streams of 1,000 tokens in parallel and reports tokens
// per second.
func BenchmarkRelay(b *testing.B) {
	const tokens = 1000
	page := strings.Repeat(tokenEvent, 10)
	backend := serveStreams(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		for range tokens / 10 {
			_, _ = io.WriteString(w, page)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	runner := wasabibackend.New(wasabibackend.Options{})
	defer runner.Close()
	attempt := streamOf(backend)
	attempt.Body = bytes.Replace(attempt.Body, []byte(`"max_tokens":10,`), fmt.Appendf(nil, `"max_tokens":%d,`, tokens), 1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s := &countingSink{}
			ended := runner.Run(context.Background(), attempt, s)
			if ended.Result != wasabiridge.AttemptCompleted || s.tokens != tokens {
				b.Errorf("%v after %d tokens", ended.Result, s.tokens)
			}
		}
	})
	b.ReportMetric(float64(b.N)*tokens/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkOpenStreams reports the memory that a Runner holds per open, idle
// stream. The server runs in the same process; its share is measured with plain
// TCP connections in place of the Runner and subtracted.
func BenchmarkOpenStreams(b *testing.B) {
	for _, count := range []int{200, 1000, 4000} {
		b.Run(fmt.Sprintf("streams=%d", count), func(b *testing.B) {
			for b.Loop() {
				runner := wasabibackend.New(wasabibackend.Options{})
				total := heldByStreams(b, count, func(e wasabiridge.BackendServer, opened *sync.WaitGroup) {
					runner.Run(context.Background(), streamOf(e), &openSink{opened: opened})
				})
				runner.Close()
				server := heldByStreams(b, count, openPlainTCP)
				b.ReportMetric(float64(total-server)/float64(count), "B/stream")
			}
		})
	}
}

// openPlainTCP opens a stream over a plain TCP connection and reads it to its
// end.
func openPlainTCP(e wasabiridge.BackendServer, opened *sync.WaitGroup) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.URL, "http://"))
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n")
	if _, err = conn.Read(make([]byte, 1)); err != nil {
		panic(err)
	}
	opened.Done()
	_, _ = io.CopyBuffer(io.Discard, struct{ io.Reader }{conn}, make([]byte, 512))
}

// heldByStreams opens count streams and returns the bytes of heap and stacks that
// they occupy, on the client and the server side together.
func heldByStreams(b *testing.B, count int, open func(wasabiridge.BackendServer, *sync.WaitGroup)) uint64 {
	b.Helper()
	release := make(chan struct{})
	backend := serveStreams(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, tokenEvent)
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	before := memoryInUse()
	var running, opened sync.WaitGroup
	opened.Add(count)
	for range count {
		running.Go(func() { open(backend, &opened) })
	}
	opened.Wait()
	held := memoryInUse() - before
	close(release)
	running.Wait()
	return held
}

// openSink signals opened when the first token arrives.
type openSink struct {
	countingSink
	opened *sync.WaitGroup
}

func (s *openSink) Chunk(int, []byte) error {
	s.opened.Done()
	return nil
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
