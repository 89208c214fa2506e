package wasabinode

import (
	"maps"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabinotice"
)

// noticeMetricTime is how long a server that is leaving is shown in the metrics after it
// last announced it. Servers that have ended announce nothing any more.
const noticeMetricTime = wasabiridge.Minute

// maxBrittleServers bounds the brittle servers that are shown.
const maxBrittleServers = 4096

// maxUnknownNames bounds the names of announcements without a known meaning.
const maxUnknownNames = 32

// faultLogInterval is the shortest time between two log lines on unusable announcements
// of backend servers.
const faultLogInterval = wasabiridge.Second

const (
	// leavingUpdates is how often an announcement is sent to the other instances, with
	// leavingUpdateInterval in between, since an update may be lost.
	leavingUpdates        = 3
	leavingUpdateInterval = wasabiridge.Second
	// maxLeavingUpdates bounds the announcements in one update.
	maxLeavingUpdates = 256
)

// pendingLeaving is an announcement that is sent to the other instances left more times,
// the next time at next.
type pendingLeaving struct {
	wasabiridge.LeavingUpdate
	left int
	next wasabiridge.Millis
}

// notices records and logs what backend servers state about themselves in their answers.
// It is safe for concurrent use.
type notices struct {
	log zerolog.Logger

	mu    sync.Mutex
	board wasabinotice.Board
	// changes counts the servers that announced that they are leaving.
	changes uint64
	// pending are the announcements in answers to this instance that the others are still
	// sent.
	pending []pendingLeaving
	// faultLoggedAt is when a line on an unusable announcement was last logged, and
	// unloggedFaults counts those since.
	faultLoggedAt  wasabiridge.Millis
	unloggedFaults int
	// unknown counts the announcements of each name that has no known meaning.
	unknown map[string]int
	// malformed counts the malformed responses by part.
	malformed map[wasabiridge.ResponsePart]int
	// doubted counts the streams that the check of event identifiers has cut, and numberings the
	// changes of what is known of them.
	doubted, numberings int
	// numberingsReceived counts the updates of other instances that contained more of them.
	numberingsReceived int
	// lifted counts the streams that were passed on after their end had been doubted.
	lifted int
	// pauses counts the pauses that servers have requested.
	pauses int
	// brittle holds what brittle servers have announced last.
	brittle map[wasabiridge.BackendServerID]brittleNotice
}

// brittleNotice is the announcement of a server that it is brittle: the refusals in a second
// that it bears, and when it was last received.
type brittleNotice struct {
	refusals   float64
	receivedAt wasabiridge.Millis
}

// recordLeaving takes the announcement of a server that it is leaving, from one of its
// answers or from another instance. It reports whether that is news.
func (n *notices) recordLeaving(e wasabiridge.BackendLeaving, from wasabiridge.InstanceID, now wasabiridge.Millis) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Fault != "" {
		n.logFault(e.Backend, e.Fault, now)
		return false
	}
	if !n.board.Leave(now, e.Backend, e.Incarnation) {
		return false
	}
	n.changes++
	if from == "" {
		n.pending = append(n.pending, pendingLeaving{LeavingUpdate: wasabiridge.LeavingUpdate{Backend: e.Backend, Incarnation: e.Incarnation}, left: leavingUpdates})
	}
	n.log.Info().Str(wasabilog.BackendField, string(e.Backend)).Uint64("incarnation", uint64(e.Incarnation)).Str("from", string(from)).
		Msg("Backend server announced that it is leaving.")
	return true
}

// hasPending reports whether there are announcements that the other instances are still sent.
func (n *notices) hasPending() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pending) > 0
}

// takeLeaving returns the announcements of servers that are to be sent to the other
// instances now.
func (n *notices) takeLeaving(now wasabiridge.Millis) []wasabiridge.LeavingUpdate {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []wasabiridge.LeavingUpdate
	for i := range n.pending {
		u := &n.pending[i]
		if now < u.next || len(out) >= maxLeavingUpdates {
			continue
		}
		out = append(out, u.LeavingUpdate)
		u.left, u.next = u.left-1, now+leavingUpdateInterval
	}
	n.pending = slices.DeleteFunc(n.pending, func(u pendingLeaving) bool { return u.left == 0 })
	return out
}

