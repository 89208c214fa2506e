package wasabimember_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
)

// relay is a PeerHandler whose controller is set after the server has started. Only
// heartbeats are used.
type relay struct {
	wasabiridge.PeerHandler
	controller atomic.Pointer[wasabimember.Controller]
}

func (r *relay) HandleExchange(ctx context.Context, h wasabiridge.Heartbeat) (wasabiridge.Heartbeat, error) {
	return r.controller.Load().HandleExchange(ctx, h)
}

// listed is a platform's list that never changes.
type listed []wasabiridge.InstanceEntry

func (l listed) Instances(context.Context) ([]wasabiridge.InstanceEntry, error) { return l, nil }

// instance is a controller behind a real peer service.
type instance struct {
	controller *wasabimember.Controller
	config     atomic.Uint64
	backends   atomic.Int64
	stop       func()
}

func names(members []wasabiridge.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, string(m.ID))
	}
	return out
}

func startInstances(count int) []*instance {
	GinkgoHelper()
	options := wasabipeer.Options{Key: []byte("shared")}
	var list listed
	var relays []*relay
	var servers []*wasabipeer.Server
	for i := range count {
		r := &relay{}
		server, err := wasabipeer.Listen("127.0.0.1:0", r, options)
		Expect(err).NotTo(HaveOccurred())
		relays, servers = append(relays, r), append(servers, server)
		list = append(list, wasabiridge.InstanceEntry{
			ID: wasabiridge.InstanceID(fmt.Sprintf("i%d", i)), PeerAddress: server.Address(),
		})
	}
	var out []*instance
	for i := range count {
		client, err := wasabipeer.NewClient(options)
		Expect(err).NotTo(HaveOccurred())
		n := &instance{}
		n.controller = wasabimember.NewController(wasabimember.ControllerOptions{
			Self: list[i], Incarnation: 1, Seed: uint64(i), Clock: wasabiclock.System(), List: list, Peers: client,
			OnReceive:         func(m wasabiridge.Member) { n.config.Store(max(n.config.Load(), uint64(m.Config))) },
			OnBackendsLeaving: func(b []wasabiridge.BackendServerID) { n.backends.Add(int64(len(b))) },
		})
		relays[i].controller.Store(n.controller)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			n.controller.Run(ctx)
		}()
		n.stop = func() {
			cancel()
			<-stopped
			now, end := context.WithCancel(context.Background())
			end()
			Expect(servers[i].Close(now)).To(Succeed())
			Expect(client.Close()).To(Succeed())
		}
		out = append(out, n)
	}
	return out
}

var _ = Describe("Controllers over gRPC", func() {
	It("discover each other, spread updates and remove an instance that crashes", func() {
		all := startInstances(4)
		for _, n := range all {
			Eventually(func() []string { return names(n.controller.Alive()) }, "20s").Should(HaveLen(4))
		}
		all[0].controller.SetConfig(5)
		all[1].controller.LeavingBackends("b")
		all[2].controller.Announce(2)
		Eventually(all[3].config.Load, "20s").Should(BeEquivalentTo(5))
		Eventually(all[3].backends.Load, "20s").Should(BeEquivalentTo(1))

		address, known := all[0].controller.PeerAddress("i2")
		Expect(address).NotTo(BeEmpty())
		Expect(known).To(BeTrue())
		all[1].controller.Leave(context.Background())
		all[2].stop()
		for _, i := range []int{0, 3} {
			Eventually(func() []string { return names(all[i].controller.Alive()) }, "20s").Should(Equal([]string{"i0", "i3"}))
			Eventually(func() []string { return names(all[i].controller.Members()) }, "20s").Should(ContainElement("i1"))
		}
		_, known = all[0].controller.PeerAddress("i2")
		Expect(known).To(BeFalse())
		for _, i := range []int{0, 1, 3} {
			all[i].stop()
		}
		all[0].controller.SetConfig(6)
		Expect(all[0].controller.Dropped()).To(BeNumerically("<", 1000))
	})

	It("refuse heartbeats instead of queueing them without bound while the machine does not run", func() {
		k := wasabimember.NewController(wasabimember.ControllerOptions{Self: entryOf(0), Clock: wasabiclock.System()})
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		h := wasabiridge.Heartbeat{From: wasabiridge.Member{InstanceEntry: entryOf(1)}}
		for range 300 {
			_, err := k.HandleExchange(ctx, h)
			Expect(err).To(HaveOccurred())
		}
		Expect(k.Dropped()).To(BeEquivalentTo(300 - 256))
	})
})
