package wasabipeer_test

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
)

const (
	// segmentHeader is the size of the IPv4 and TCP headers with timestamps.
	segmentHeader = 20 + 32
	// segmentSize is the maximum payload of a TCP segment on Ethernet.
	segmentSize = 1448
)

// wire counts what its connections write. Every write counts as segments of its
// own, each acknowledged by a segment without data, which is the most expensive
// way TCP can send it.
type wire struct{ bytes, segments atomic.Int64 }

type countedConn struct {
	net.Conn
	wire *wire
}

func (c countedConn) Write(b []byte) (int, error) {
	c.wire.bytes.Add(int64(len(b)))
	c.wire.segments.Add(int64((len(b) + segmentSize - 1) / segmentSize))
	return c.Conn.Write(b)
}

func (w *wire) total() int64 { return w.bytes.Load() + 2*segmentHeader*w.segments.Load() }

// steady is a heartbeat as it is sent while the membership does not change.
var steady = wasabiridge.Heartbeat{
	From: wasabiridge.Member{
		InstanceEntry: wasabiridge.InstanceEntry{ID: "region-3-369"},
		Incarnation:   1764000000000, Sequence: 2, Config: 2_000_000, Age: wasabiridge.Minute,
	},
	SentAt: 1764000000000, Digest: 0xfeedfacecafebeef,
}

// processorTime returns the processor time of this process in nanoseconds.
func processorTime() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkExchange measures one exchange of heartbeats over an open
// connection: its time, and the bytes of both directions on the wire.
func BenchmarkExchange(b *testing.B) {
	RegisterTestingT(b)
	secure := certificate()
	for _, c := range []struct {
		name    string
		options wasabipeer.Options
	}{{"key", wasabipeer.Options{Key: key}}, {"tls", wasabipeer.Options{TLS: secure}}} {
		b.Run(c.name, func(b *testing.B) {
			w := &wire{}
			c.options.WrapConn = func(conn net.Conn) net.Conn { return countedConn{conn, w} }
			server, err := wasabipeer.Listen("127.0.0.1:0", &handler{heartbeat: steady}, c.options)
			Expect(err).NotTo(HaveOccurred())
			client, err := wasabipeer.NewClient(c.options)
			Expect(err).NotTo(HaveOccurred())
			exchange := func() {
				ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
				defer cancel()
				if _, err := client.Exchange(ctx, server.Address(), steady); err != nil {
					b.Fatal(err)
				}
			}
			exchange()
			opened := w.total()
			for range 20 {
				exchange()
			}
			before, cpu := w.total(), processorTime()
			for b.Loop() {
				exchange()
			}
			b.ReportMetric(float64(w.total()-before)/float64(b.N), "wire-B/op")
			b.ReportMetric(float64(opened), "wire-B/connect")
			b.ReportMetric(float64(processorTime()-cpu)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(proto.Size(wasabipeer.EncodeHeartbeat(steady))), "heartbeat-B")
			client.Close()
			server.Close(context.Background())
		})
	}
}

// BenchmarkConnections measures the memory of one connection, for both its ends
// together, after one exchange of heartbeats.
func BenchmarkConnections(b *testing.B) {
	RegisterTestingT(b)
	const count = 200
	o := wasabipeer.Options{Key: key}
	server, err := wasabipeer.Listen("127.0.0.1:0", &handler{heartbeat: steady}, o)
	Expect(err).NotTo(HaveOccurred())
	memory := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	var clients []*wasabipeer.Client
	before := memory()
	for range count {
		client, err := wasabipeer.NewClient(o)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Exchange(context.Background(), server.Address(), steady)
		Expect(err).NotTo(HaveOccurred())
		clients = append(clients, client)
	}
	b.ReportMetric(float64(memory()-before)/count, "B/connection")
	for _, client := range clients {
		client.Close()
	}
	server.Close(context.Background())
}
