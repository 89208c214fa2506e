package wasabiconfig

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// Times and limits of the distribution.
const (
	// announcePeers is how many random peers are notified of a new version at once, in
	// addition to those that the membership notifies. They make up for lost messages.
	announcePeers = 2
	// bootstrapPeers is how many peers an instance without a configuration contacts.
	bootstrapPeers                          = 8
	bootstrapInterval    wasabiridge.Millis = 200
	maxBootstrapInterval                    = 5 * wasabiridge.Second
	// fetchTimeout is the time-out of a fetch, after which the next peer is queried.
	// After fastFetches time-outs it doubles each time, so that a slow network is not
	// filled with copies.
	fetchTimeout    wasabiridge.Millis = 150
	maxFetchTimeout wasabiridge.Millis = 5000
	fastFetches                        = 4
	maxSources                         = 8
	// tableReadsPerSecond is the number of table reads per second by all instances
	// together, a small share of the two thousand that the table can serve.
	tableReadsPerSecond = 8
	minReadInterval     = wasabiridge.Second
	maxReadInterval     = 60 * wasabiridge.Second
	readTimeout         = 5 * wasabiridge.Second
	maxBackoff          = 30 * wasabiridge.Second
)

// Machine decides which configuration is in force at one instance. It is a
// deterministic state machine: the same events at the same times give the same effects.
// It is not safe for concurrent use.
//
// The version in force only increases. An older document never comes into force again,
// even if messages are late, duplicated or reordered.
type Machine struct {
	rng       *rand.Rand
	instances int

	document wasabiridge.ConfigDocument
	rejected wasabiridge.ConfigVersion

	// sources are peers known to have a newer version, the most recent first.
	sources       []VersionReceived
	fetching      string
	fetchDeadline wasabiridge.Millis
	fetchTimeouts int

	reading      bool
	readDeadline wasabiridge.Millis
	nextRead     wasabiridge.Millis
	failures     int

	nextBootstrap     wasabiridge.Millis
	bootstrapInterval wasabiridge.Millis

	effects []Effect
}

// NewMachine returns a machine without a configuration. Random choices follow
// the seed, which should differ between instances.
func NewMachine(seed uint64) *Machine {
	return &Machine{
		rng:               rand.New(rand.NewPCG(seed, seed)),
		instances:         1,
		bootstrapInterval: bootstrapInterval,
	}
}

// Version returns the version in force.
func (m *Machine) Version() wasabiridge.ConfigVersion { return m.document.Version }

// Handle processes one event and returns the requested actions. The returned slice is
// valid until the next call.
func (m *Machine) Handle(now wasabiridge.Millis, e Event) []Effect {
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case VersionReceived:
		m.recordSource(e)
	case Fetched:
		m.fetched(e)
	case TableRead:
		m.tableRead(now, e)
	case Accepted:
		m.adopt(e.Document)
	case OutcomeUnknown:
		m.failures = 0
		m.nextRead = now
	case Ticked:
		m.instances = max(1, e.Instances)
		m.tick(now)
	}
	m.fetch(now)
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// isCandidate reports whether a version is newer than the one in force and than any
// rejected one.
func (m *Machine) isCandidate(v wasabiridge.ConfigVersion) bool {
	return v > m.document.Version && v > m.rejected
}

// recordSource records a peer with a newer version before the earlier ones, which are
// more likely to be unreachable.
func (m *Machine) recordSource(h VersionReceived) {
	if !m.isCandidate(h.Version) {
		return
	}
	m.dropSource(h.Address)
	m.sources = append([]VersionReceived{h}, m.sources...)
	if len(m.sources) > maxSources {
		m.sources = m.sources[:maxSources]
	}
}

// dropSource removes the source with the address, and all sources whose version is no
// longer a candidate.
func (m *Machine) dropSource(address string) {
	kept := m.sources[:0]
	for _, s := range m.sources {
		if s.Address != address && m.isCandidate(s.Version) {
			kept = append(kept, s)
		}
	}
	m.sources = kept
}

