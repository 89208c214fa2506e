package wasabidemo_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

const (
	pathKey     = "bench-key"
	pathStreams = 200
	pathSpan    = 4 * time.Second
	pathEngines = 8
	pathEvent   = `data: {"id":"cmpl-1","object":"chat.completion.chunk","created":1796232000,"model":"m",` +
		`"choices":[{"index":0,"delta":{"content":" footrest"},"token_ids":[1234],"finish_reason":null}]}` + "\n\n"
	pathEnd = "data: [DONE]\n\n"
)

// routes holds the base URLs of one server and of a router in front of all
// servers.
type routes struct {
	direct, routed string
	client         *http.Client
}

// newRoutes starts servers with the given handler for POST requests, and a router
// in front of them.
func newRoutes(b *testing.B, h http.HandlerFunc) routes {
	b.Helper()
	pool := wasabiridge.Pool{ID: "answer"}
	for i := range pathEngines {
		s := wasabiserver.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				// The router polls load reports and cache events.
				w.WriteHeader(http.StatusNotFound)
				return
			}
			h(w, r)
		}))
		if err := s.Start("127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(s.Crash)
		pool.Backends = append(pool.Backends, wasabiridge.BackendServer{
			ID: wasabiridge.BackendServerID(fmt.Sprintf("e%d", i)), Kind: wasabiridge.BackendEngine, URL: s.URL(), Slots: 4096,
		})
	}
	sum := sha256.Sum256([]byte(pathKey))
	text, err := json.Marshal(wasabiridge.Config{
		Version: 1,
		Accounts: []wasabiridge.ClientAccount{{
			ID: "liftwell", KeyHashes: []string{hex.EncodeToString(sum[:])}, Pools: []wasabiridge.PoolID{"answer"},
		}},
		Pools: []wasabiridge.Pool{pool},
		Rules: []wasabiridge.Rule{{
			ID: "all", When: wasabiridge.Condition{Path: "/v1/*"}, Then: wasabiridge.Action{Pool: "answer", QueueLimit: 8192},
		}},
	})
	if err != nil {
		b.Fatal(err)
	}
	file := filepath.Join(b.TempDir(), "config.jsonc")
	if err = os.WriteFile(file, text, 0o600); err != nil {
		b.Fatal(err)
	}
	d, err := wasabidaemon.New(wasabidaemon.Options{Settings: wasabisettings.Settings{
		Instance: "router-1", Zone: "z", ConfigFile: file,
		Caller: wasabisettings.Listener{Listen: "127.0.0.1:0"},
		Limits: wasabisettings.Limits{Requests: 8192},
		Drain:  wasabisettings.Drain{AnswerLifetime: 1},
	}})
	if err != nil {
		b.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- d.Run() }()
	b.Cleanup(func() {
		_ = d.Drain(context.Background())
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8192, DisableCompression: true}}
	b.Cleanup(client.CloseIdleConnections)
	return routes{direct: pool.Backends[0].URL, routed: d.URL(), client: client}
}

// open starts a stream and returns its body after the first byte, with the time
// to first byte.
func (p routes) open(base string) (io.ReadCloser, time.Duration, error) {
	body := strings.NewReader(`{"model":"m","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"Code E4?"}]}`)
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", body)
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+pathKey)
	req.Header.Set("Content-Type", "application/json")
	began := time.Now()
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	first := make([]byte, 1)
	if _, err = io.ReadFull(resp.Body, first); err != nil || resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, 0, fmt.Errorf("status %d: %v", resp.StatusCode, err)
	}
	return resp.Body, time.Since(began), nil
}

// measure keeps pathStreams streams open concurrently for pathSpan and returns the
// sorted times to first byte and the number of tokens received.
func (p routes) measure(b *testing.B, base string) ([]time.Duration, int64) {
	b.Helper()
	var mu sync.Mutex
	var firstByteTimes []time.Duration
	var tokens atomic.Int64
	var running sync.WaitGroup
	until := time.Now().Add(pathSpan)
	for range pathStreams {
		running.Go(func() {
			buffer := make([]byte, 32<<10)
			for time.Now().Before(until) {
				body, first, err := p.open(base)
				if err != nil {
					b.Error(err)
					return
				}
				tokens.Add(countTokens(b, body, buffer))
				body.Close()
				mu.Lock()
				firstByteTimes = append(firstByteTimes, first)
				mu.Unlock()
			}
		})
	}
	running.Wait()
	sort.Slice(firstByteTimes, func(i, j int) bool { return firstByteTimes[i] < firstByteTimes[j] })
	return firstByteTimes, tokens.Load()
}

