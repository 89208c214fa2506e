package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// The benchmarks run the router as a separate process. Callers and engine share the test
// process, so that direct and routed requests are measured with the same callers and the
// same engine.

const openStreams = 200

// event is the event with which an engine sends one token.
const event = `data: {"id":"cmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":" check"},"finish_reason":null,"token_ids":[17]}]}` + "\n\n"

// engineSlots exceeds the number of concurrent streams of every benchmark.
const engineSlots = 16384

// newEngine starts a minimal engine. It sends the first token at once, and rest sends
// the remainder of the response.
func newEngine(b *testing.B, rest func(w http.ResponseWriter, r *http.Request)) wasabiridge.BackendServer {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = io.WriteString(w, `{"incarnation":1,"weights":1}`)
			return
		}
		if r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, event)
		w.(http.Flusher).Flush()
		rest(w, r)
	}))
	b.Cleanup(server.Close)
	// The engine reports no load, so the router could not raise an estimated limit.
	// With its slots stated, the router does not queue.
	return wasabiridge.BackendServer{ID: "e1", Kind: wasabiridge.BackendEngine, URL: server.URL, Slots: engineSlots}
}

// startRouter starts a router process, waits until it serves, and returns its base URL.
func startRouter(b *testing.B, engine wasabiridge.BackendServer) (string, *exec.Cmd) {
	address := freeAddress(b)
	cmd := command(b, "run", "--settings", writeSettings(b, address, engine))
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
	ask(b, address)
	return "http://" + address, cmd
}

// newClient returns a client with a pool of one idle connection for each stream.
func newClient(b *testing.B, streams int) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: streams, DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// promptOf returns a request body with a prompt of about size bytes.
func promptOf(size int) []byte {
	const sentence = "Check the rail sensor before the seat. "
	return []byte(`{"model":"m","stream":true,"messages":[{"role":"system","content":"` +
		strings.Repeat(sentence, size/len(sentence)) + `"},{"role":"user","content":"Code 17?"}]}`)
}

// manual is the size in bytes of a prompt of about 4,000 tokens.
const manual = 16 << 10

// open starts a stream and reads its first token. It returns the body, a reader
// positioned behind that token, and the time to first token.
func open(b *testing.B, client *http.Client, base string, prompt []byte) (io.ReadCloser, *bufio.Reader, time.Duration) {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(prompt))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	started := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return http.NoBody, bufio.NewReader(strings.NewReader("")), 0
	}
	reader := bufio.NewReader(resp.Body)
	if line, err := reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "data: {") {
		b.Errorf("no first token: %q, %v", line, err)
	}
	return resp.Body, reader, time.Since(started)
}

// percentile returns a quantile of sorted durations in milliseconds.
func percentile(sorted []time.Duration, share float64) float64 {
	return float64(sorted[int(share*float64(len(sorted)-1))].Microseconds()) / 1000
}

