// Package wasabinotice keeps what backend servers state about themselves in their
// responses and what binds every later request to them: that they are leaving, and that
// they want no requests from this instance for a while.
//
// # Precedence
//
// A notice holds from its receipt on, whatever other sources report: the platform's list
// may still name a leaving server as ready, or lose and regain it. That a server is
// leaving ends only with the incarnation that stated it. A pause ends with its time, or
// with the incarnation. Of several pauses the one that ends last counts, since answers
// arrive out of order and a shorter one does not revoke a longer one.
//
// # Usage
//
//	var board wasabinotice.Board
//	board.Leave(now, "server-1", incarnation)
//	board.Pause(now, "server-2", incarnation, 3*wasabiridge.Second)
//	if board.IsLeaving("server-1", incarnation) || board.PauseLeft(now, "server-1", incarnation) > 0 {
//		return errUnavailable
//	}
//
// The types of this package are not safe for concurrent use.
package wasabinotice

import (
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilife"
)

const (
	// maxServers bounds the servers whose notices are kept. When the limit is reached,
	// the notices that were received least recently are dropped.
	maxServers = 8192
	// retention is how long a notice is kept after it was last received. A server that
	// is leaving ends long before.
	retention = 10 * wasabiridge.Minute
	// MaxPause bounds a pause. A server that requests an absurdly long one gets a request
	// after this time, and can refuse it again.
	MaxPause = wasabiridge.Minute
)

// Notice is what one server stated about itself. It is an immutable value.
type Notice struct {
	Backend wasabiridge.BackendServerID
	// Incarnation is the incarnation of the server that stated it. Zero means that it is
	// not known.
	Incarnation wasabiridge.Incarnation
	// Leaving reports that the server is leaving, and LeavingSince when it first stated
	// so.
	Leaving      bool
	LeavingSince wasabiridge.Millis
	// PausedUntil is the end of the longest pause that the server requested.
	PausedUntil wasabiridge.Millis
	// ReceivedAt is when a statement was last received.
	ReceivedAt wasabiridge.Millis
}

// Board holds the notices of all servers. The zero value is empty.
type Board struct {
	notices map[wasabiridge.BackendServerID]Notice
}

// Leave records that a server is leaving. It reports whether that is news.
func (b *Board) Leave(now wasabiridge.Millis, server wasabiridge.BackendServerID, incarnation wasabiridge.Incarnation) bool {
	n, ok := b.noticeOf(now, server, incarnation)
	if !ok {
		return false
	}
	isNew := !n.Leaving
	if isNew {
		n.Leaving, n.LeavingSince = true, now
	}
	b.put(now, n)
	return isNew
}

// IsLeaving reports whether a server has stated in its current incarnation that it is
// leaving. Incarnation zero means that none is known.
func (b *Board) IsLeaving(server wasabiridge.BackendServerID, current wasabiridge.Incarnation) bool {
	_, leaving := b.LeavingSince(server, current)
	return leaving
}

// LeavingSince is like IsLeaving, and returns when that was first stated.
func (b *Board) LeavingSince(server wasabiridge.BackendServerID, current wasabiridge.Incarnation) (wasabiridge.Millis, bool) {
	n, ok := b.current(server, current)
	return n.LeavingSince, ok && n.Leaving
}

// Pause records that a server wants no requests from this instance for a while, at most
// for MaxPause. It reports whether the server was not paused before.
func (b *Board) Pause(now wasabiridge.Millis, server wasabiridge.BackendServerID, incarnation wasabiridge.Incarnation, duration wasabiridge.Millis) bool {
	n, ok := b.noticeOf(now, server, incarnation)
	if !ok {
		return false
	}
	isNew := now >= n.PausedUntil
	n.PausedUntil = max(n.PausedUntil, now+min(max(duration, 0), MaxPause))
	b.put(now, n)
	return isNew
}

// PauseLeft returns how long the pause of a server in its current incarnation still
// lasts. Incarnation zero means that none is known.
func (b *Board) PauseLeft(now wasabiridge.Millis, server wasabiridge.BackendServerID, current wasabiridge.Incarnation) wasabiridge.Millis {
	n, _ := b.current(server, current)
	return max(0, n.PausedUntil-now)
}

// List returns all notices, sorted by server.
func (b *Board) List() []Notice {
	out := make([]Notice, 0, len(b.notices))
	for _, id := range slices.Sorted(maps.Keys(b.notices)) {
		out = append(out, b.notices[id])
	}
	return out
}

// current returns the notice of a server, unless another incarnation gave it. A notice
// whose incarnation was not known belongs to the first one that is known.
func (b *Board) current(server wasabiridge.BackendServerID, current wasabiridge.Incarnation) (Notice, bool) {
	n, ok := b.notices[server]
	if !ok || current == 0 || n.Incarnation == current {
		return n, ok
	}
	if n.Incarnation != 0 {
		return Notice{}, false
	}
	n.Incarnation = current
	b.notices[server] = n
	return n, true
}

// noticeOf returns the notice to which a statement of an incarnation is added. It reports
// false for a late statement of an earlier incarnation than the one that stated something
// last.
func (b *Board) noticeOf(now wasabiridge.Millis, server wasabiridge.BackendServerID, incarnation wasabiridge.Incarnation) (Notice, bool) {
	if n, ok := b.current(server, incarnation); ok {
		return n, true
	}
	if n := b.notices[server]; incarnation < n.Incarnation && now-n.ReceivedAt < wasabilife.RollbackDelay {
		return Notice{}, false
	}
	return Notice{Backend: server, Incarnation: incarnation}, true
}

func (b *Board) put(now wasabiridge.Millis, n Notice) {
	if b.notices == nil {
		b.notices = map[wasabiridge.BackendServerID]Notice{}
	}
	if _, known := b.notices[n.Backend]; !known && len(b.notices) >= maxServers {
		b.evict(now)
	}
	n.ReceivedAt = now
	b.notices[n.Backend] = n
}

// evict drops the notices that have expired, and the oldest one if none has.
func (b *Board) evict(now wasabiridge.Millis) {
	before := len(b.notices)
	maps.DeleteFunc(b.notices, func(_ wasabiridge.BackendServerID, n Notice) bool { return now-n.ReceivedAt >= retention })
	if len(b.notices) < before {
		return
	}
	var oldest Notice
	for _, n := range b.notices {
		if oldest.Backend == "" || n.ReceivedAt < oldest.ReceivedAt || n.ReceivedAt == oldest.ReceivedAt && n.Backend < oldest.Backend {
			oldest = n
		}
	}
	delete(b.notices, oldest.Backend)
}
