// Package wasabireach detects that an instance has lost its network path to all
// backend servers, although the servers may be healthy and other instances may reach
// them.
//
// A Tracker is a deterministic state machine. It becomes suspicious when attempts are in
// flight and nothing at all is received from any server for a while, or when no
// connection to several servers can be opened. It then requests a check: a new connection
// to a random server and, if that cannot be opened, to several others. If none can be
// opened, the instance is detached. While it is detached, checks continue until most
// connections of a sample can be opened.
//
// New connections are the evidence, because in a partition established ones may hang or,
// where a firewall drops only the opening packets, go on working.
//
// # Usage
//
//	tracker := wasabireach.New(seed)
//	tracker.Sent(now, attempt)
//	if tracker.Due(now) {
//		changed := tracker.Checked(now, connect(tracker.Check(servers)))
//	}
//
// A Tracker is not safe for concurrent use.
package wasabireach

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// silenceTimeout is how long attempts may be in flight while nothing is received
	// from any server before a check.
	silenceTimeout = 400 * wasabiridge.Millis(1)
	// maxFailedServers is the number of servers to which connections failed within
	// failureWindow from which a check is requested.
	maxFailedServers = 2
	failureWindow    = 2 * wasabiridge.Second
	// checkInterval is the time between two checks while the instance is detached, and
	// connectedInterval the time after a check that found a server.
	checkInterval     = 500 * wasabiridge.Millis(1)
	connectedInterval = wasabiridge.Second
	// firstSample is the number of servers in the first sample of a check, and
	// secondSample that in the second one. While the instance is detached, each check has
	// one sample of restoreSample servers.
	firstSample   = 1
	secondSample  = 5
	restoreSample = 3
)

// Result is the outcome of one sample: the number of servers to which a connection could
// be opened, and to which none could.
type Result struct {
	Connected, Failed int
}

// Tracker decides whether an instance is detached from the backend servers.
type Tracker struct {
	random *rand.Rand
	// unanswered holds when the attempts that have no byte of an answer yet were sent.
	unanswered map[wasabiridge.AttemptID]wasabiridge.Millis
	// suspected is set by Suspect until the next check.
	suspected bool
	// received is when anything was last received from a server.
	received wasabiridge.Millis
	// failures holds when a connection to a server last failed.
	failures map[wasabiridge.BackendServerID]wasabiridge.Millis
	// sampled holds the servers of the current check. confirming is set while its second
	// sample is due, and conclusive when no further sample follows the current one.
	sampled                map[wasabiridge.BackendServerID]bool
	confirming, conclusive bool
	// checking is set while the result of a sample is outstanding.
	checking  bool
	nextCheck wasabiridge.Millis
	detached  bool
	since     wasabiridge.Millis
}

// New returns the Tracker of an instance that counts as connected.
func New(seed uint64) *Tracker {
	return &Tracker{
		random:     rand.New(rand.NewPCG(seed, 0)),
		unanswered: map[wasabiridge.AttemptID]wasabiridge.Millis{},
		failures:   map[wasabiridge.BackendServerID]wasabiridge.Millis{},
		sampled:    map[wasabiridge.BackendServerID]bool{},
	}
}

// Sent records that an attempt was sent to a server.
func (t *Tracker) Sent(now wasabiridge.Millis, a wasabiridge.AttemptID) { t.unanswered[a] = now }

// Received records that a part of the answer to an attempt arrived.
func (t *Tracker) Received(now wasabiridge.Millis, a wasabiridge.AttemptID) {
	t.received = now
	delete(t.unanswered, a)
}

// Ended records the end of an attempt.
func (t *Tracker) Ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	delete(t.unanswered, e.Attempt)
	if e.Unreachable {
		t.failures[e.Backend] = now
	}
}

// Suspect requests a check.
func (t *Tracker) Suspect() { t.suspected = true }

// Detached reports whether the instance has no path to any backend server, and since when.
func (t *Tracker) Detached() (since wasabiridge.Millis, detached bool) { return t.since, t.detached }

// suspicious reports whether the path to the servers may be lost.
func (t *Tracker) suspicious(now wasabiridge.Millis) bool {
	for server, at := range t.failures {
		if now-at > failureWindow {
			delete(t.failures, server)
		}
	}
	if len(t.failures) >= maxFailedServers {
		return true
	}
	for _, sent := range t.unanswered {
		if now-max(sent, t.received) >= silenceTimeout {
			return true
		}
	}
	return false
}

// Due reports whether a check is due.
func (t *Tracker) Due(now wasabiridge.Millis) bool {
	switch {
	case t.checking:
		return false
	case t.confirming:
		return true
	}
	return now >= t.nextCheck && (t.detached || t.suspected || t.suspicious(now))
}

// Check returns the servers, of all given, to which a connection has to be opened for the
// check that is due. The result must be passed to Checked.
func (t *Tracker) Check(servers []wasabiridge.BackendServer) []wasabiridge.BackendServer {
	size := firstSample
	switch {
	case t.confirming:
		size = secondSample
	case t.detached:
		size = restoreSample
	}
	if !t.confirming {
		clear(t.sampled)
	}
	var sample []wasabiridge.BackendServer
	for _, i := range t.random.Perm(len(servers)) {
		if len(sample) < size && !t.sampled[servers[i].ID] {
			sample = append(sample, servers[i])
		}
	}
	for _, s := range sample {
		t.sampled[s.ID] = true
	}
	t.checking, t.suspected = len(sample) > 0, false
	t.conclusive = t.confirming || len(sample) == len(servers)
	t.confirming = t.confirming && t.checking
	return sample
}

// Checked records the result of a sample. It reports whether that changed whether the
// instance is detached.
func (t *Tracker) Checked(now wasabiridge.Millis, r Result) bool {
	before := t.detached
	t.checking = false
	switch {
	case t.detached && r.Connected > r.Failed, !t.detached && r.Connected > 0:
		t.confirming = false
		t.setDetached(now, false)
	case t.detached:
		t.nextCheck = now + checkInterval
	case t.conclusive:
		t.confirming = false
		t.setDetached(now, true)
	default:
		t.confirming = true
	}
	return t.detached != before
}

func (t *Tracker) setDetached(now wasabiridge.Millis, detached bool) {
	if t.detached != detached {
		t.since = now
	}
	t.detached = detached
	t.nextCheck = now + connectedInterval
	if detached {
		t.nextCheck = now + checkInterval
	}
	clear(t.failures)
}