// countTokens reads a stream to its end and returns the number of its tokens. A
// stream without an end marker is an error.
func countTokens(b *testing.B, body io.Reader, buffer []byte) int64 {
	count := int64(0)
	complete := false
	for {
		n, err := body.Read(buffer)
		count += int64(bytes.Count(buffer[:n], []byte("token_ids")))
		complete = complete || bytes.HasSuffix(buffer[:n], []byte("[DONE]\n\n"))
		if err == io.EOF && complete {
			return count
		}
		if err != nil {
			b.Errorf("stream truncated: %v", err)
			return count
		}
	}
}

func quantile(sorted []time.Duration, share float64) float64 {
	return sorted[int(share*float64(len(sorted)-1))].Seconds() * 1000
}

// BenchmarkFirstToken compares the time to first token of 200 concurrent streams
// through the router and directly. Each has 64 tokens at intervals of 20 ms.
func BenchmarkFirstToken(b *testing.B) {
	p := newRoutes(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for range 64 {
			_, _ = io.WriteString(w, pathEvent)
			_ = control.Flush()
			select {
			case <-ticker.C:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = io.WriteString(w, pathEnd)
	})
	for b.Loop() {
		direct, _ := p.measure(b, p.direct)
		routed, _ := p.measure(b, p.routed)
		if b.Failed() {
			return
		}
		b.ReportMetric(quantile(direct, 0.5), "direct-p50-ms")
		b.ReportMetric(quantile(direct, 0.99), "direct-p99-ms")
		b.ReportMetric(quantile(routed, 0.5)-quantile(direct, 0.5), "added-p50-ms")
		b.ReportMetric(quantile(routed, 0.99)-quantile(direct, 0.99), "added-p99-ms")
	}
}

// BenchmarkTokens compares the throughput of 200 concurrent streams, in tokens per
// second, through the router and directly, when the servers send without pauses.
// Each event holds one token; servers flush after every 8 events.
func BenchmarkTokens(b *testing.B) {
	batch := strings.Repeat(pathEvent, 8)
	p := newRoutes(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		for range 250 {
			_, _ = io.WriteString(w, batch)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, pathEnd)
	})
	for b.Loop() {
		_, direct := p.measure(b, p.direct)
		before := time.Now()
		_, routed := p.measure(b, p.routed)
		elapsed := time.Since(before)
		b.ReportMetric(float64(direct)/pathSpan.Seconds(), "direct-tokens/s")
		b.ReportMetric(float64(routed)/elapsed.Seconds(), "routed-tokens/s")
	}
}

// BenchmarkStreamMemory reports the memory that the router uses for each open
// stream: the memory of the process with streams through the router, less that
// with the same number of direct streams.
func BenchmarkStreamMemory(b *testing.B) {
	for _, count := range []int{200, 1000, 2000} {
		b.Run(fmt.Sprintf("streams=%d", count), func(b *testing.B) {
			var release atomic.Pointer[chan struct{}]
			p := newRoutes(b, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, pathEvent)
				_ = http.NewResponseController(w).Flush()
				<-*release.Load()
				_, _ = io.WriteString(w, pathEnd)
			})
			for b.Loop() {
				direct := p.heldMemory(b, p.direct, count, &release)
				routed := p.heldMemory(b, p.routed, count, &release)
				b.ReportMetric(float64(routed-direct)/float64(count), "B/stream")
			}
		})
	}
}

// heldMemory opens streams and returns by how many bytes the heap and stacks of
// the process grew while they were open.
func (p routes) heldMemory(b *testing.B, base string, count int, release *atomic.Pointer[chan struct{}]) int64 {
	b.Helper()
	p.client.CloseIdleConnections()
	end := make(chan struct{})
	release.Store(&end)
	before := memoryInUse()
	var running, opened sync.WaitGroup
	opened.Add(count)
	for range count {
		running.Go(func() {
			body, _, err := p.open(base)
			opened.Done()
			if err != nil {
				b.Error(err)
				return
			}
			defer body.Close()
			_, _ = io.CopyBuffer(io.Discard, struct{ io.Reader }{body}, make([]byte, 512))
		})
	}
	opened.Wait()
	heldMemory := memoryInUse() - before
	close(end)
	running.Wait()
	return heldMemory
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkOneCaller compares the time to first token of sequential requests
// through the router and directly.
func BenchmarkOneCaller(b *testing.B) {
	p := newRoutes(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, pathEvent)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, pathEnd)
	})
	benchmark := func(base string) func(*testing.B) {
		return func(b *testing.B) {
			var firstByteTimes []time.Duration
			for b.Loop() {
				body, first, err := p.open(base)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, body)
				body.Close()
				firstByteTimes = append(firstByteTimes, first)
			}
			sort.Slice(firstByteTimes, func(i, j int) bool { return firstByteTimes[i] < firstByteTimes[j] })
			b.ReportMetric(quantile(firstByteTimes, 0.5), "p50-ms")
			b.ReportMetric(quantile(firstByteTimes, 0.99), "p99-ms")
		}
	}
	b.Run("way=direct", benchmark(p.direct))
	b.Run("way=routed", benchmark(p.routed))
}
