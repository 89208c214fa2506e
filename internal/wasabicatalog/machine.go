// Package wasabicatalog maintains a copy of what the platform stores: the operators'
// configuration, the versions of weights that they want served, and the list of backend
// servers. The configuration and the list each have a revision and a confirmation time:
// the time at which the platform read was sent that last confirmed the content.
//
// # Few pollers
//
// Every call to the platform costs its operators, so only a few instances poll it. Each
// instance has a rank, its position among the live members: the largest capacity first,
// those of equal capacity in the order of their hashes. An instance reads from the
// platform when its content is older than a base age plus a delay for each lower rank.
// The other instances query those of the lowest ranks first. Where callers are directed
// to few of many instances, the remaining standby instances query one of those few, and
// less often; see Tree. When a poller dies, is paused or is partitioned from the
// platform, the content grows old everywhere and the instance of the next rank reads.
// There is no leader election.
//
// # Confirmation times
//
// A confirmation time is taken from a clock that keeps counting while the instance is
// suspended. An instance that sends a query at t and receives content of a given age
// sets its confirmation time to t minus that age, however long the response took. An
// age in a message that was not requested confirms nothing, since the message may have
// been delayed; a state update only says that a query is worth while.
//
// # Outages
//
// While the platform is down, the entries of backend servers expire there, and they are
// registered again within about two seconds of its return. Entries that vanished in an
// outage are kept for that time. Otherwise a backend server that vanishes from the list
// is gone.
//
// # Usage
//
//	controller := wasabicatalog.NewController(wasabicatalog.Options{
//		Self: self, Clock: clock, Source: source, Peers: client, Members: members,
//	})
//	go controller.Run(ctx)
//	view := controller.View()
package wasabicatalog

import (
	"sort"

	"github.com/wasabiridge/wasabiridge"
)

// Ages, delays and limits of the machine.
const (
	// readAge is the age of the content at which the instance of the lowest rank reads
	// from the platform. It is well below the time limits within which a leaving
	// backend server must get no more requests and a configuration must be in force. A
	// larger value shortens the time that older weights may answer, because a version
	// counts as set since the last read that did not contain it.
	readAge = 330 * wasabiridge.Millis(1)
	// rankDelay is added to readAge for each rank. It covers a query to a poller, so
	// that the instance of the next rank reads only when the one before it does not.
	rankDelay = 300 * wasabiridge.Millis(1)
	// maxRankDelays limits the number of delays: when all pollers fail at once, every
	// instance reads after this many.
	maxRankDelays = 4
	// queryAge is the age of the content at which an instance queries another one, and
	// queryInterval the shortest time between two queries.
	queryAge      = 200 * wasabiridge.Millis(1)
	queryInterval = 150 * wasabiridge.Millis(1)
	// pollers is the number of instances of the lowest ranks over which queries are
	// distributed.
	pollers = 3
	// standbyQueryAge and standbyQueryInterval are the same for standby instances. No
	// callers are directed to them, but they must meet the same time limits as all
	// other instances.
	standbyQueryAge      = 800 * wasabiridge.Millis(1)
	standbyQueryInterval = 800 * wasabiridge.Millis(1)
	// retryDelay is the time between a failed read and the next one. It grows with the
	// number of failures up to maxRetryDelay.
	retryDelay    = 400 * wasabiridge.Millis(1)
	maxRetryDelay = wasabiridge.Second
	// completionWait is how long after the first page of a large list the first instance reads
	// all pages. The membership has the other instances by then.
	completionWait = 400 * wasabiridge.Millis(1)
	// outageAge is the age of the list from which entries that vanished from it are
	// kept for expiredRetention.
	outageAge        = 2500 * wasabiridge.Millis(1)
	expiredRetention = 2 * wasabiridge.Second
	// outageFailures is how many reads must have failed for an outage. An instance that
	// was paused also finds its content old, but with at most one failed read, and
	// entries that vanished meanwhile have left.
	outageFailures = 2
)

