package wasabipeer

import (
	"context"
	"sync"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

// Bounds of the event bus between instances.
const (
	maxEnvelopes = 256
	// subscriberBuffer is the number of messages that wait for a subscriber.
	// When the buffer is full, the publishing instance waits until its deadline
	// and then gets an error.
	subscriberBuffer = 64
)

// Publisher sends messages of the event bus to other instances. It is safe for
// concurrent use.
type Publisher struct {
	client    *Client
	addresses func() []string
}

var _ message.Publisher = (*Publisher)(nil)

// NewPublisher returns a publisher that sends to the addresses that the
// function returns at each call. The function must be safe for concurrent use.
func NewPublisher(c *Client, addresses func() []string) *Publisher {
	return &Publisher{client: c, addresses: addresses}
}

// Publish sends the messages to every address and waits until the subscribers
// there have acknowledged them. After a failure it continues with the other
// addresses and returns the first error.
func (p *Publisher) Publish(topic string, messages ...*message.Message) error {
	request := &pb.PublishRequest{Topic: topic}
	ctx := context.Background()
	for _, m := range messages {
		request.Envelopes = append(request.Envelopes, &pb.Envelope{Uuid: m.UUID, Metadata: m.Metadata, Payload: m.Payload})
		ctx = m.Context()
	}
	var first error
	for _, address := range p.addresses() {
		if err := p.client.publish(ctx, address, request); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Close does nothing: the client belongs to its creator.
func (p *Publisher) Close() error { return nil }

type subscription struct {
	topic string
	ctx   context.Context
	out   chan *message.Message
}

// Subscriber receives what other instances publish to this one. It is safe for
// concurrent use.
type Subscriber struct {
	// sending is held for reading while a message goes to a subscription, so
	// that no channel is closed during a send.
	sending sync.RWMutex
	// closing unblocks senders that wait at a full buffer before the lock is
	// taken for closing.
	closing   chan struct{}
	closeOnce sync.Once
	closed    bool
	subs      []*subscription
}

var _ message.Subscriber = (*Subscriber)(nil)

func newSubscriber() *Subscriber {
	return &Subscriber{closing: make(chan struct{})}
}

// Subscribe returns the messages of a topic until the context ends.
func (s *Subscriber) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	s.sending.Lock()
	defer s.sending.Unlock()
	if s.closed {
		return nil, wasabiridge.ErrUnavailable.New("peer: the subscriber is closed")
	}
	sub := &subscription{topic: topic, ctx: ctx, out: make(chan *message.Message, subscriberBuffer)}
	s.subs = append(s.subs, sub)
	context.AfterFunc(ctx, func() { s.remove(sub) })
	return sub.out, nil
}

func (s *Subscriber) remove(sub *subscription) {
	s.sending.Lock()
	defer s.sending.Unlock()
	for i, have := range s.subs {
		if have == sub {
			s.subs = append(s.subs[:i:i], s.subs[i+1:]...)
			close(sub.out)
			return
		}
	}
}

// Close ends all subscriptions.
func (s *Subscriber) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	s.sending.Lock()
	defer s.sending.Unlock()
	s.closed = true
	for _, sub := range s.subs {
		close(sub.out)
	}
	s.subs = nil
	return nil
}

// deliver sends the messages to every subscription of the topic and waits for
// their acknowledgement. A topic without subscriptions accepts every message.
func (s *Subscriber) deliver(ctx context.Context, in *pb.PublishRequest) error {
	if in.GetTopic() == "" || len(in.GetEnvelopes()) > maxEnvelopes {
		return wasabiridge.ErrInvalid.New("peer: refused %d messages for topic %q: no topic or too many messages", len(in.GetEnvelopes()), in.GetTopic())
	}
	for _, e := range in.Envelopes {
		for _, sent := range s.send(ctx, in.Topic, e) {
			if err := s.await(ctx, sent); err != nil {
				return err
			}
		}
	}
	return nil
}

// send puts one message into the buffer of every subscription of the topic.
// When a buffer stays full, the message is still returned as sent: nobody
// acknowledges it, so await reports the failure to the publisher.
func (s *Subscriber) send(ctx context.Context, topic string, e *pb.Envelope) []*message.Message {
	s.sending.RLock()
	defer s.sending.RUnlock()
	var sent []*message.Message
	for _, sub := range s.subs {
		if sub.topic != topic {
			continue
		}
		m := message.NewMessage(e.GetUuid(), e.GetPayload())
		for k, v := range e.GetMetadata() {
			m.Metadata.Set(k, v)
		}
		m.SetContext(sub.ctx)
		select {
		case sub.out <- m:
		case <-ctx.Done():
		case <-sub.ctx.Done():
		case <-s.closing:
		}
		sent = append(sent, m)
	}
	return sent
}

func (s *Subscriber) await(ctx context.Context, m *message.Message) error {
	select {
	case <-m.Acked():
		return nil
	case <-m.Nacked():
		return wasabiridge.ErrConflict.New("peer: a subscriber rejected the message")
	case <-m.Context().Done():
		return nil
	case <-s.closing:
		return wasabiridge.ErrOutcomeUnknown.New("peer: the subscriber was closed before it acknowledged the message")
	case <-ctx.Done():
		return wasabiridge.ErrOutcomeUnknown.Wrap(ctx.Err(), "peer: a subscriber did not acknowledge the message in time")
	}
}
