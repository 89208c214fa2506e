package wasabilease

import (
	"strconv"

	"github.com/wasabiridge/wasabiridge"
)

// Grant is the right to act as the holder of a lease until a point in time by
// the holder's own clock. The zero Grant permits nothing. It is an immutable
// value.
type Grant struct {
	Lease   string
	Fencing wasabiridge.FencingNumber
	Until   wasabiridge.Millis
	// Previous is the holder whose row this instance took over.
	Previous Previous
}

// Previous is what the row of a lease says about its last holder. The zero Previous means that
// the lease was never held.
type Previous struct {
	Fencing wasabiridge.FencingNumber
	Holder  wasabiridge.InstanceID
	// Handover is what the holder wrote for the next one when it released the lease.
	Handover string
}

// Covers reports whether the grant lasts for the whole span from now.
func (g Grant) Covers(now, span wasabiridge.Millis) bool {
	return g.Fencing != 0 && now+span <= g.Until
}

// Timing sets the intervals of a lease. All contenders for a lease must use the
// same. A zero field takes its default.
type Timing struct {
	// TTL is the lease term, counted from before the holder sent a write that
	// took effect. The default is 15 s.
	TTL wasabiridge.Millis
	// Drift is how much longer than TTL a contender waits, to allow for clocks
	// that run at different rates. The default is 1 s.
	Drift wasabiridge.Millis
	// Renew is the time from one renewal to the next. The default is a third of
	// TTL.
	Renew wasabiridge.Millis
	// Poll is the interval at which a contender reads the row. The default is a
	// third of TTL.
	Poll wasabiridge.Millis
	// Reclaim asserts that all earlier incarnations of this instance have ended
	// for certain, and that no other process has its name. The instance then
	// takes a lease of an earlier incarnation over at once, under a new fencing
	// number.
	Reclaim bool
}

func (t Timing) withDefaults() Timing {
	if t.TTL == 0 {
		t.TTL = 15 * wasabiridge.Second
	}
	if t.Drift == 0 {
		t.Drift = wasabiridge.Second
	}
	if t.Renew == 0 {
		t.Renew = t.TTL / 3
	}
	if t.Poll == 0 {
		t.Poll = t.TTL / 3
	}
	return t
}

// Machine decides when one instance holds one lease. It is deterministic and
// not safe for concurrent use. At most one read or write is in flight.
type Machine struct {
	name        string
	self        wasabiridge.InstanceID
	incarnation wasabiridge.Incarnation
	timing      Timing

	wanted bool
	// handover is what the next holder needs if this instance releases the lease.
	handover string
	busy     bool
	grant    Grant
	// previous is the holder of the row that was last taken over.
	previous Previous
	// nextAt is when the row is read next.
	nextAt wasabiridge.Millis
	// seen is the last revision that was read of another holder's row, seenAt
	// when it was last read, and unchanged how long it has stayed the same.
	seen      uint64
	seenAt    wasabiridge.Millis
	unchanged wasabiridge.Millis
	// epoch is the newest known epoch of the store, and epochSince when it was first seen.
	epoch      wasabiridge.StoreEpoch
	epochSince wasabiridge.Millis
	// sent is the last write, until its outcome is known.
	sent   sentWrite
	writes uint64

	effects []Effect
}

// sentWrite is a write after which this instance may be the holder.
type sentWrite struct {
	id      wasabiridge.WriteID
	fencing wasabiridge.FencingNumber
	epoch   wasabiridge.StoreEpoch
	at      wasabiridge.Millis
	kind    writeKind
}

// writeKind is the purpose of a write of the row.
type writeKind uint8

const (
	takeover writeKind = iota
	renewal
	release
)

// NewMachine returns a machine that does not want the lease.
func NewMachine(name string, self wasabiridge.InstanceID, incarnation wasabiridge.Incarnation, t Timing) *Machine {
	return &Machine{name: name, self: self, incarnation: incarnation, timing: t.withDefaults()}
}