// Machine decides when to read from the platform and which instances to query. It is
// deterministic and not safe for concurrent use.
type Machine struct {
	self Peer
	// lastPeers are the peers as last received, peers the same sorted by rank.
	lastPeers, peers []Peer
	rank             int
	// sources are the instances that a standby instance queries.
	sources []Peer

	config, backends part
	snapshot         wasabiridge.ConfigSnapshot
	list             wasabiridge.BackendSnapshot
	history          history
	// partial reports that list is only the first page of a large list, which serves until the
	// complete one is known. partialSince is when it was read.
	partial      bool
	partialSince wasabiridge.Millis
	// lastRead is the list of the last complete read, and lastReadDigest the digest of what
	// followed from it.
	lastRead       []wasabiridge.BackendEntry
	lastReadDigest uint64
	// keepExpiredUntil is the time until which entries that vanish are kept.
	keepExpiredUntil wasabiridge.Millis
	// epoch is the newest known epoch of the store, and epochRevision the first revision
	// that was seen of it. restored reports that this instance knew an earlier epoch, and
	// epochSince when it first saw the new one.
	epoch         wasabiridge.StoreEpoch
	epochRevision uint64
	restored      bool
	epochSince    wasabiridge.Millis
	// departures are the backend servers whose entries have ended.
	departures map[wasabiridge.BackendServerID]departure
	// targetVersions are the wanted versions of weights, in the order in which they
	// were first seen.
	targetVersions []TargetVersion
	// olderTargets are the older versions that the store names instead of the known ones.
	olderTargets map[wasabiridge.ModelID]wasabiridge.WeightsVersion

	querying   bool
	queriedAt  wasabiridge.Millis
	queryIndex int
	// queryFailures counts the failed queries since the last response.
	queryFailures int
	// responses counts the queries that were answered.
	responses  int
	updateFrom wasabiridge.InstanceID

	effects []Effect
}

// NewMachine returns a Machine without content.
func NewMachine(self wasabiridge.InstanceEntry) *Machine {
	return &Machine{self: PeerOf(self), departures: map[wasabiridge.BackendServerID]departure{}}
}

// Handle processes one event and returns the requested actions. The returned slice is
// valid until the next call.
func (m *Machine) Handle(now wasabiridge.Millis, e Event) []Effect {
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case Ticked:
		m.rankPeers(e.Peers)
		m.sources = e.Sources
		m.tick(now)
	case ConfigRead:
		m.configRead(now, e)
	case BackendsRead:
		m.backendsRead(now, e)
	case PeerResponded:
		m.answered(now, e)
	case UpdateReceived:
		m.updateFrom = e.From
		m.tick(now)
	}
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) tick(now wasabiridge.Millis) {
	for _, p := range [...]*part{&m.config, &m.backends} {
		if p.reading || now < p.nextRead || !m.isDue(now, p) {
			continue
		}
		p.reading = true
		if p == &m.config {
			m.emit(ReadConfig{})
		} else {
			m.emit(ReadBackends{FirstPage: !p.known && !m.partial})
		}
	}
	m.query(now)
}

// isDue reports whether a part is old enough to be read from the platform. An instance
// without content reads at once, so that it can serve right after a restart; if that
// read fails, it waits for its rank.
//
// The failure it guards against: hundreds of instances start before the operators have
// written a configuration, and all of them retry together until they have.
func (m *Machine) isDue(now wasabiridge.Millis, p *part) bool {
	if p == &m.backends && m.partial {
		return now >= m.partialSince+m.completionDelay()
	}
	if !p.known {
		return p.failures == 0 || now >= p.nextRead+m.readDelay()
	}
	if p == &m.config && m.snapshot.Config.KeyPolicy() == wasabiridge.KeysUnknown {
		// The instance that it comes from has lost the policy, and requests are refused
		// until it is known.
		return now >= p.nextRead
	}
	return p.age(now) >= readAge+m.readDelay()
}

// readDelay returns how much older than readAge the content has to be for this instance to
// read it.
func (m *Machine) readDelay() wasabiridge.Millis {
	delay := wasabiridge.Millis(min(m.rank, maxRankDelays)) * rankDelay
	if m.isStandby() {
		// The content of a standby instance is normally older by this much.
		delay += standbyQueryAge + standbyQueryInterval
	}
	return delay
}

// completionDelay returns how long after the first page of a large list this instance reads
// all pages, unless another instance answers with the complete list before.
//
// The failure it guards against: hundreds of instances start together and each reads thousands
// of entries from the platform, which takes seconds and most of their memory.
func (m *Machine) completionDelay() wasabiridge.Millis {
	return completionWait + wasabiridge.Millis(m.rank)*rankDelay
}

// delayNextRead delays the next read after one that confirmed nothing. The content stays
// old, so that all instances would read again at once, over and over.
func (m *Machine) delayNextRead(now wasabiridge.Millis, p *part) {
	p.nextRead = now + readAge + m.readDelay()
}

