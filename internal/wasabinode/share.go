package wasabinode

import (
	"context"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
)

const (
	// shareDelay gathers placements that follow each other closely into one
	// message.
	shareDelay = 4 * time.Millisecond
	// shareInterval is how often the others are told of loads when no long
	// prompt was placed.
	shareInterval = 100 * time.Millisecond
)

// placements passes time line events on and wakes the sharing when a long
// prompt was placed, whose work the other instances should know of at once.
type placements struct {
	next wasabiridge.Recorder
	wake chan struct{}
}

// Record implements wasabiridge.Recorder.
func (p placements) Record(e wasabiridge.TimelineEvent) {
	p.next.Record(e)
	if e.Kind != wasabiridge.EventPlaced || e.Cause == wasabireplica.WhyLoad {
		return
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// share tells the other instances what this one sent where.
func (n *Node) share(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.placed:
			time.Sleep(shareDelay)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var news wasabiridge.News
		n.loop.Inspect(func() {
			news.Loads, news.Parts = n.placer.TakeNews(n.options.Clock.Now())
			n.quota.Add(n.options.Clock.Now(), &news)
		})
		if len(news.Loads) > 0 || len(news.Parts) > 0 || len(news.Uses) > 0 {
			n.quota.Tell(ctx, news, n.activeEntries())
		}
	}
}

// active returns the other instances that callers are sent to. Only they place
// requests, so only they need to know.
func (n *Node) active() []wasabicatalog.Peer {
	var peers []wasabicatalog.Peer
	for _, e := range n.book.Active() {
		if e.ID != n.options.Settings.Instance && e.PeerAddress != "" {
			peers = append(peers, wasabicatalog.PeerOf(e))
		}
	}
	return peers
}

// activeEntries returns all instances that callers are sent to.
func (n *Node) activeEntries() []wasabiridge.InstanceEntry { return n.book.Active() }
