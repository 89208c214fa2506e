package wasabipeer_test

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
)

var _ = Describe("The event bus between instances", func() {
	setup := func() (*wasabipeer.Server, *wasabipeer.Publisher) {
		o := wasabipeer.Options{Key: key}
		server := serve(&handler{}, o)
		return server, wasabipeer.NewPublisher(connect(o), func() []string { return []string{server.Address()} })
	}
	publish := func(p *wasabipeer.Publisher) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		m := message.NewMessage("u", []byte("payload"))
		m.Metadata.Set("k", "v")
		m.SetContext(ctx)
		return p.Publish("load", m)
	}

	It("delivers to the subscribers of the topic only", func() {
		server, p := setup()
		in, err := server.Bus().Subscribe(context.Background(), "load")
		Expect(err).NotTo(HaveOccurred())
		other, err := server.Bus().Subscribe(context.Background(), "cache")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			m := <-in
			if string(m.Payload) == "payload" && m.Metadata.Get("k") == "v" && m.UUID == "u" {
				m.Ack()
				return
			}
			m.Nack()
		}()
		Expect(publish(p)).To(Succeed())
		Expect(other).NotTo(Receive())
	})

	It("reports a rejected message to the publisher", func() {
		server, p := setup()
		in, err := server.Bus().Subscribe(context.Background(), "load")
		Expect(err).NotTo(HaveOccurred())
		go func() { (<-in).Nack() }()
		err = publish(p)
		Expect(errorx.IsOfType(err, wasabiridge.ErrConflict)).To(BeTrue(), "%v", err)
	})

	It("does not hang when a subscriber leaves or the bus closes", func() {
		server, p := setup()
		ctx, cancel := context.WithCancel(context.Background())
		in, err := server.Bus().Subscribe(ctx, "load")
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(in).Should(BeClosed())
		Expect(publish(p)).To(Succeed())
		rest, err := server.Bus().Subscribe(context.Background(), "load")
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Bus().Close()).To(Succeed())
		Eventually(rest).Should(BeClosed())
		_, err = server.Bus().Subscribe(context.Background(), "load")
		Expect(err).To(HaveOccurred())
	})
})