// recordPause takes the request of a server for a pause. It logs the first one of a pause.
func (n *notices) recordPause(e wasabiridge.PauseRequested, now wasabiridge.Millis) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Fault != "" {
		n.logFault(e.Backend, e.Fault, now)
		return
	}
	n.pauses++
	if n.board.Pause(now, e.Backend, e.Incarnation, e.Duration) {
		n.log.Info().Str(wasabilog.BackendField, string(e.Backend)).Uint64("incarnation", uint64(e.Incarnation)).
			Int64("pause_ms", int64(e.Duration)).Msg("Backend server requested a pause.")
	}
}

// recordBrittle takes what a server says about how it bears overload, in an answer or, if from
// is not empty, in an update of that instance. It logs each change.
func (n *notices) recordBrittle(e wasabiridge.BrittleAnnounced, from wasabiridge.InstanceID, now wasabiridge.Millis) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Fault != "" {
		n.logFault(e.Backend, e.Fault, now)
	}
	before, known := n.brittle[e.Backend]
	if !e.Brittle && !known {
		return
	}
	if e.Brittle && !known && len(n.brittle) >= maxBrittleServers {
		maps.DeleteFunc(n.brittle, func(_ wasabiridge.BackendServerID, b brittleNotice) bool { return now-b.receivedAt > noticeMetricTime })
		if len(n.brittle) >= maxBrittleServers {
			return
		}
	}
	if e.Brittle {
		if n.brittle == nil {
			n.brittle = map[wasabiridge.BackendServerID]brittleNotice{}
		}
		n.brittle[e.Backend] = brittleNotice{refusals: e.Refusals, receivedAt: now}
	} else {
		delete(n.brittle, e.Backend)
	}
	if e.Brittle && known && e.Refusals == before.refusals {
		return
	}
	n.log.Info().Str(wasabilog.BackendField, string(e.Backend)).Bool("brittle", e.Brittle).Float64("refusals", e.Refusals).
		Str("from", string(from)).Int64("asked_ms_ago", int64(now-e.RequestSentAt)).
		Msg("Backend server announced how many refusals it bears.")
}

// recordUnknown takes an announcement that has no known meaning. It logs each name once.
func (n *notices) recordUnknown(e wasabiridge.UnknownAnnouncement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unknown[e.Name] == 0 && len(n.unknown) >= maxUnknownNames {
		return
	}
	if n.unknown == nil {
		n.unknown = map[string]int{}
	}
	if n.unknown[e.Name]++; n.unknown[e.Name] == 1 {
		n.log.Warn().Str(wasabilog.BackendField, string(e.Backend)).Str("header", e.Name).
			Msg("Announcement of a backend server has no known meaning.")
	}
}

const malformedMessage = "Malformed response of a backend server; its connection was closed."

// recordMalformed counts and logs a malformed response.
func (n *notices) recordMalformed(e wasabiridge.ResponseMalformed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Event.Doubt.Set {
		n.recordDoubt(e)
		return
	}
	if n.malformed == nil {
		n.malformed = map[wasabiridge.ResponsePart]int{}
	}
	n.malformed[e.Part]++
	line := n.log.Warn().Str(wasabilog.RequestField, string(e.Request)).Str(wasabilog.BackendField, string(e.Backend)).Str("of", string(e.Part))
	if e.Part == wasabiridge.PartEvent {
		line = line.Str("cause", e.Cause).Int("events", e.Event.Delivered).Int64("last_id", e.Event.LastID).Int64("id", e.Event.ID).Int("bytes", e.Event.Bytes)
		line.Msg(malformedMessage)
		return
	}
	if e.Part == wasabiridge.PartExtra {
		line = line.Int("status", e.Extra.Status).Str("identifier", string(e.Extra.Identifier)).Bool("sealed", e.Extra.Sealed).
			Bool("not_run", e.Extra.NotRun).Int("bytes", e.Extra.Bytes)
	}
	line.Str("cause", e.Cause).Str("address", e.Address).Msg(malformedMessage)
}

// recordDoubt counts and logs a stream that the check of event identifiers has cut although the
// bytes of its server are sound.
func (n *notices) recordDoubt(e wasabiridge.ResponseMalformed) {
	n.doubted++
	line := n.log.Warn().Str(wasabilog.RequestField, string(e.Request)).Str(wasabilog.BackendField, string(e.Backend)).
		Int64("last_id", e.Event.LastID).Int64("id", e.Event.ID)
	addEvidence(line, e.Event.Doubt.NumberingEvidence).Int("events", e.Event.Delivered).Str("cause", e.Cause).
		Msg("Stream was cut by the router's own check of event identifiers.")
}