// fetch queries the first source and moves it to the end of the list, so that the next
// one is queried after a time-out.
func (m *Machine) fetch(now wasabiridge.Millis) {
	if m.fetching != "" || len(m.sources) == 0 {
		return
	}
	source := m.sources[0]
	m.sources = append(append([]VersionReceived(nil), m.sources[1:]...), source)
	m.fetching = source.Address
	m.fetchDeadline = now + m.currentFetchTimeout()
	m.emit(FetchFromPeer{Address: m.fetching})
}

func (m *Machine) currentFetchTimeout() wasabiridge.Millis {
	doublings := min(max(0, m.fetchTimeouts-fastFetches+1), 8)
	return min(fetchTimeout<<doublings, maxFetchTimeout)
}

// fetched processes the result of a fetch, also after its time-out: only the version
// matters.
func (m *Machine) fetched(f Fetched) {
	if f.Address == m.fetching {
		m.fetching = ""
	}
	if f.Err == nil {
		m.adopt(f.Document)
	}
	m.dropSource(f.Address)
}

func (m *Machine) tableRead(now wasabiridge.Millis, t TableRead) {
	m.reading = false
	if t.Err != nil {
		m.readFailed(now)
		return
	}
	m.failures = 0
	m.nextRead = now + m.jitter(m.readInterval())
	m.adopt(t.Document)
}

// readFailed backs off, so that instances do not all read at once when the table is
// available again.
func (m *Machine) readFailed(now wasabiridge.Millis) {
	m.reading = false
	m.failures = min(m.failures+1, 6)
	m.nextRead = now + m.jitter(min(m.readInterval()<<m.failures, maxBackoff+m.readInterval()))
}

// readInterval returns the time between two reads, which divides the read budget among
// the instances.
func (m *Machine) readInterval() wasabiridge.Millis {
	share := wasabiridge.Millis(m.instances) * wasabiridge.Second / tableReadsPerSecond
	return min(max(share, minReadInterval), maxReadInterval)
}

// jitter returns a uniformly distributed time between zero and twice span. With less
// variation, instances that started together would continue to read together, and a
// version that no heartbeat carries would long be found by none of them.
func (m *Machine) jitter(span wasabiridge.Millis) wasabiridge.Millis {
	return wasabiridge.Millis(m.rng.Int64N(int64(2*span) + 1))
}

// adopt puts a document in force if it is newer. A document that cannot be parsed was
// accepted by a newer release; the previous version then stays in force, so that the
// instance can go on serving.
func (m *Machine) adopt(d wasabiridge.ConfigDocument) {
	if !m.isCandidate(d.Version) {
		return
	}
	cfg, err := wasabirule.Parse(d.Text)
	if err != nil {
		m.rejected = d.Version
		m.dropSource("")
		m.emit(Reject{Version: d.Version, Err: err})
		return
	}
	m.document = d
	m.fetchTimeouts = 0
	m.dropSource("")
	m.emit(Adopt{Document: d, Config: cfg.WithVersion(d.Version)})
	m.emit(Announce{Peers: announcePeers})
}

// bootstrap contacts peers to get a configuration, so that an instance that starts
// while the table is down has one at once. The interval grows while no peer has one.
func (m *Machine) bootstrap(now wasabiridge.Millis) {
	m.nextBootstrap = now + m.bootstrapInterval
	m.bootstrapInterval = min(2*m.bootstrapInterval, maxBootstrapInterval)
	m.emit(Announce{Peers: bootstrapPeers})
}

func (m *Machine) tick(now wasabiridge.Millis) {
	if m.fetching != "" && now >= m.fetchDeadline {
		m.fetching = ""
		m.fetchTimeouts++
	}
	if m.reading && now >= m.readDeadline {
		m.readFailed(now)
	}
	if !m.reading && now >= m.nextRead {
		m.reading = true
		m.readDeadline = now + readTimeout
		m.emit(ReadTable{Have: m.document.Version})
	}
	if m.document.Version == 0 && now >= m.nextBootstrap {
		m.bootstrap(now)
	}
}
