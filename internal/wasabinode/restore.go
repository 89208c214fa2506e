package wasabinode

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

const (
	// restorePoll is the interval at which waitFor checks its condition.
	restorePoll = 20 * time.Millisecond
	// restoreWait is how long after the first configuration restore waits for
	// other instances, to know whether callers are sent to this one at all. The
	// membership has them about 300 ms after a start.
	restoreWait = 300 * wasabiridge.Millis(1)
	// The membership view counts as complete when it has not grown for membersSettleTime, and
	// after maxMembersWait in any case.
	membersSettleTime = 200 * wasabiridge.Millis(1)
	maxMembersWait    = 2 * wasabiridge.Second
	// restoreTimeout bounds one query to a cache.
	restoreTimeout = 2 * time.Second
)

// restore queries after the start which prefix segments the engines and the KV
// cache stores hold, with one short call for each.
//
// The failure it guards against: all instances are restarted at once and lose
// their record of which engine received which prompt. Prompts that one engine has
// cached are then computed again at others, just when all callers come back.
func (n *Node) restore(ctx context.Context) {
	if !n.waitFor(ctx, wasabiridge.Day, n.hasConfig) {
		return
	}
	n.waitForMembers(ctx)
	if !n.isActive() {
		return
	}
	began := n.options.Clock.Now()
	var wg sync.WaitGroup
	var segments atomic.Int64
	var failed listFailures
	for address, server := range cachesOf(n.activeConfig.Load().config) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			held, err := n.restoreCache(ctx, server, address)
			if err != nil {
				failed.add(address, err)
				n.log.Debug().Err(err).Str("address", address).Msg("Query of cache contents failed.")
			}
			segments.Add(int64(held))
		}()
	}
	wg.Wait()
	n.log.Info().Int64("parts", segments.Load()).Int("failed", len(failed.causes)).
		Int64("took_ms", int64(n.options.Clock.Now()-began)).Strs("failed_at", failed.first()).Msg("Caches listed.")
}

// maxListFailures is the number of failed listings that are named in the log.
const maxListFailures = 3

// listFailures holds why caches could not be listed. It is safe for concurrent use.
type listFailures struct {
	mu sync.Mutex
	// causes are by address.
	causes map[string]string
}

// add records a failure. Its cause is the last part of the name of its type.
func (f *listFailures) add(address string, err error) {
	cause := "other"
	if typed := errorx.Cast(err); typed != nil {
		name := typed.Type().FullName()
		cause = name[strings.LastIndexByte(name, '.')+1:]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.causes == nil {
		f.causes = map[string]string{}
	}
	f.causes[address] = cause
}

// first returns the first failures in the order of their addresses.
func (f *listFailures) first() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, address := range slices.Sorted(maps.Keys(f.causes)) {
		if len(out) == maxListFailures {
			break
		}
		out = append(out, address+" "+f.causes[address])
	}
	return out
}

// waitForMembers waits until the membership view has stopped growing after a start, so that it
// is known whether callers are sent to this instance.
//
// The failure it guards against: hundreds of instances start together, and each knows few
// others at first. All of them take themselves for the ones that callers are sent to, and ask
// every engine for the content of its cache.
func (n *Node) waitForMembers(ctx context.Context) {
	n.waitFor(ctx, restoreWait, func() bool { return !n.isAlone() })
	known, changedAt := len(n.members.Members()), n.options.Clock.Now()
	n.waitFor(ctx, maxMembersWait, func() bool {
		now := n.options.Clock.Now()
		if count := len(n.members.Members()); count != known {
			known, changedAt = count, now
		}
		return known == 0 || now-changedAt >= membersSettleTime
	})
}

// waitFor waits until a condition is met. It returns false when the time-out
// passes or the context ends first.
func (n *Node) waitFor(ctx context.Context, timeout wasabiridge.Millis, condition func() bool) bool {
	for end := n.options.Clock.Now() + timeout; !condition(); {
		select {
		case <-time.After(restorePoll):
		case <-ctx.Done():
			return false
		}
		if n.options.Clock.Now() >= end {
			return false
		}
	}
	return true
}

// hasConfig reports whether a configuration was adopted.
func (n *Node) hasConfig() bool { return n.activeConfig.Load().config.Version > 0 }

// isActive reports whether callers are sent to this instance.
func (n *Node) isActive() bool {
	return slices.ContainsFunc(n.book.Active(), func(e wasabiridge.InstanceEntry) bool {
		return e.ID == n.options.Settings.Instance
	})
}

// cachesOf returns the addresses at which caches can be queried, each with its engine.
// For a KV cache store that is the zero value.
func cachesOf(cfg *wasabiridge.Config) map[string]wasabiridge.BackendServer {
	out := map[string]wasabiridge.BackendServer{}
	for _, pool := range cfg.Pools {
		if len(pool.Models) == 0 {
			continue
		}
		for _, b := range pool.Backends {
			out[wasabiaddress.HostPort(b.URL)] = b
		}
	}
	for _, k := range cfg.CacheStores {
		out[k.Address] = wasabiridge.BackendServer{}
	}
	return out
}

// restoreCache posts the prefix segments that one cache holds to the decision
// loop, in the form of an update from an instance. It returns their number. Segments of
// an engine that restarted meanwhile are ignored.
func (n *Node) restoreCache(ctx context.Context, server wasabiridge.BackendServer, address string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	held, err := n.options.Platform.Caches.ReadSegments(ctx, address)
	if err != nil {
		return 0, err
	}
	segments := make([]wasabiridge.SegmentUpdate, len(held))
	for i, h := range held {
		segments[i] = wasabiridge.SegmentUpdate{Backend: server.ID, Incarnation: server.Incarnation, Key: wasabiprefix.SegmentKey(h.Salt, h.Segment), Tokens: h.Tokens, Ready: true}
	}
	if server.ID == "" {
		n.loop.TryPost(wasabiridge.CacheStoreListed{Address: address, Segments: segments})
		return len(segments), nil
	}
	n.loop.TryPost(wasabiridge.PeerPlaced{From: n.options.Settings.Instance, Segments: segments})
	return len(segments), nil
}
