package wasabidaemon

import (
	"context"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

// startTasks starts the goroutines of the controllers.
func (d *Daemon) startTasks(ctx context.Context) {
	d.startTask(ctx, d.forwardBackendEvents)
	if d.components.peers.members != nil {
		d.startTask(ctx, d.components.peers.members.Run)
	}
	d.startTask(ctx, d.pollInstanceCount)
	d.startTask(ctx, d.guard.Run)
	d.startTask(ctx, d.held.Run)
	d.startTask(ctx, d.components.quarantine.Run)
	d.startTask(ctx, d.components.quota.Run)
	if d.components.claims != nil {
		d.startTask(ctx, d.components.claims.Run)
	}
	if d.components.outcomes != nil {
		d.startTask(ctx, d.runOutcomes)
	}
	if d.components.config != nil {
		d.startTask(ctx, d.components.config.Run)
		d.startTask(ctx, d.components.rollouts.Run)
	}
	d.startTask(ctx, d.watchTimeline)
}

// forwardBackendEvents posts the events about backend servers to the decision
// loop. It blocks while the loop is busy; if the ring fills up meanwhile, it
// drops its oldest events.
func (d *Daemon) forwardBackendEvents(ctx context.Context) {
	for {
		select {
		case e := <-d.components.backendEvents.Events():
			d.backends.update(e)
			d.announceLeaving(e)
			d.components.loop.Post(e)
		case <-ctx.Done():
			return
		}
	}
}

// pollInstanceCount posts the number of instances that share the backend servers
// to the decision loop whenever it changes. If the number is too low, the
// instances together send more to each server than it can process; if it is too
// high, capacity remains unused.
func (d *Daemon) pollInstanceCount(ctx context.Context) {
	ticker := time.NewTicker(instancesInterval)
	defer ticker.Stop()
	posted := 0
	for {
		if n := len(d.members()) + 1; n != posted {
			posted = n
			d.components.loop.Post(wasabiridge.InstancesCounted{Count: n})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) runOutcomes(ctx context.Context) {
	if err := d.components.outcomes.Run(ctx); err != nil {
		d.log.Error().Err(err).Msg("The last outcomes could not be written.")
	}
}

// watchTimeline forwards the events of the time line to the metrics, through an
// in-process publish/subscribe channel.
func (d *Daemon) watchTimeline(ctx context.Context) {
	bus := wasabitimeline.NewPubSub()
	defer func() { _ = bus.Close() }()
	messages, err := bus.Subscribe(ctx, wasabitimeline.EventsTopic)
	if err != nil {
		d.log.Error().Err(err).Msg("Cannot subscribe to the time line; metrics do not count its events.")
		return
	}
	d.startTask(ctx, func(ctx context.Context) { d.components.metrics.Watch(ctx, messages) })
	if err = d.components.timeline.Follow(ctx, bus); err != nil && ctx.Err() == nil {
		d.log.Error().Err(err).Msg("Reading the time line failed; metrics no longer count its events.")
	}
}

// finishTasks writes the results of claims that are not stored yet, stops the
// tasks and waits for them.
func (d *Daemon) finishTasks() {
	if d.components.claims != nil {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if err := d.components.claims.Drain(ctx); err != nil {
			d.log.Error().Err(err).Msg("Results of claims could not be written; repeated requests get the answer that the outcome is unknown.")
		}
	}
	d.stopTasks()
	d.tasks.Wait()
}