// isStandby reports whether the instance queries its sources instead of the pollers. An
// instance of one of the lowest ranks queries the pollers, because it polls next.
func (m *Machine) isStandby() bool { return len(m.sources) > 0 && m.rank >= maxRankDelays }

// isSettledStandby reports whether this is a standby instance with content, which queries its
// sources rarely.
func (m *Machine) isSettledStandby() bool {
	return m.isStandby() && m.config.known && m.backends.known && m.queryFailures == 0
}

// query sends a query to the peer whose turn it is, or to the peer that sent a state
// update.
func (m *Machine) query(now wasabiridge.Millis) {
	if m.querying || len(m.peers) == 0 {
		return
	}
	from, age, pause := m.peers[:min(pollers, len(m.peers))], queryAge, queryInterval
	if m.isStandby() {
		from, age = m.sources, standbyQueryAge
		if m.responses > 0 && m.config.known && m.queryFailures == 0 {
			pause = standbyQueryInterval
		}
	}
	wanted := m.updateFrom != ""
	// Only other instances know since when versions of weights are wanted, so even an
	// instance that reads everything from the platform itself sends one query after its
	// start.
	enough := m.responses > 0 && (max(m.config.age(now), m.backends.age(now)) < age || m.rank == 0 && m.config.known)
	if !wanted && (enough || now-m.queriedAt < pause) {
		return
	}
	to := from[m.queryIndex%len(from)]
	for _, p := range m.peers {
		if p.ID == m.updateFrom {
			to = p
		}
	}
	m.updateFrom, m.querying, m.queriedAt = "", true, now
	m.emit(QueryPeer{Peer: to, Query: wasabiridge.CatalogQuery{ConfigDigest: m.config.digest, BackendDigest: m.backends.digest}})
}

func (m *Machine) configRead(now wasabiridge.Millis, e ConfigRead) {
	m.config.readEnded(now, e.Err)
	if e.Err != nil {
		return
	}
	m.observeRevision(now, e.Snapshot.Revision)
	if e.Snapshot.Revision < m.config.revision || m.isRegression(e.Snapshot) {
		// A read of an older state confirms nothing.
		m.emit(ReadIgnored{Part: configPart, Revision: e.Snapshot.Revision, Known: m.config.revision})
		m.delayNextRead(now, &m.config)
		return
	}
	m.compareTargets(e.Snapshot)
	s, _ := withNewer(e.Snapshot, m.snapshot)
	content, err := encodeConfig(s)
	if err != nil {
		return
	}
	first, confirmedAt := !m.config.known, m.config.confirmedAt
	sent := e.Sent
	if !m.confirmsConfig(sent, e.Snapshot) {
		sent = confirmedAt
		m.delayNextRead(now, &m.config)
	}
	if m.applyRead(&m.config, s.Revision, sent, content) {
		m.snapshot = s
	}
	if s.Config.KeyPolicy() == wasabiridge.KeysUnknown {
		m.delayNextRead(now, &m.config)
	}
	m.recordConfigTargets(now, first, confirmedAt)
}

// recordConfigTargets records the wanted versions of weights in the current
// configuration. Those in the first configuration may have been set at any time before.
func (m *Machine) recordConfigTargets(now wasabiridge.Millis, first bool, confirmedAt wasabiridge.Millis) {
	if first {
		m.recordTargetVersions(now, false)
		return
	}
	m.recordTargetVersions(estimateSetTime(now, confirmedAt), true)
}

func (m *Machine) backendsRead(now wasabiridge.Millis, e BackendsRead) {
	age := m.backends.age(now)
	known, failures := m.backends.known, m.backends.failures
	m.backends.readEnded(now, e.Err)
	if e.Err != nil {
		return
	}
	m.observeRevision(now, e.Snapshot.Revision)
	if e.Snapshot.Revision < m.backends.revision {
		m.emit(ReadIgnored{Part: backendsPart, Revision: e.Snapshot.Revision, Known: m.backends.revision})
		m.delayNextRead(now, &m.backends)
		return
	}
	if known && age > outageAge && failures >= outageFailures {
		m.keepExpiredUntil = now + expiredRetention
	}
	if e.Snapshot.Partial {
		m.takePartial(now, e.Snapshot)
		return
	}
	if known && len(e.Snapshot.Entries) > 0 && len(e.Snapshot.Entries) == len(m.lastRead) && &e.Snapshot.Entries[0] == &m.lastRead[0] &&
		now >= m.keepExpiredUntil && m.lastReadDigest == m.backends.digest {
		// The source returns the same list while it does not change.
		m.confirm(&m.backends, e.Snapshot.Revision, e.Sent)
		return
	}
	list := m.withExpired(now, e.Snapshot)
	list.Entries = sorted(list.Entries)
	list.Entries, _ = m.withDepartures(now, list.Entries)
	digest := digestOf(list.Entries)
	m.lastRead, m.lastReadDigest = e.Snapshot.Entries, digest
	if known && digest == m.backends.digest {
		m.confirm(&m.backends, e.Snapshot.Revision, e.Sent)
		return
	}
	m.replaceList(list, decodedList{digest: digest}, e.Sent, true)
}

