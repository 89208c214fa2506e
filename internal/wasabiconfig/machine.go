package wasabiconfig

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// Times and sizes of the spread.
const (
	// announcePeers is how many random peers are told of a new version, beside
	// those that the membership tells. They make up for lost messages.
	announcePeers = 2
	// emptyPeers is how many peers an instance without a configuration asks.
	emptyPeers                       = 8
	emptyPause    wasabiridge.Millis = 200
	maxEmptyPause                    = 5 * wasabiridge.Second
	// fetchPause is the wait for a peer before the next is asked. After
	// fastFetches of them it doubles with each wait, so that a slow network is
	// not filled with copies.
	fetchPause    wasabiridge.Millis = 150
	maxFetchPause wasabiridge.Millis = 5000
	fastFetches                      = 4
	maxSources                       = 8
	// tableReads is how many reads of the table all instances together make
	// in a second, a small part of the two thousand that it carries.
	tableReads      = 8
	minReadInterval = wasabiridge.Second
	maxReadInterval = 60 * wasabiridge.Second
	readTimeout     = 5 * wasabiridge.Second
	maxBackoff      = 30 * wasabiridge.Second
)

// Machine decides which configuration is in force at one instance. It is a
// deterministic state machine: the same events at the same times give the
// same effects. It is not safe for concurrent use.
//
// The version in force only rises. Whatever comes late, twice or crossed, an
// older document is never put in force again.
type Machine struct {
	rng       *rand.Rand
	instances int

	document wasabiridge.ConfigDocument
	rejected wasabiridge.ConfigVersion

	// sources are peers known to have a newer version, the latest first.
	sources    []Heard
	fetching   string
	fetchedBy  wasabiridge.Millis
	unanswered int

	reading  bool
	readBy   wasabiridge.Millis
	nextRead wasabiridge.Millis
	failures int

	nextAsk    wasabiridge.Millis
	emptyPause wasabiridge.Millis

	effects []Effect
}

// NewMachine returns a machine without a configuration. Random choices follow
// the seed, which should differ between instances.
func NewMachine(seed uint64) *Machine {
	return &Machine{
		rng:        rand.New(rand.NewPCG(seed, seed)),
		instances:  1,
		emptyPause: emptyPause,
	}
}

// Version returns the version in force.
func (m *Machine) Version() wasabiridge.ConfigVersion { return m.document.Version }

// Handle takes one event and returns what has to be done. The returned slice
// is valid until the next call.
func (m *Machine) Handle(now wasabiridge.Millis, e Event) []Effect {
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case Heard:
		m.heard(e)
	case Fetched:
		m.fetched(e)
	case TableRead:
		m.tableRead(now, e)
	case Accepted:
		m.adopt(e.Document)
	case Doubted:
		m.failures = 0
		m.nextRead = now
	case Ticked:
		m.instances = max(1, e.Instances)
		m.tick(now)
	}
	m.fetch(now)
	return m.effects
}

func (m *Machine) do(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) wanted(v wasabiridge.ConfigVersion) bool {
	return v > m.document.Version && v > m.rejected
}

// heard remembers a peer with a newer version, in front of those heard of
// earlier, which are more likely to be gone.
func (m *Machine) heard(h Heard) {
	if !m.wanted(h.Version) {
		return
	}
	m.forget(h.Address)
	m.sources = append([]Heard{h}, m.sources...)
	if len(m.sources) > maxSources {
		m.sources = m.sources[:maxSources]
	}
}

func (m *Machine) forget(address string) {
	kept := m.sources[:0]
	for _, s := range m.sources {
		if s.Address != address && m.wanted(s.Version) {
			kept = append(kept, s)
		}
	}
	m.sources = kept
}

// fetch asks the first source and puts it behind the others, so that the next
// one is asked when no answer comes in time.
func (m *Machine) fetch(now wasabiridge.Millis) {
	if m.fetching != "" || len(m.sources) == 0 {
		return
	}
	source := m.sources[0]
	m.sources = append(append([]Heard(nil), m.sources[1:]...), source)
	m.fetching = source.Address
	m.fetchedBy = now + m.fetchWait()
	m.do(FetchFromPeer{Address: m.fetching})
}

func (m *Machine) fetchWait() wasabiridge.Millis {
	doublings := min(max(0, m.unanswered-fastFetches+1), 8)
	return min(fetchPause<<doublings, maxFetchPause)
}

// fetched takes an answer, also one that comes after its timeout: what counts
// is its version.
func (m *Machine) fetched(f Fetched) {
	if f.Address == m.fetching {
		m.fetching = ""
	}
	if f.Err == nil {
		m.adopt(f.Document)
	}
	m.forget(f.Address)
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

// readFailed backs off, so that a store that comes back is not met by all
// instances at once.
func (m *Machine) readFailed(now wasabiridge.Millis) {
	m.reading = false
	m.failures = min(m.failures+1, 6)
	m.nextRead = now + m.jitter(min(m.readInterval()<<m.failures, maxBackoff+m.readInterval()))
}

// readInterval shares the read budget between the instances.
func (m *Machine) readInterval() wasabiridge.Millis {
	share := wasabiridge.Millis(m.instances) * wasabiridge.Second / tableReads
	return min(max(share, minReadInterval), maxReadInterval)
}

// jitter spreads a span evenly between nothing and twice its length. With less
// spread, instances that started together would go on reading together, and a
// version that nobody tells would be found by none of them for a long time.
func (m *Machine) jitter(span wasabiridge.Millis) wasabiridge.Millis {
	return wasabiridge.Millis(m.rng.Int64N(int64(2*span) + 1))
}

// adopt puts a document in force if it is newer. A document that does not
// parse was accepted by a release that knows more; keeping the old version is
// the only way to go on serving.
func (m *Machine) adopt(d wasabiridge.ConfigDocument) {
	if !m.wanted(d.Version) {
		return
	}
	cfg, err := wasabirule.Parse(d.Text)
	if err != nil {
		m.rejected = d.Version
		m.forget("")
		m.do(Reject{Version: d.Version, Err: err})
		return
	}
	m.document = d
	m.unanswered = 0
	m.forget("")
	m.do(Adopt{Document: d, Config: cfg.WithVersion(d.Version)})
	m.do(Announce{Peers: announcePeers})
}

// ask looks for a peer with a configuration, so that an instance that starts
// while the table is down has one at once. It gets slower when nobody has one.
func (m *Machine) ask(now wasabiridge.Millis) {
	m.nextAsk = now + m.emptyPause
	m.emptyPause = min(2*m.emptyPause, maxEmptyPause)
	m.do(Announce{Peers: emptyPeers})
}

func (m *Machine) tick(now wasabiridge.Millis) {
	if m.fetching != "" && now >= m.fetchedBy {
		m.fetching = ""
		m.unanswered++
	}
	if m.reading && now >= m.readBy {
		m.readFailed(now)
	}
	if !m.reading && now >= m.nextRead {
		m.reading = true
		m.readBy = now + readTimeout
		m.do(ReadTable{Have: m.document.Version})
	}
	if m.document.Version == 0 && now >= m.nextAsk {
		m.ask(now)
	}
}