// Handle applies one event and returns the requested effects. The returned
// slice is valid until the next call.
func (m *Machine) Handle(now wasabiridge.Millis, e Event) []Effect {
	m.effects = m.effects[:0]
	if m.grant.Fencing != 0 && !m.grant.Covers(now, 0) {
		m.drop()
	}
	switch e := e.(type) {
	case Contended:
		m.observeEpoch(now, e.Epoch)
		m.handover = e.Handover
		m.contend(now, e.Wanted)
	case RowRead:
		m.read(now, e)
	case Committed:
		m.commitEnded(now, e.Err)
	case Ticked:
	}
	if m.wanted && !m.busy && now >= m.nextAt {
		m.startRead()
	}
	return m.effects
}

func (m *Machine) contend(now wasabiridge.Millis, wanted bool) {
	if wanted == m.wanted {
		return
	}
	m.wanted, m.nextAt = wanted, now
	if !wanted && m.grant.Fencing != 0 && !m.busy {
		// The row is read for its revision and then released.
		m.startRead()
	}
	if !wanted {
		m.drop()
	}
}

func (m *Machine) drop() {
	if m.grant.Fencing == 0 {
		return
	}
	m.grant = Grant{}
	m.effects = append(m.effects, Granted{})
}

func (m *Machine) startRead() {
	m.busy = true
	m.effects = append(m.effects, ReadRow{Key: rowPrefix + m.name})
}

func (m *Machine) read(now wasabiridge.Millis, rr RowRead) {
	m.busy = false
	m.nextAt = now + m.timing.Poll
	if rr.Err != nil {
		m.nextAt = now + m.timing.Renew/4
		return
	}
	if rr.Row.Epoch < m.epoch {
		// The response was sent before the store was restored.
		m.nextAt = now + m.timing.Renew/8
		return
	}
	var r record
	if rr.Row.Revision != 0 {
		var err error
		if r, err = decodeRecord(rr.Row.Value); err != nil {
			// A row that cannot be decoded is left to an operator. Taking it
			// over could assign a fencing number twice.
			m.drop()
			return
		}
	}
	m.observeEpoch(now, rr.Row.Epoch)
	m.matchLostWrite(now, rr.Row, r)
	m.act(now, rr.Row.Revision, r)
}

// observeEpoch records when the store was first seen after a restore.
func (m *Machine) observeEpoch(now wasabiridge.Millis, epoch wasabiridge.StoreEpoch) {
	if epoch > m.epoch {
		m.epoch, m.epochSince = epoch, now
	}
}

// isUnsettled reports whether the holder of an earlier epoch may still act. The restore may
// have lost the write by which it became the holder, so that the row says nothing about it.
// It had sent that write before the restore, and its term counts from then.
func (m *Machine) isUnsettled(now wasabiridge.Millis, r record) bool {
	return r.epoch() < m.epoch && now < m.epochSince+m.timing.TTL+m.timing.Drift
}

// holdsFromEarlierEpoch reports whether this instance holds the lease by a write of an
// earlier epoch. No other instance can take the lease before its grant has ended.
func (m *Machine) holdsFromEarlierEpoch(now wasabiridge.Millis, r record) bool {
	return r.epoch() < m.epoch && m.grant.Covers(now, 0) && record{Fencing: m.grant.Fencing}.epoch() < m.epoch
}

// matchLostWrite looks for a write of this instance whose response was lost.
// The holder's term counts from before that write was sent, however late it
// took effect.
func (m *Machine) matchLostWrite(now wasabiridge.Millis, row wasabiridge.Row, r record) {
	if m.sent.id != "" && row.LastWrite == m.sent.id && row.Epoch == m.sent.epoch {
		m.hold(now, m.sent)
	}
	m.sent = sentWrite{}
}

// hold starts or extends the grant after a write that took effect. A renewal
// whose result arrives after the grant ended does not restore it: every
// uninterrupted term has its own fencing number.
func (m *Machine) hold(now wasabiridge.Millis, w sentWrite) {
	g := Grant{Lease: m.name, Fencing: w.fencing, Until: w.at + m.timing.TTL, Previous: m.previous}
	if !m.wanted || w.kind == release || !g.Covers(now, 0) {
		return
	}
	if w.kind == renewal && m.grant.Fencing != w.fencing {
		return
	}
	m.grant = g
	m.nextAt = w.at + m.timing.Renew
	m.effects = append(m.effects, Granted{Grant: g})
}

