package wasabidaemon

import (
	"context"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

// startDuties starts the goroutines of the controllers.
func (d *Daemon) startDuties(ctx context.Context) {
	d.start(ctx, d.forwardNews)
	if d.parts.peers.members != nil {
		d.start(ctx, d.parts.peers.members.Run)
	}
	d.start(ctx, d.followInstances)
	d.start(ctx, d.parts.quarantine.Run)
	d.start(ctx, d.parts.quota.Run)
	if d.parts.claims != nil {
		d.start(ctx, d.parts.claims.Run)
	}
	if d.parts.outcomes != nil {
		d.start(ctx, d.runOutcomes)
	}
	if d.parts.config != nil {
		d.start(ctx, d.parts.config.Run)
		d.start(ctx, d.parts.rollouts.Run)
	}
	d.start(ctx, d.watchTimeline)
}

// forwardNews hands the news of backend servers to the decisions. It waits
// when the loop is busy; meanwhile the ring drops the oldest.
func (d *Daemon) forwardNews(ctx context.Context) {
	for {
		select {
		case e := <-d.parts.news.Events():
			d.board.take(e)
			d.tellLeaving(e)
			d.parts.loop.Post(e)
		case <-ctx.Done():
			return
		}
	}
}

// followInstances tells the decisions how many instances share the backend
// servers. With one left out of account each server would get more than it
// takes; with one too many, capacity would lie idle.
func (d *Daemon) followInstances(ctx context.Context) {
	ticker := time.NewTicker(instancesInterval)
	defer ticker.Stop()
	told := 0
	for {
		if n := len(d.members()) + 1; n != told {
			told = n
			d.parts.loop.Post(wasabiridge.InstancesCounted{Count: n})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) runOutcomes(ctx context.Context) {
	if err := d.parts.outcomes.Run(ctx); err != nil {
		d.log.Error().Err(err).Msg("The last outcomes were not written.")
	}
}

// watchTimeline counts events of the time line in the metrics, over the
// in-process pub/sub.
func (d *Daemon) watchTimeline(ctx context.Context) {
	bus := wasabitimeline.NewPubSub()
	defer func() { _ = bus.Close() }()
	messages, err := bus.Subscribe(ctx, wasabitimeline.Topic)
	if err != nil {
		d.log.Error().Err(err).Msg("Metrics miss the events of the time line.")
		return
	}
	d.start(ctx, func(ctx context.Context) { d.parts.metrics.Watch(ctx, messages) })
	if err = d.parts.timeline.Follow(ctx, bus); err != nil && ctx.Err() == nil {
		d.log.Error().Err(err).Msg("Metrics miss further events of the time line.")
	}
}

// endDuties lets the controllers write what must outlast the process and ends
// them.
func (d *Daemon) endDuties() {
	if d.parts.claims != nil {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if err := d.parts.claims.Drain(ctx); err != nil {
			d.log.Error().Err(err).Msg("Ends of claims were not written; repeats hear that the outcome is unknown.")
		}
	}
	d.end()
	d.duties.Wait()
}
