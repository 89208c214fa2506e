package wasabilease

import (
	"strconv"

	"github.com/wasabiridge/wasabiridge"
)

// Grant is the right to act as the holder of a lease until a point in time of
// the holder's own clock. The zero Grant allows nothing. It is an immutable
// value.
type Grant struct {
	Lease   string
	Fencing wasabiridge.FencingNumber
	Until   wasabiridge.Millis
}

// Covers reports whether the lease lasts for the whole span from now.
func (g Grant) Covers(now, span wasabiridge.Millis) bool {
	return g.Fencing != 0 && now+span <= g.Until
}

// Timing sets the pace of a lease. All contenders of a lease must use the
// same. A zero field takes its default.
type Timing struct {
	// TTL is how long a holder believes after the start of a write that took
	// effect, 15 s by default.
	TTL wasabiridge.Millis
	// Drift is how much longer than TTL a contender waits, for clocks that
	// do not run at the same rate, 1 s by default.
	Drift wasabiridge.Millis
	// Renew is how long after a renewal the next begins, a third of TTL by
	// default.
	Renew wasabiridge.Millis
	// Poll is how often a contender reads the row, a third of TTL by default.
	Poll wasabiridge.Millis
	// Reclaim says that earlier lives of this instance are over for certain while
	// it runs, and that no other process has its name. It then takes a lease that
	// an earlier life held at once, under a new fencing number.
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
// not safe for concurrent use. At most one read or write is on its way.
type Machine struct {
	name   string
	self   wasabiridge.InstanceID
	life   wasabiridge.Incarnation
	timing Timing

	wanted bool
	busy   bool
	grant  Grant
	// nextAt is when the row is read next.
	nextAt wasabiridge.Millis
	// seen is the revision of another holder's row, seenAt when it was last
	// seen, and quiet how long it has not changed.
	seen   uint64
	seenAt wasabiridge.Millis
	quiet  wasabiridge.Millis
	// sent is the last write, until its outcome is known.
	sent   sentWrite
	writes uint64

	effects []Effect
}

// sentWrite is a write that may have made this instance the holder.
type sentWrite struct {
	id      wasabiridge.WriteID
	fencing wasabiridge.FencingNumber
	at      wasabiridge.Millis
	kind    writeKind
}

// writeKind says what a write of the row is for.
type writeKind uint8

const (
	takeover writeKind = iota
	renewal
	release
)

// NewMachine returns a machine that does not want the lease.
func NewMachine(name string, self wasabiridge.InstanceID, life wasabiridge.Incarnation, t Timing) *Machine {
	return &Machine{name: name, self: self, life: life, timing: t.withDefaults()}
}

// Handle takes one event and returns what has to be done. The returned slice
// is valid until the next call.
func (m *Machine) Handle(now wasabiridge.Millis, e Event) []Effect {
	m.effects = m.effects[:0]
	if m.grant.Fencing != 0 && !m.grant.Covers(now, 0) {
		m.drop()
	}
	switch e := e.(type) {
	case Contended:
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
		// The row is read for its revision and then freed.
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
	var r record
	if rr.Row.Revision != 0 {
		var err error
		if r, err = decodeRecord(rr.Row.Value); err != nil {
			// A row that cannot be read is left to an operator. Taking it
			// over could hand out a fencing number twice.
			m.drop()
			return
		}
	}
	m.recognise(now, rr.Row, r)
	m.act(now, rr.Row.Revision, r)
}

// recognise looks for a write of this instance whose answer was lost. The time
// of the holder counts from before that write was sent, however late it took
// effect.
func (m *Machine) recognise(now wasabiridge.Millis, row wasabiridge.Row, r record) {
	if m.sent.id != "" && row.LastWrite == m.sent.id {
		m.hold(now, m.sent)
	}
	m.sent = sentWrite{}
}

// hold begins or prolongs the belief after a write that took effect. A renewal
// that is heard of when the belief is over does not revive it: every belief
// has a fencing number of its own.
func (m *Machine) hold(now wasabiridge.Millis, w sentWrite) {
	g := Grant{Lease: m.name, Fencing: w.fencing, Until: w.at + m.timing.TTL}
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

// act decides what follows from the row.
func (m *Machine) act(now wasabiridge.Millis, revision uint64, r record) {
	own := r.Holder == m.self && r.Incarnation == m.life
	switch {
	case own && !m.wanted:
		m.write(now, revision, record{Fencing: r.Fencing}, release)
	case !m.wanted:
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

// renew writes the row again when a third of the time is over.
func (m *Machine) renew(now wasabiridge.Millis, revision uint64, r record) {
	due := m.grant.Until - m.timing.TTL + m.timing.Renew
	if now < due {
		m.nextAt = due
		return
	}
	m.write(now, revision, r, renewal)
}

// watch waits out another holder. A row that changed starts the wait again: the
// holder sent that write at most now, so it believes for TTL from now at most.
//
// A contender whose clock jumps ahead would take over at once, while the
// holder still gives orders. One reading therefore counts for little more than
// the pause between two, and a takeover needs several.
func (m *Machine) watch(now wasabiridge.Millis, revision uint64, r record) {
	if revision != m.seen {
		m.seen, m.quiet = revision, 0
	} else {
		m.quiet += min(now-m.seenAt, m.timing.Poll*3/2)
	}
	m.seenAt = now
	rest := m.timing.TTL + m.timing.Drift - m.quiet
	if rest > 0 {
		m.nextAt = now + min(m.timing.Poll, rest)
		return
	}
	m.take(now, revision, r)
}

func (m *Machine) take(now wasabiridge.Millis, revision uint64, r record) {
	m.write(now, revision, record{Holder: m.self, Incarnation: m.life, Fencing: r.Fencing + 1}, takeover)
}

func (m *Machine) write(now wasabiridge.Millis, revision uint64, r record, kind writeKind) {
	m.writes++
	id := wasabiridge.WriteID(string(m.self) + "/" + strconv.FormatUint(uint64(m.life), 36) +
		"/lease/" + m.name + "/" + strconv.FormatUint(m.writes, 36))
	m.busy = true
	m.sent = sentWrite{id: id, fencing: r.Fencing, at: now, kind: kind}
	change := wasabiridge.RowChange{Key: rowPrefix + m.name, IfRevision: revision, Value: encodeRecord(r)}
	m.effects = append(m.effects, CommitRow{Transaction: wasabiridge.Transaction{
		ID: id, Changes: []wasabiridge.RowChange{change},
	}})
}

func (m *Machine) commitEnded(now wasabiridge.Millis, err error) {
	m.busy = false
	if err != nil {
		// After a conflict or a lost answer the row tells what happened. A
		// write that takes effect later than that read is found at the next
		// one and does not extend the belief.
		m.nextAt = now + m.timing.Renew/8
		return
	}
	sent := m.sent
	m.sent = sentWrite{}
	m.hold(now, sent)
	if !m.wanted && sent.kind != release {
		// The lease is not wanted any more, and the row names this instance.
		m.startRead()
	}
}
