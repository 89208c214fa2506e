package wasabitimeline

import (
	"context"
	"slices"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"

	"github.com/wasabiridge/wasabiridge"
)

// Topic is the watermill topic of time line events. Read its messages with
// BatchOf.
const Topic = "timeline"

// Limits of publishing.
const (
	// PublishInterval is how often new events are published.
	PublishInterval = 50 * wasabiridge.Millis(1)
	// publishBatch is how many events one message holds at most.
	publishBatch = 512
	// subscriberBuffer is how many messages wait for a subscriber.
	subscriberBuffer = 64
)

// NewPubSub returns the in-process pub/sub on which time lines are published.
// Publish waits for slow subscribers: the only publisher is the goroutine that
// follows the ring, and while it waits the ring drops its oldest events and
// counts them. Without that wait, every publication behind a stuck subscriber
// would hold a goroutine and a message for ever.
func NewPubSub() *gochannel.GoChannel {
	return gochannel.NewGoChannel(gochannel.Config{
		OutputChannelBuffer:            subscriberBuffer,
		BlockPublishUntilSubscriberAck: true,
		PreserveContext:                true,
	}, watermill.NopLogger{})
}

// Follow publishes what is recorded from now on until ctx ends, and then closes
// the publisher. It runs in a goroutine of its own and reads behind the
// writers.
//
// A subscriber that stopped taking messages holds Publish up, and with it the
// shutdown of the process. Closing the publisher as soon as ctx ends releases
// it, because a closed pub/sub waits for nobody.
func (l *Log) Follow(ctx context.Context, publisher message.Publisher) error {
	// There is nobody left to tell of a failed close.
	release := context.AfterFunc(ctx, func() { _ = publisher.Close() })
	defer release()
	ticker := time.NewTicker(PublishInterval.Duration())
	defer ticker.Stop()
	cursor, _ := l.Recorded()
	buf := make([]wasabiridge.TimelineEvent, 0, publishBatch)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var err error
		if cursor, err = l.publishFrom(cursor, buf, publisher); err != nil && ctx.Err() == nil {
			return err
		}
	}
}

// publishFrom publishes all events after cursor and returns the next cursor.
func (l *Log) publishFrom(cursor uint64, buf []wasabiridge.TimelineEvent, publisher message.Publisher) (uint64, error) {
	for {
		var lost uint64
		if buf, cursor, lost = l.read(cursor, buf); len(buf) == 0 {
			return cursor, nil
		}
		m := NewMessage(Batch{Events: slices.Clone(buf), Lost: lost})
		if err := publisher.Publish(Topic, m); err != nil {
			return cursor, wasabiridge.ErrUnavailable.Wrap(err, "timeline: publish")
		}
	}
}

// Batch is what one message on Topic holds.
type Batch struct {
	// Events are in their order. Subscribers share the slice and must not
	// write to it.
	Events []wasabiridge.TimelineEvent
	// Lost counts events that were overwritten before the first one.
	Lost uint64
}

type batchKey struct{}

// NewMessage makes a message of a batch. The batch travels typed in the
// message's context, which the pub/sub of NewPubSub preserves, and the payload
// stays empty: encoding and decoding events as bytes within one process costs
// more than everything else about them.
func NewMessage(b Batch) *message.Message {
	m := message.NewMessage(watermill.NewUUID(), nil)
	m.SetContext(context.WithValue(context.Background(), batchKey{}, b))
	return m
}

// BatchOf returns the batch of a message. It reports ErrInvalid for a message
// that NewMessage did not make.
func BatchOf(m *message.Message) (Batch, error) {
	b, ok := m.Context().Value(batchKey{}).(Batch)
	if !ok {
		return Batch{}, wasabiridge.ErrInvalid.New("timeline: message without a batch of events")
	}
	return b, nil
}