// recordLifted counts and logs a stream that was passed on after its end had been doubted.
func (n *notices) recordLifted(e wasabiridge.DoubtLifted) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lifted++
	line := n.log.Info().Str(wasabilog.RequestField, string(e.Request)).Str(wasabilog.BackendField, string(e.Backend)).Int64("waited_ms", int64(e.Waited))
	addEvidence(line, e.Evidence).Msg("Doubted end of a stream was passed on.")
}

// recordNumbering counts and logs that the servers of a pool have begun to number events otherwise.
func (n *notices) recordNumbering(e wasabiridge.NumberingChanged) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.numberings++
	line := n.log.Info().Str(wasabilog.RequestField, string(e.Request)).Str("pool", string(e.Pool)).Str("software", string(e.Software)).Bool("skips", e.Skips)
	addEvidence(line, e.Evidence).Msg("Numbering of events has changed.")
}

// recordNumberingReceived counts and logs that another instance knew more of how the servers of a
// pool number events.
func (n *notices) recordNumberingReceived(from wasabiridge.InstanceID, u wasabiridge.NumberingUpdate, e wasabiridge.NumberingEvidence) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.numberingsReceived++
	line := n.log.Info().Str("from", string(from)).Str("pool", string(u.Pool)).Str("software", string(u.Software)).Int("records", len(u.Servers))
	addEvidence(line, e).Msg("Numbering of events received.")
}

// addEvidence adds what is known of how servers number events.
func addEvidence(line *zerolog.Event, e wasabiridge.NumberingEvidence) *zerolog.Event {
	return line.Int("score", e.Score).Int("servers", e.Servers).Int("skipping", e.Skipping).Int("doubted", e.Doubted).Bool("distrusted", e.Distrusted)
}

// logFault logs an unusable announcement, at most once per faultLogInterval.
func (n *notices) logFault(b wasabiridge.BackendServerID, fault string, now wasabiridge.Millis) {
	if n.faultLoggedAt != 0 && now-n.faultLoggedAt < faultLogInterval {
		n.unloggedFaults++
		return
	}
	n.log.Warn().Str(wasabilog.BackendField, string(b)).Str("error", fault).Int("unlogged", n.unloggedFaults).
		Msg("Announcement of a backend server is unusable.")
	n.faultLoggedAt, n.unloggedFaults = now, 0
}

// accepts reports whether a server accepts requests now, as far as it has stated.
func (n *notices) accepts(b wasabiridge.BackendServer, now wasabiridge.Millis) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.board.IsLeaving(b.ID, b.Incarnation) && n.board.PauseLeft(now, b.ID, b.Incarnation) == 0
}

// changeCount changes when withLeaving may return something else for the same entries.
func (n *notices) changeCount() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changes
}

// withLeaving returns the entries with those marked as leaving whose servers have
// announced it themselves.
func (n *notices) withLeaving(entries []wasabiridge.BackendEntry) []wasabiridge.BackendEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := slices.Clone(entries)
	for i, e := range out {
		out[i].Leaving = e.Leaving || n.board.IsLeaving(e.Server.ID, e.Server.Incarnation)
	}
	return out
}

// lines returns metrics lines: the time since each server that is leaving first announced
// it, the time left of each pause, and the number of pauses requested.
func (n *notices) lines(now wasabiridge.Millis) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	unknown := 0
	for _, count := range n.unknown {
		unknown += count
	}
	brittle := 0
	for _, b := range n.brittle {
		if now-b.receivedAt < noticeMetricTime {
			brittle++
		}
	}
	out := []string{line("server_pauses_total", int64(n.pauses)), line("streams_doubted_total", int64(n.doubted)), line("streams_doubt_lifted_total", int64(n.lifted)), line("event_numbering_changes_total", int64(n.numberings)), line("event_numberings_received_total", int64(n.numberingsReceived)), line("server_announcements_unknown_total", int64(unknown)), line("servers_brittle", int64(brittle))}
	for part, count := range n.malformed {
		out = append(out, line("server_responses_malformed_total{part=\""+string(part)+"\"}", int64(count)))
	}
	for _, s := range n.board.List() {
		if left := s.PausedUntil - now; left > 0 {
			out = append(out, line("server_pause_left_ms{backend=\""+string(s.Backend)+"\"}", int64(left)))
		}
		if s.Leaving && now-s.ReceivedAt < noticeMetricTime {
			out = append(out, line("server_leaving_ms{backend=\""+string(s.Backend)+"\"}", int64(now-s.LeavingSince)))
		}
	}
	return out
}