// takePartial takes the first page of a large list. It confirms nothing and is not sent to other
// instances.
func (m *Machine) takePartial(now wasabiridge.Millis, s wasabiridge.BackendSnapshot) {
	if m.backends.known {
		return
	}
	m.list, m.partial, m.partialSince = s, true, now
	m.emit(Changed{})
}

// withExpired adds the entries that vanished during an outage while they may still be
// registered again. One that was overwritten by an unusable entry has not expired.
func (m *Machine) withExpired(now wasabiridge.Millis, s wasabiridge.BackendSnapshot) wasabiridge.BackendSnapshot {
	if now >= m.keepExpiredUntil {
		return s
	}
	listed := map[wasabiridge.BackendServerID]bool{}
	for _, e := range s.Entries {
		listed[e.Server.ID] = true
	}
	for _, e := range s.Unusable {
		listed[e.ID] = true
	}
	out := s
	out.Entries = append([]wasabiridge.BackendEntry(nil), s.Entries...)
	for _, e := range m.list.Entries {
		if !listed[e.Server.ID] && !e.Leaving {
			e.Lapsed = true
			out.Entries = append(out.Entries, e)
		}
	}
	sort.Slice(out.Entries, func(a, b int) bool { return out.Entries[a].Server.ID < out.Entries[b].Server.ID })
	return out
}

func (m *Machine) answered(now wasabiridge.Millis, e PeerResponded) {
	m.querying = false
	if e.Err != nil {
		m.queryIndex++
		m.queryFailures++
		return
	}
	m.queryFailures = 0
	m.responses++
	before := m.config.confirmedAt + m.backends.confirmedAt
	first, confirmedAt := !m.config.known, m.config.confirmedAt
	for _, a := range [...]wasabiridge.CatalogPart{e.Answer.Config, e.Answer.Backends} {
		if a.Age >= 0 {
			m.observeRevision(now, a.Revision)
		}
	}
	m.applyPeerConfig(now, e)
	m.mergeTargetVersions(e)
	m.recordConfigTargets(now, first, confirmedAt)
	m.applyPeerBackends(now, e)
	if m.config.confirmedAt+m.backends.confirmedAt == before && max(m.config.age(now), m.backends.age(now)) > readAge+rankDelay {
		// The queried instance has no newer content; try another one.
		m.queryIndex++
	}
}

// Config returns the version of the known configuration and the time at which it was
// last confirmed. The last result is false when none is known.
func (m *Machine) Config() (wasabiridge.ConfigVersion, wasabiridge.Millis, bool) {
	return m.snapshot.Config.Version, m.config.confirmedAt, m.config.known
}

// Epoch returns the newest known epoch of the store.
func (m *Machine) Epoch() wasabiridge.StoreEpoch { return m.epoch }

// Backends returns the known list of backend servers.
func (m *Machine) Backends() wasabiridge.BackendSnapshot { return m.list }

// Answer returns the response to a query of another instance.
func (m *Machine) Answer(now wasabiridge.Millis, q wasabiridge.CatalogQuery) wasabiridge.CatalogResponse {
	var targetVersions []wasabiridge.TargetVersion
	for _, n := range m.targetVersions {
		if now-n.At < targetVersionRetention {
			targetVersions = append(targetVersions, wasabiridge.TargetVersion{Model: n.Model, Weights: n.Weights, Age: now - n.At, Observed: n.Observed})
		}
	}
	return wasabiridge.CatalogResponse{
		TargetVersions: targetVersions,
		Config:         m.config.answer(now, q.ConfigDigest),
		Backends:       m.answerBackends(now, q.BackendDigest),
	}
}