// act decides on the next step after a read of the row.
func (m *Machine) act(now wasabiridge.Millis, revision uint64, r record) {
	own := r.Holder == m.self && r.Incarnation == m.incarnation
	switch {
	case own && !m.wanted:
		m.write(now, revision, record{Fencing: r.Fencing, Last: m.self, Handover: m.handover}, release)
	case !m.wanted:
	case m.holdsFromEarlierEpoch(now, r):
		m.take(now, revision, r)
	case m.isUnsettled(now, r):
		m.drop()
		m.nextAt = min(now+m.timing.Poll, m.epochSince+m.timing.TTL+m.timing.Drift)
	case own && m.grant.Fencing == r.Fencing:
		m.renew(now, revision, r)
	case own || r.isFree() || m.timing.Reclaim && r.Holder == m.self:
		m.drop()
		m.take(now, revision, r)
	default:
		m.drop()
		m.watch(now, revision, r)
	}
}

// renew writes the row again once the renewal interval is over.
func (m *Machine) renew(now wasabiridge.Millis, revision uint64, r record) {
	due := m.grant.Until - m.timing.TTL + m.timing.Renew
	if now < due {
		m.nextAt = due
		return
	}
	m.write(now, revision, r, renewal)
}

// watch waits until another holder's term has certainly ended. A changed row
// restarts the wait: the holder sent that write no later than now, so its term
// ends no later than TTL from now.
//
// A contender whose clock jumps ahead would otherwise take over at once, while
// the holder still sends commands. Each read therefore counts for at most one
// and a half polling intervals, so a takeover needs several reads.
func (m *Machine) watch(now wasabiridge.Millis, revision uint64, r record) {
	if revision != m.seen {
		m.seen, m.unchanged = revision, 0
	} else {
		m.unchanged += min(now-m.seenAt, m.timing.Poll*3/2)
	}
	m.seenAt = now
	remaining := m.timing.TTL + m.timing.Drift - m.unchanged
	if remaining > 0 {
		m.nextAt = now + min(m.timing.Poll, remaining)
		return
	}
	m.take(now, revision, r)
}

func (m *Machine) take(now wasabiridge.Millis, revision uint64, r record) {
	m.previous = r.previous()
	m.write(now, revision, record{Holder: m.self, Incarnation: m.incarnation, Fencing: r.next(m.epoch)}, takeover)
}

func (m *Machine) write(now wasabiridge.Millis, revision uint64, r record, kind writeKind) {
	m.writes++
	id := wasabiridge.WriteID(string(m.self) + "/" + strconv.FormatUint(uint64(m.incarnation), 36) +
		"/lease/" + m.name + "/" + strconv.FormatUint(m.writes, 36))
	m.busy = true
	m.sent = sentWrite{id: id, fencing: r.Fencing, epoch: m.epoch, at: now, kind: kind}
	change := wasabiridge.RowChange{Key: rowPrefix + m.name, IfRevision: revision, Value: encodeRecord(r)}
	m.effects = append(m.effects, CommitRow{Transaction: wasabiridge.Transaction{
		ID: id, Changes: []wasabiridge.RowChange{change}, Epoch: m.epoch,
	}})
}

func (m *Machine) commitEnded(now wasabiridge.Millis, err error) {
	m.busy = false
	if err != nil {
		// After a conflict or a lost response, the next read of the row shows
		// the outcome. A write that takes effect only after that read is found
		// by a later read and does not extend the grant.
		m.nextAt = now + m.timing.Renew/8
		return
	}
	sent := m.sent
	m.sent = sentWrite{}
	m.hold(now, sent)
	if !m.wanted && sent.kind != release {
		// The lease is no longer wanted, but the row names this instance.
		m.startRead()
	}
}