// BenchmarkFirstToken keeps 200 streams open, half of them direct and half through the
// router, and compares the times to first token. The first two rounds are warm-up.
func BenchmarkFirstToken(b *testing.B) {
	const tokens, pause, rounds = 20, 10 * time.Millisecond, 20
	engine := newEngine(b, func(w http.ResponseWriter, _ *http.Request) {
		for range tokens - 1 {
			time.Sleep(pause)
			_, _ = io.WriteString(w, event)
			w.(http.Flusher).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	router, _ := startRouter(b, engine)
	client := newClient(b, openStreams)
	prompt := promptOf(manual)
	var mu sync.Mutex
	var wg sync.WaitGroup
	took := [2][]time.Duration{}
	for i := range openStreams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * tokens * pause / openStreams)
			for round := range rounds * max(1, b.N) {
				way := (i + round) % 2
				stream, rest, first := open(b, client, [2]string{engine.URL, router}[way], prompt)
				_, _ = io.Copy(io.Discard, rest)
				_ = stream.Close()
				if round < 2 {
					continue
				}
				mu.Lock()
				took[way] = append(took[way], first)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	for way := range took {
		sort.Slice(took[way], func(i, j int) bool { return took[way][i] < took[way][j] })
	}
	for name, share := range map[string]float64{"p50": 0.5, "p99": 0.99} {
		direct, routed := percentile(took[0], share), percentile(took[1], share)
		b.ReportMetric(direct, "ms-direct-"+name)
		b.ReportMetric(routed, "ms-routed-"+name)
		b.ReportMetric(routed-direct, "ms-added-"+name)
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRelay measures the throughput of 200 streams without pauses, and the processor
// time that the router takes for each token.
func BenchmarkRelay(b *testing.B) {
	const tokens, perWrite = 10000, 50
	batch := strings.Repeat(event, perWrite)
	engine := newEngine(b, func(w http.ResponseWriter, _ *http.Request) {
		for range tokens / perWrite {
			_, _ = io.WriteString(w, batch)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	router, cmd := startRouter(b, engine)
	client := newClient(b, openStreams)
	before := cpuSeconds(b, cmd)
	started := time.Now()
	var wg sync.WaitGroup
	for range openStreams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			stream, rest, _ := open(b, client, router, promptOf(manual))
			defer stream.Close()
			read, err := io.Copy(io.Discard, rest)
			if err != nil || read < tokens*int64(len(event)) {
				b.Errorf("stream of %d bytes, %v", read, err)
			}
		}()
	}
	wg.Wait()
	total := float64(openStreams * tokens)
	b.ReportMetric(total/time.Since(started).Seconds(), "tokens/s")
	b.ReportMetric((cpuSeconds(b, cmd)-before)*1e6/total, "router-cpu-us/token")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStreamMemory opens streams that stall after their first token and measures the
// growth of the router's resident memory for each stream.
func BenchmarkStreamMemory(b *testing.B) {
	const small = 100
	for _, c := range []struct{ streams, prompt int }{{500, small}, {1000, small}, {2000, small}, {2000, manual}} {
		b.Run(fmt.Sprintf("streams=%d/prompt=%d", c.streams, c.prompt), func(b *testing.B) {
			measureMemory(b, c.streams, promptOf(c.prompt))
		})
	}
}

func measureMemory(b *testing.B, streams int, prompt []byte) {
	const workers = 20
	release := make(chan struct{})
	engine := newEngine(b, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	defer close(release)
	router, cmd := startRouter(b, engine)
	client := newClient(b, streams)
	before := residentKB(b, cmd)
	var wg sync.WaitGroup
	opened := make([]io.Closer, streams)
	for worker := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := worker; i < streams; i += workers {
				opened[i], _, _ = open(b, client, router, prompt)
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(residentKB(b, cmd)-before)/float64(streams), "KB/stream")
	b.ReportMetric(0, "ns/op")
	for _, stream := range opened {
		_ = stream.Close()
	}
}

// BenchmarkLoad sends requests at a constant rate, each with a response of 236 tokens,
// and measures the processor time of the router, in cores.
func BenchmarkLoad(b *testing.B) {
	for _, rate := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("requests=%d", rate), func(b *testing.B) { measureLoad(b, rate) })
	}
}

func measureLoad(b *testing.B, rate int) {
	const tokens, perWrite, pause, span = 236, 4, 20 * time.Millisecond, 5 * time.Second
	batch := strings.Repeat(event, perWrite)
	engine := newEngine(b, func(w http.ResponseWriter, _ *http.Request) {
		for range tokens / perWrite {
			time.Sleep(pause)
			_, _ = io.WriteString(w, batch)
			w.(http.Flusher).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	router, cmd := startRouter(b, engine)
	client := newClient(b, 4*rate)
	prompt := promptOf(manual)
	before := cpuSeconds(b, cmd)
	started := time.Now()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	for range rate * int(span/time.Second) {
		<-ticker.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			stream, rest, _ := open(b, client, router, prompt)
			_, _ = io.Copy(io.Discard, rest)
			_ = stream.Close()
		}()
	}
	wg.Wait()
	share := (cpuSeconds(b, cmd) - before) / time.Since(started).Seconds()
	b.ReportMetric(share, "cores")
	b.ReportMetric(float64(rate)*float64(span)/float64(time.Since(started)), "requests/s")
	b.ReportMetric(0, "ns/op")
}

// residentKB returns the resident memory of a process in KiB.
func residentKB(b *testing.B, cmd *exec.Cmd) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		b.Skip("needs /proc")
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb, _ := strconv.Atoi(strings.Fields(rest)[0])
	return kb
}

// cpuSeconds returns the user and system time of a process so far.
func cpuSeconds(b *testing.B, cmd *exec.Cmd) float64 {
	const ticksPerSecond = 100
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	if err != nil {
		b.Skip("needs /proc")
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}
