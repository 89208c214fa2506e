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
// # Connections that open and forward no data
//
// A device on the path, such as a firewall or a load balancer, may accept connections and
// forward nothing, or reset them. If attempts at several servers receive no data although
// connections can be opened, the path is in doubt, and another instance is asked to serve
// a request. If it is served there while nothing has arrived here, the servers are not the
// cause, and the instance is detached. It is detached, too, if the doubt lasts and no server
// of a sample answers a status check: then other instances may have no path either. Checks
// ask servers for an answer from then on, until most of a sample give one.
//
// # Usage
//
//	tracker := wasabireach.New(seed)
//	tracker.Sent(now, attempt, server)
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
	// doubtTimeout is how long attempts at minDoubtServers servers must have received
	// nothing, although connections can be opened, before the path is in doubt, and
	// doubtInterval the time between two requests that another instance is asked to serve
	// meanwhile.
	doubtTimeout    = 700 * wasabiridge.Millis(1)
	minDoubtServers = 2
	doubtInterval   = 200 * wasabiridge.Millis(1)
	// doubtLimit is how long the path may be in doubt before servers are asked for an answer,
	// and askInterval the time between two such checks.
	doubtLimit  = 1200 * wasabiridge.Millis(1)
	askInterval = wasabiridge.Second
	// quietTimeout is the time without any data from which a path counts as silent.
	quietTimeout = 900 * wasabiridge.Millis(1)
	// trialInterval is the time between two requests that are tried over a silent path.
	trialInterval = wasabiridge.Second
	// doubtSpan is how long a path is in doubt after Doubt if nothing arrives.
	doubtSpan = 5 * wasabiridge.Second
)

// Result is the outcome of one sample: the number of servers to which a connection could
// be opened, and to which none could. See Mute.
type Result struct {
	Connected, Failed int
}

// Tracker decides whether an instance is detached from the backend servers.
type Tracker struct {
	random *rand.Rand
	// unanswered holds the attempts that have no byte of an answer yet.
	unanswered map[wasabiridge.AttemptID]sentAttempt
	// fruitless holds when a connection to a server last broke before any byte of an
	// answer, since anything was received.
	fruitless map[wasabiridge.BackendServerID]wasabiridge.Millis
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
	// mute is set while the instance is detached because connections forward no data, and
	// asking while the current check asks servers for an answer although it is not.
	mute, asking bool
	// doubtfulSince is when the path was first found to be in doubt, and nextAsk when servers
	// may be asked for an answer again.
	doubtfulSince, nextAsk wasabiridge.Millis
	// nextTrial is when a request may be tried although the path is silent.
	nextTrial wasabiridge.Millis
	// doubtedAt is when the connections to other servers were found to forward no data.
	doubtedAt wasabiridge.Millis
	// nextDoubt is when the next request may be passed on in doubt.
	nextDoubt wasabiridge.Millis
}

// sentAttempt is an attempt without an answer.
type sentAttempt struct {
	server wasabiridge.BackendServerID
	at     wasabiridge.Millis
}

// New returns the Tracker of an instance that counts as connected.
func New(seed uint64) *Tracker {
	return &Tracker{
		random:     rand.New(rand.NewPCG(seed, 0)),
		unanswered: map[wasabiridge.AttemptID]sentAttempt{},
		fruitless:  map[wasabiridge.BackendServerID]wasabiridge.Millis{},
		failures:   map[wasabiridge.BackendServerID]wasabiridge.Millis{},
		sampled:    map[wasabiridge.BackendServerID]bool{},
	}
}

// Sent records that an attempt was sent to a server.
func (t *Tracker) Sent(now wasabiridge.Millis, a wasabiridge.AttemptID, server wasabiridge.BackendServerID) {
	t.unanswered[a] = sentAttempt{server: server, at: now}
}

// Received records that a part of the answer to an attempt arrived.
func (t *Tracker) Received(now wasabiridge.Millis, a wasabiridge.AttemptID) {
	t.received = now
	delete(t.unanswered, a)
	clear(t.fruitless)
}

// Ended records the end of an attempt.
func (t *Tracker) Ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	if _, unanswered := t.unanswered[e.Attempt]; unanswered && e.Result == wasabiridge.AttemptBroken {
		t.fruitless[e.Backend] = now
	}
	delete(t.unanswered, e.Attempt)
	if e.Unreachable {
		t.failures[e.Backend] = now
	}
}

