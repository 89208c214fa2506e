package wasabibackend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// measureTime is the duration of one measurement.
const measureTime = 3 * time.Second

// countingListener counts the bytes read from and written to its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, bytes: l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// measureIntake watches servers for measureTime and reports bytes per second, the
// CPU cores used by client and server together, the memory per server, and the
// number of events that the ring dropped.
func measureIntake(b *testing.B, watched, budget int, h http.HandlerFunc) {
	b.Helper()
	bytes := &atomic.Int64{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(countingListener{Listener: listener, bytes: bytes}) }()
	defer server.Close()
	ring := wasabibackend.NewRing(1 << 16)
	before := memoryInUse()
	intake := wasabibackend.NewMonitor(wasabibackend.MonitorOptions{
		Clock: wasabiclock.System(), Ring: ring, Seed: wasabitest.Seed, EventBytesPerSecond: budget,
	})
	var backends []wasabiridge.BackendServer
	for i := range watched {
		backends = append(backends, wasabiridge.BackendServer{
			ID: wasabiridge.BackendServerID(fmt.Sprintf("e%d", i)), Kind: wasabiridge.BackendEngine, URL: "http://" + listener.Addr().String(),
		})
	}
	intake.Watch(backends)
	defer intake.Close()
	time.Sleep(time.Second)
	startBytes, startCPU := bytes.Load(), processTime(b)
	time.Sleep(measureTime)
	b.ReportMetric(float64(bytes.Load()-startBytes)/measureTime.Seconds(), "wireB/s")
	b.ReportMetric((processTime(b)-startCPU).Seconds()/measureTime.Seconds(), "cores")
	b.ReportMetric((float64(memoryInUse())-float64(before))/float64(watched), "B/server")
	b.ReportMetric(float64(ring.Dropped()), "dropped")
}

func processTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIntakeLoad measures load requests, by default two per second and
// server.
func BenchmarkIntakeLoad(b *testing.B) {
	for _, watched := range []int{9, 45, 180} {
		b.Run(fmt.Sprintf("servers=%d", watched), func(b *testing.B) {
			for b.Loop() {
				measureIntake(b, watched, 0, func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/load" {
						<-r.Context().Done()
						return
					}
					w.Header().Set("Content-Type", "application/json")
					_, _ = io.WriteString(w, `{"incarnation":1,"age_ms":20,"running":12,"waiting":3,"waiting_tokens":4096,"weights":7}`)
				})
			}
		})
	}
}

// BenchmarkIntakeEvents measures a stream of cache events in batches of 10, with
// and without a byte budget.
func BenchmarkIntakeEvents(b *testing.B) {
	const perBatch = 10
	entry := `{"kind":"stored","block":"0123456789abcdef"}`
	events := entry + strings.Repeat(","+entry, perBatch-1)
	for _, budget := range []int{0, 1500} {
		for _, rate := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("budget=%d/events_per_second=%d", budget, rate), func(b *testing.B) {
				for b.Loop() {
					measureIntake(b, 1, budget, publish(rate, perBatch, events))
				}
			})
		}
	}
}

// publish returns a handler that publishes rate cache events per second, in
// batches of perBatch.
func publish(rate, perBatch int, events string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/cache/events" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		ticker := time.NewTicker(time.Second * time.Duration(perBatch) / time.Duration(rate))
		defer ticker.Stop()
		for sequence := 1; r.Context().Err() == nil; sequence += perBatch {
			fmt.Fprintf(w, "id: 1-%d\ndata: {\"incarnation\":1,\"sequence\":%d,\"events\":[%s]}\n\n",
				sequence+perBatch-1, sequence, events)
			_ = http.NewResponseController(w).Flush()
			<-ticker.C
		}
	}
}
