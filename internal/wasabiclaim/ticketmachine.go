package wasabiclaim

import (
	"container/list"

	"github.com/wasabiridge/wasabiridge"
)

// maxAbandoned bounds the abandoned requests that a claim remembers. When one is
// dropped, a late claim call of it may be granted and never sent; no request runs
// twice.
const maxAbandoned = 16

// holder names the request that holds a claim.
type holder struct {
	Instance    wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	Request     wasabiridge.RequestID
}

func holderOf(q wasabiridge.ClaimQuery) holder {
	return holder{Instance: q.Holder, Incarnation: q.Incarnation, Request: q.Request}
}

// phase is the state of a claim by ticket.
type phase uint8

const (
	// phaseFree means that no request holds the claim and none ran.
	phaseFree phase = iota
	// phaseRunning means that a request holds the claim and may be sent.
	phaseRunning
	// phaseAnswered means that the request ran and its answer is cached.
	phaseAnswered
	// phaseUnknown means that the request may have run and that no answer is
	// cached.
	phaseUnknown
)

// ticketClaim is the claim of one ticket at its issuing instance.
type ticketClaim struct {
	serial  uint64
	expires wasabiridge.Millis
	phase   phase
	holder  holder
	digest  uint64
	granted wasabiridge.Millis
	answer  wasabiridge.Answer
	// cached is the element of answer in the answer ring.
	cached *list.Element
	// abandoned are requests that must not be granted the claim any more.
	abandoned []holder
}

func (c *ticketClaim) isAbandoned(h holder) bool {
	for _, a := range c.abandoned {
		if a == h {
			return true
		}
	}
	return false
}

func (c *ticketClaim) abandon(h holder) {
	if c.isAbandoned(h) {
		return
	}
	if len(c.abandoned) == maxAbandoned {
		c.abandoned = c.abandoned[1:]
	}
	c.abandoned = append(c.abandoned, h)
}

// ticketMachine decides on claims for the tickets that this incarnation of an
// instance issued. It is deterministic and not safe for concurrent use.
//
// A claim is remembered until its ticket expires. An expired ticket is never
// granted, so removing its claim cannot let a request run twice.
type ticketMachine struct {
	limits Limits
	// issuer holds the fields that all tickets of this incarnation have in common.
	issuer ticket
	// serial is that of the last issued ticket.
	serial uint64
	// latest is the highest time passed to the machine. A clock that is set back
	// would make an expired ticket whose claim was removed look valid, and its
	// request would run again; the machine's time therefore never goes back.
	latest       wasabiridge.Millis
	claims       map[uint64]*ticketClaim
	incarnations incarnations
	// order holds the claims in the order in which they were added.
	order  *list.List
	cached *answerRing
}

func newTicketMachine(issuer ticket, limits Limits) *ticketMachine {
	return &ticketMachine{
		limits: limits,
		issuer: issuer,
		claims: make(map[uint64]*ticketClaim),
		order:  list.New(),
		cached: newAnswerRing(limits.MaxCachedAnswers, limits.MaxCachedBytes),
	}
}

func (b *ticketMachine) advance(now wasabiridge.Millis) wasabiridge.Millis {
	if now > b.latest {
		b.latest = now
	}
	b.evictExpired()
	return b.latest
}

// issue returns a new ticket. A ticket takes no memory until it is used.
func (b *ticketMachine) issue(now wasabiridge.Millis) ticket {
	now = b.advance(now)
	b.serial++
	t := b.issuer
	t.Serial = b.serial
	t.Expires = now + b.limits.TicketLifetime
	return t
}

// isOwn reports whether this incarnation of the instance issued the ticket.
func (b *ticketMachine) isOwn(t ticket) bool {
	return t.Instance == b.issuer.Instance && t.Incarnation == b.issuer.Incarnation && t.Nonce == b.issuer.Nonce
}

