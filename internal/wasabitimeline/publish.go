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

// EventsTopic is the watermill topic of time line events. BatchOf returns the events
// of a message.
const EventsTopic = "timeline"

// Limits of publishing.
const (
	// PublishInterval is how often new events are published.
	PublishInterval = 50 * wasabiridge.Millis(1)
	// publishBatch is how many events one message holds at most.
	publishBatch = 512
	// subscriberBuffer is how many messages are buffered for a subscriber.
	subscriberBuffer = 64
)

// NewPubSub returns the in-process pub/sub on which time lines are published.
// Publish blocks until slow subscribers acknowledge. The only publisher is the
// goroutine of Log.Follow; while it is blocked, the ring of the Log drops its
// oldest events and counts them. If Publish did not block, every message to a
// subscriber that has stopped reading would hold a goroutine forever.
func NewPubSub() *gochannel.GoChannel {
	return gochannel.NewGoChannel(gochannel.Config{
		OutputChannelBuffer:            subscriberBuffer,
		BlockPublishUntilSubscriberAck: true,
		PreserveContext:                true,
	}, watermill.NopLogger{})
}

// Follow publishes events recorded after its call in batches until ctx is done,
// and then closes the publisher. It blocks, so it needs a goroutine of its own.
// Its use of the lock is short, so that it does not delay Record.
//
// A subscriber that has stopped reading blocks Publish, and would block the
// shutdown of the process as well. Closing the publisher as soon as ctx is done
// unblocks it, because a closed pub/sub does not wait for acknowledgements.
func (l *Log) Follow(ctx context.Context, publisher message.Publisher) error {
	// An error of Close is ignored: the process is shutting down, and no caller
	// could act on it.
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

// publishFrom publishes all events from cursor on and returns the next cursor.
// buf is reused between reads.
func (l *Log) publishFrom(cursor uint64, buf []wasabiridge.TimelineEvent, publisher message.Publisher) (uint64, error) {
	for {
		var lost uint64
		if buf, cursor, lost = l.read(cursor, buf); len(buf) == 0 {
			return cursor, nil
		}
		m := NewMessage(Batch{Events: slices.Clone(buf), Overwritten: lost})
		if err := publisher.Publish(EventsTopic, m); err != nil {
			return cursor, wasabiridge.ErrUnavailable.Wrap(err, "timeline: publish events")
		}
	}
}

// Batch is the content of one message on EventsTopic.
type Batch struct {
	// Events are in the order in which they were recorded. Subscribers share
	// the slice and must not modify it.
	Events []wasabiridge.TimelineEvent
	// Overwritten counts events between the previous batch and this one that were
	// overwritten before they could be published.
	Overwritten uint64
}

type batchKey struct{}

// NewMessage returns a message that carries a batch. The batch is a value in the
// context of the message, which the pub/sub of NewPubSub preserves, and the
// payload is empty. Encoding and decoding events within one process would cost
// more than recording and publishing them.
func NewMessage(b Batch) *message.Message {
	m := message.NewMessage(watermill.NewUUID(), nil)
	m.SetContext(context.WithValue(context.Background(), batchKey{}, b))
	return m
}

// BatchOf returns the batch that a message carries. It reports ErrInvalid for a
// message that was not made by NewMessage.
func BatchOf(m *message.Message) (Batch, error) {
	b, ok := m.Context().Value(batchKey{}).(Batch)
	if !ok {
		return Batch{}, wasabiridge.ErrInvalid.New("timeline: message without a batch of events")
	}
	return b, nil
}
