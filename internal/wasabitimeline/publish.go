package wasabitimeline

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"

	"github.com/wasabiridge/wasabiridge"
)

// Topic is the watermill topic of time line events. The payload of a message
// is a JSON array of events in their order.
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

// lostKey is the metadata field that counts events which were overwritten
// before they could be published.
const lostKey = "lost"

// NewPubSub returns the in-process pub/sub on which time lines are published.
// Publish waits for slow subscribers: the only publisher is the goroutine that
// follows the ring, and while it waits the ring drops its oldest events and
// counts them. Without that wait, every publication behind a stuck subscriber
// would hold a goroutine and a message for ever.
func NewPubSub() *gochannel.GoChannel {
	return gochannel.NewGoChannel(gochannel.Config{
		OutputChannelBuffer:            subscriberBuffer,
		BlockPublishUntilSubscriberAck: true,
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
		var (
			m   *message.Message
			err error
		)
		if m, err = Encode(buf, lost); err != nil {
			return cursor, err
		}
		if err = publisher.Publish(Topic, m); err != nil {
			return cursor, wasabiridge.ErrUnavailable.Wrap(err, "timeline: publish")
		}
	}
}

// Encode makes a message of events. Lost counts events that were overwritten
// before the first one.
func Encode(events []wasabiridge.TimelineEvent, lost uint64) (*message.Message, error) {
	var (
		payload []byte
		err     error
	)
	if payload, err = json.Marshal(events); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "timeline: encode events")
	}
	m := message.NewMessage(watermill.NewUUID(), payload)
	if lost > 0 {
		m.Metadata.Set(lostKey, strconv.FormatUint(lost, 10))
	}
	return m, nil
}

// Decode reads the events of a message and how many were lost before them.
func Decode(m *message.Message) (events []wasabiridge.TimelineEvent, lost uint64, err error) {
	if err = json.Unmarshal(m.Payload, &events); err != nil {
		return nil, 0, wasabiridge.ErrInvalid.Wrap(err, "timeline: decode events")
	}
	if text := m.Metadata.Get(lostKey); text != "" {
		if lost, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, 0, wasabiridge.ErrInvalid.Wrap(err, "timeline: decode the count of lost events")
		}
	}
	return events, lost, nil
}
