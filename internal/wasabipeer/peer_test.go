package wasabipeer_test

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
)

var sample = wasabiridge.Heartbeat{
	From: wasabiridge.Member{
		InstanceEntry: wasabiridge.InstanceEntry{
			ID: "pos-1", PeerAddress: "127.0.0.1:7", CallerURL: "http://127.0.0.1:8",
			Zone: "pos", Region: "trinidad", Leaving: true,
		},
		Incarnation: 3, Sequence: 4, Config: 5,
	},
	Others: []wasabiridge.Member{{
		InstanceEntry: wasabiridge.InstanceEntry{ID: "sfo-1"},
		Incarnation:   1, Suspect: true, Dead: true, ConfirmedAlive: true, Age: 250,
	}},
	LeavingBackends: []wasabiridge.BackendServerID{"dispatch-2"},
	SentAt:          1234567890123,
	Digest:          0xfeedfacecafebeef,
}

var query = wasabiridge.ClaimQuery{
	Account: "liftwell", Key: "k", Request: "r", Holder: "pos-1", Incarnation: 9, Digest: 77,
}

var _ = Describe("The peer service", func() {
	ctx := context.Background()

	It("carries every field of every message", func() {
		h := &handler{
			heartbeat: sample,
			document:  wasabiridge.ConfigDocument{Version: 8, Text: []byte("{}"), Author: "ana", At: 99},
			page: wasabiridge.TimelinePage{Instance: "pos-1", Dropped: 2, Events: []wasabiridge.TimelineEvent{{
				At: 1, Logical: 2, Instance: "pos-1", Kind: wasabiridge.EventPlaced, Request: "r", Attempt: 3,
				Account: "a", Rule: "u", Backend: "b", Cause: "home", Value: -4,
			}}},
			outcome: wasabiridge.ClaimOutcome{
				State:  wasabiridge.ClaimAnswered,
				Answer: wasabiridge.Answer{Status: 201, ContentType: "text/plain", Body: []byte("booked")},
			},
		}
		o := wasabipeer.Options{Key: key}
		address, client := serve(h, o).Address(), connect(o)

		Expect(client.Exchange(ctx, address, sample)).To(Equal(sample))
		Expect(h.gotHeartbeat).To(Equal(sample))
		Expect(client.FetchConfig(ctx, address)).To(Equal(h.document))
		q := wasabiridge.TimelineQuery{Request: "r", Account: "a", Backend: "b", Since: 1, Until: 2, Limit: 3}
		Expect(client.QueryTimeline(ctx, address, q)).To(Equal(h.page))
		Expect(h.gotTimeline).To(Equal(q))
		Expect(client.Claim(ctx, address, query)).To(Equal(h.outcome))
		Expect(h.gotClaim).To(Equal(query))
		r := wasabiridge.ClaimResult{Query: query, Disposition: wasabiridge.Ran, Answer: h.outcome.Answer}
		Expect(client.FinishClaim(ctx, address, r)).To(Succeed())
		Expect(h.gotResult).To(Equal(r))
	})

	It("carries every claim state and disposition unchanged", func() {
		h := &handler{}
		o := wasabipeer.Options{Key: key}
		address, client := serve(h, o).Address(), connect(o)
		for state := wasabiridge.ClaimGranted; state <= wasabiridge.ClaimUnavailable; state++ {
			h.outcome = wasabiridge.ClaimOutcome{State: state}
			Expect(client.Claim(ctx, address, query)).To(Equal(h.outcome))
		}
		for d := wasabiridge.NotRun; d <= wasabiridge.Ran; d++ {
			Expect(client.FinishClaim(ctx, address, wasabiridge.ClaimResult{Query: query, Disposition: d})).To(Succeed())
			Expect(h.gotResult.Disposition).To(Equal(d))
		}
	})

	errors := map[string]*errorx.Type{
		"invalid": wasabiridge.ErrInvalid, "not found": wasabiridge.ErrNotFound,
		"conflict": wasabiridge.ErrConflict, "unavailable": wasabiridge.ErrUnavailable,
		"outcome unknown": wasabiridge.ErrOutcomeUnknown, "fenced": wasabiridge.ErrFenced,
	}
	for _, name := range slices.Sorted(maps.Keys(errors)) {
		It("keeps the type of an error: "+name, func() {
			o := wasabipeer.Options{Key: key}
			address, client := serve(&handler{err: errors[name].New("no")}, o).Address(), connect(o)
			_, err := client.Claim(ctx, address, query)
			Expect(errorx.IsOfType(err, errors[name])).To(BeTrue(), "%v", err)
		})
	}

	It("reports that nothing took effect when no byte could be sent", func() {
		server := serve(&handler{}, wasabipeer.Options{Key: key})
		Expect(server.Close(ctx)).To(Succeed())
		_, err := connect(wasabipeer.Options{Key: key}).Claim(ctx, server.Address(), query)
		Expect(errorx.IsOfType(err, wasabiridge.ErrUnavailable)).To(BeTrue(), "%v", err)
	})

	// A caller books a visit with a ticket. The instance that issued it grants
	// the claim, but stalls before its response leaves. If this were reported
	// as "nothing took effect", the caller would be told "not run" and book
	// again, although the claim is already granted.
	It("does not report a claim without a response as unavailable", func() {
		h := &handler{block: make(chan struct{}), heartbeat: sample}
		defer close(h.block)
		o := wasabipeer.Options{Key: key}
		address, client := serve(h, o).Address(), connect(o)
		// The connection is established before, so that the deadline expires
		// after the call was sent, also on a loaded machine.
		_, err := client.Exchange(ctx, address, sample)
		Expect(err).NotTo(HaveOccurred())
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		out, err := client.Claim(short, address, query)
		Expect(errorx.IsOfType(err, wasabiridge.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
		Expect(out.State).To(Equal(wasabiridge.ClaimUnknown))
	})

	// Two availability zones are partitioned for an hour. When the path works
	// again, calls to the other side fail for two more minutes, because the old
	// connection still waits for the next TCP retransmission.
	It("opens a new connection when calls on the old one keep timing out", func() {
		o := wasabipeer.Options{Key: key}
		address := serve(&handler{heartbeat: sample}, o).Address()
		var dials atomic.Int32
		o.WrapConn = func(c net.Conn) net.Conn {
			if dials.Add(1) == 1 {
				return &silentConn{Conn: c}
			}
			return c
		}
		client := connect(o)
		for i := 0; ; i++ {
			short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			_, err := client.Exchange(short, address, sample)
			cancel()
			if err == nil {
				break
			}
			Expect(i).To(BeNumerically("<", 20), "%v", err)
		}
		Expect(dials.Load()).To(BeNumerically(">", 1))
	})

	trusted := certificate()
	untrusted := certificate()
	clients := map[string]struct {
		server, client wasabipeer.Options
		ok             bool
	}{
		"same key":             {wasabipeer.Options{Key: key}, wasabipeer.Options{Key: key}, true},
		"other key":            {wasabipeer.Options{Key: key}, wasabipeer.Options{Key: []byte("x")}, false},
		"trusted certificate":  {wasabipeer.Options{TLS: trusted}, wasabipeer.Options{TLS: trusted}, true},
		"unknown certificate":  {wasabipeer.Options{TLS: trusted}, wasabipeer.Options{TLS: untrusted}, false},
		"no client cert":       {wasabipeer.Options{TLS: trusted}, wasabipeer.Options{TLS: withoutClientCert(trusted)}, false},
		"plain text to TLS":    {wasabipeer.Options{TLS: trusted, Key: key}, wasabipeer.Options{Key: key}, false},
		"TLS without key":      {wasabipeer.Options{TLS: trusted, Key: key}, wasabipeer.Options{TLS: trusted}, false},
		"clock 8 minutes off":  {wasabipeer.Options{Key: key, Clock: at(0)}, wasabipeer.Options{Key: key, Clock: at(8)}, true},
		"clock 25 minutes off": {wasabipeer.Options{Key: key, Clock: at(0)}, wasabipeer.Options{Key: key, Clock: at(25)}, false},
	}
	for _, name := range slices.Sorted(maps.Keys(clients)) {
		It("authenticates peers: "+name, func() {
			h := &handler{heartbeat: sample}
			c := clients[name]
			_, err := connect(c.client).Exchange(ctx, serve(h, c.server).Address(), sample)
			if c.ok {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(HaveOccurred())
			Expect(h.gotHeartbeat).To(BeZero(), "the handler was reached")
		})
	}

	weak := map[string]wasabipeer.Options{
		"nothing":        {},
		"no certificate": {TLS: &tls.Config{RootCAs: trusted.RootCAs}},
		"no authority":   {TLS: &tls.Config{Certificates: trusted.Certificates}},
	}
	for _, name := range slices.Sorted(maps.Keys(weak)) {
		It("refuses to start without authentication: "+name, func() {
			_, err := wasabipeer.NewClient(weak[name])
			Expect(errorx.IsOfType(err, wasabiridge.ErrInvalid)).To(BeTrue())
			_, err = wasabipeer.Listen("127.0.0.1:0", &handler{}, weak[name])
			Expect(errorx.IsOfType(err, wasabiridge.ErrInvalid)).To(BeTrue())
		})
	}

	outOfBounds := map[string]wasabiridge.Heartbeat{
		"no sender":          {},
		"too many members":   {From: sample.From, Others: make([]wasabiridge.Member, 300)},
		"a name too long":    {From: wasabiridge.Member{InstanceEntry: wasabiridge.InstanceEntry{ID: wasabiridge.InstanceID(strings.Repeat("x", 300))}}},
		"nameless backend":   {From: sample.From, LeavingBackends: []wasabiridge.BackendServerID{""}},
		"a message too long": {From: sample.From, LeavingBackends: []wasabiridge.BackendServerID{wasabiridge.BackendServerID(strings.Repeat("x", 70<<10))}},
	}
	for _, name := range slices.Sorted(maps.Keys(outOfBounds)) {
		It("refuses a heartbeat beyond its bounds: "+name, func() {
			h := &handler{heartbeat: sample}
			o := wasabipeer.Options{Key: key}
			_, err := connect(o).Exchange(ctx, serve(h, o).Address(), outOfBounds[name])
			Expect(err).To(HaveOccurred())
			Expect(h.gotHeartbeat).To(BeZero())
		})
	}
})

// silentConn discards all writes from the first call on.
type silentConn struct {
	net.Conn
	cut atomic.Bool
}

func (c *silentConn) Write(b []byte) (int, error) {
	if len(b) < 100 && !c.cut.Load() {
		return c.Conn.Write(b)
	}
	c.cut.Store(true)
	return len(b), nil
}

func withoutClientCert(c *tls.Config) *tls.Config {
	return &tls.Config{RootCAs: c.RootCAs, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return nil, nil }}
}

func at(minutes wasabiridge.Millis) wasabiridge.Clock {
	return wasabiclock.NewVirtual(wasabiridge.Hour + minutes*wasabiridge.Minute)
}