// claim decides on a query. The same request may repeat its query, for example
// after the response was lost, and gets the same outcome.
func (b *ticketMachine) claim(now wasabiridge.Millis, t ticket, q wasabiridge.ClaimQuery) wasabiridge.ClaimOutcome {
	now = b.advance(now)
	if !b.isOwn(t) || t.Expires <= now {
		// The claim was lost with the previous incarnation of the instance, or
		// removed when the ticket expired. Granting it could be a second run.
		return unknownNotSent()
	}
	c := b.claims[t.Serial]
	if c == nil {
		if c = b.open(t); c == nil {
			return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimUnavailable}
		}
	}
	return b.decide(now, c, q)
}

func (b *ticketMachine) decide(now wasabiridge.Millis, c *ticketClaim, q wasabiridge.ClaimQuery) wasabiridge.ClaimOutcome {
	h := holderOf(q)
	switch {
	case c.isAbandoned(h):
		// The request was abandoned, and its release arrived before its claim.
		// It will not be sent; a grant would block the ticket.
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimUnavailable}
	case c.phase == phaseFree:
		c.phase, c.holder, c.digest, c.granted = phaseRunning, h, q.Digest, now
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimGranted}
	case c.digest != q.Digest:
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimMismatch}
	case c.phase == phaseRunning && c.holder == h:
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimGranted}
	case c.phase == phaseRunning && now-c.granted <= b.limits.RunLimit && !b.incarnations.hasEnded(c.holder.Instance, c.holder.Incarnation):
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimRunning}
	case c.phase == phaseAnswered:
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimAnswered, Answer: c.answer}
	default:
		return unknownNotSent()
	}
}

// finish records the end of a request. Only the holder of a claim can end it.
func (b *ticketMachine) finish(now wasabiridge.Millis, t ticket, r wasabiridge.ClaimResult) {
	now = b.advance(now)
	if !b.isOwn(t) || t.Expires <= now {
		return
	}
	h := holderOf(r.Query)
	c := b.claims[t.Serial]
	if c == nil {
		if r.Disposition != wasabiridge.NotRun {
			return
		}
		// The release of an abandoned request overtook its claim.
		if c = b.open(t); c == nil {
			return
		}
	}
	held := c.phase == phaseRunning && c.holder == h
	switch {
	case r.Disposition == wasabiridge.NotRun:
		// A released claim remembers the request, so that a late claim call
		// of it is not granted: it would never be sent.
		if held {
			c.phase, c.holder = phaseFree, holder{}
		}
		if c.phase == phaseFree || c.holder != h {
			c.abandon(h)
		}
	case held && r.Disposition == wasabiridge.Ran && b.cached.fits(r.Answer):
		c.phase, c.answer = phaseAnswered, r.Answer
		c.cached = b.cached.add(r.Answer, func() {
			c.phase, c.answer, c.cached = phaseUnknown, wasabiridge.Answer{}, nil
		})
	case held:
		c.phase = phaseUnknown
	}
}

// open adds a free claim for a ticket. It returns nil when Limits.MaxTickets claims
// are remembered already; nothing ran under the ticket then.
func (b *ticketMachine) open(t ticket) *ticketClaim {
	if len(b.claims) >= b.limits.MaxTickets {
		return nil
	}
	c := &ticketClaim{serial: t.Serial, expires: t.Expires}
	b.claims[t.Serial] = c
	b.order.PushBack(c)
	return c
}

// evictExpired removes claims whose ticket expired. Claims are in the order in
// which they were added; one whose ticket expires later than those behind it delays
// their removal by less than a ticket's lifetime.
func (b *ticketMachine) evictExpired() {
	for e := b.order.Front(); e != nil; e = b.order.Front() {
		c := e.Value.(*ticketClaim)
		if c.expires > b.latest {
			return
		}
		b.order.Remove(e)
		delete(b.claims, c.serial)
		b.cached.drop(c.cached)
	}
}

// unknownNotSent is the outcome when an earlier request with the key may have run,
// and the request of the query must not be sent.
func unknownNotSent() wasabiridge.ClaimOutcome {
	return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimUnknown, NotSent: true}
}