// InDoubt reports whether another instance should be asked to serve the next request, and
// records that it is. See the package documentation.
func (t *Tracker) InDoubt(now wasabiridge.Millis) bool {
	if now < t.nextDoubt || !t.isDoubtful(now) {
		return false
	}
	t.nextDoubt = now + doubtInterval
	return true
}

// ServedElsewhere records that another instance relayed the response of a server. It reports
// whether that changed whether the instance is detached.
func (t *Tracker) ServedElsewhere(now wasabiridge.Millis) bool {
	if !t.isDoubtful(now) {
		return false
	}
	t.setDetached(now, true)
	t.mute = true
	return true
}

// NotServedElsewhere records that another instance relayed no response of a server, for example
// because it refused the request. The next request may be passed on at once.
func (t *Tracker) NotServedElsewhere() { t.nextDoubt = 0 }

// isDoubtful reports whether attempts at several servers have received no data, and nothing
// else has arrived since.
func (t *Tracker) isDoubtful(now wasabiridge.Millis) bool {
	switch {
	case t.detached:
		return false
	case t.doubtedAt > t.received && now-t.doubtedAt <= doubtSpan && now-t.received >= silenceTimeout:
		return true
	case now-t.received < doubtTimeout:
		return false
	}
	servers := map[wasabiridge.BackendServerID]bool{}
	for _, sent := range t.unanswered {
		if sent.at >= t.received && now-sent.at >= doubtTimeout {
			servers[sent.server] = true
		}
	}
	for server, at := range t.fruitless {
		if now-at <= failureWindow {
			servers[server] = true
		}
	}
	return len(servers) >= minDoubtServers
}

// Mute reports whether the instance is detached because connections forward no data, or in
// doubt for long. A check then has to ask for an answer, and Result counts the servers that
// gave one as connected.
func (t *Tracker) Mute() bool { return t.mute || t.asking }

// Silent reports whether nothing has arrived from any server lately. Connections that were
// open before may go on working although no new one can be opened, so it reports false for
// one request in each trialInterval.
func (t *Tracker) Silent(now wasabiridge.Millis) bool {
	if now-t.received < quietTimeout {
		return false
	}
	if now >= t.nextTrial {
		t.nextTrial = now + trialInterval
		return false
	}
	return true
}

// Suspect requests a check.
func (t *Tracker) Suspect() { t.suspected = true }

// Doubt records that connections to other servers forward no data. The path is in doubt then
// until something arrives.
func (t *Tracker) Doubt(now wasabiridge.Millis) { t.doubtedAt = now }

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
		if now-max(sent.at, t.received) >= silenceTimeout {
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
	if t.asking = t.mustAsk(now); t.asking {
		t.nextAsk = now + askInterval
		return true
	}
	return now >= t.nextCheck && (t.detached || t.suspected || t.suspicious(now))
}

// mustAsk reports whether the path has been in doubt for so long that servers have to be
// asked for an answer. A doubt lasts until something arrives.
func (t *Tracker) mustAsk(now wasabiridge.Millis) bool {
	if t.detached || t.received >= t.doubtfulSince {
		t.doubtfulSince = 0
	}
	if t.doubtfulSince == 0 && t.isDoubtful(now) {
		t.doubtfulSince = now
	}
	return t.doubtfulSince > 0 && now-t.doubtfulSince >= doubtLimit && now >= t.nextAsk
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
	before, asking := t.detached, t.asking
	t.checking = false
	switch {
	case t.detached && r.Connected > r.Failed, !t.detached && r.Connected > 0:
		t.confirming = false
		t.mute = t.Mute()
		t.setDetached(now, false)
	case t.detached:
		t.nextCheck = now + checkInterval
	case asking && t.received >= t.doubtfulSince:
		// Data has arrived since the check began.
		t.confirming = false
	case t.conclusive:
		t.confirming = false
		t.setDetached(now, true)
		t.mute = asking
	default:
		t.confirming = true
	}
	return t.detached != before
}

func (t *Tracker) setDetached(now wasabiridge.Millis, detached bool) {
	if t.detached != detached {
		t.since = now
	}
	if t.mute && !detached {
		// Servers have answered.
		t.received, t.doubtedAt = now, 0
		clear(t.fruitless)
	}
	t.detached, t.mute, t.asking = detached, false, false
	t.nextCheck = now + connectedInterval
	if detached {
		t.nextCheck = now + checkInterval
	}
	clear(t.failures)
}
