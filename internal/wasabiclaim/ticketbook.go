package wasabiclaim

import (
	"container/list"

	"github.com/wasabiridge/wasabiridge"
)

// maxAbandoned bounds how many given-up requests a claim remembers. Losing
// one can only leave a claim held by nobody, never run a request twice.
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

// phase says how far a claim is.
type phase uint8

const (
	// phaseFree means that no request holds the claim and none ran.
	phaseFree phase = iota
	// phaseRunning means that a request holds the claim and may be sent.
	phaseRunning
	// phaseAnswered means that the request ran and its answer is kept.
	phaseAnswered
	// phaseUnknown means that the request may have run and that no answer is
	// kept.
	phaseUnknown
)

// ticketClaim is what the issuing instance remembers of a ticket.
type ticketClaim struct {
	serial    uint64
	expires   wasabiridge.Millis
	phase     phase
	holder    holder
	digest    uint64
	granted   wasabiridge.Millis
	answer    wasabiridge.Answer
	kept      *list.Element
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

// ticketBook decides on claims for the tickets that this life of an instance
// handed out. It is deterministic and not safe for concurrent use.
//
// A claim is remembered until its ticket expires. An expired ticket is never
// granted, so forgetting it cannot run a request twice.
type ticketBook struct {
	limits Limits
	life   ticket
	serial uint64
	// latest is the highest time seen. A clock that is set back would make
	// an expired and forgotten ticket look fresh, and its request would run
	// again; time in the book therefore never goes back.
	latest wasabiridge.Millis
	claims map[uint64]*ticketClaim
	lives  lives
	// order holds claims in the order of their first mention.
	order *list.List
	kept  *answerRing
}

func newTicketBook(life ticket, limits Limits) *ticketBook {
	return &ticketBook{
		limits: limits,
		life:   life,
		claims: make(map[uint64]*ticketClaim),
		order:  list.New(),
		kept:   newAnswerRing(limits.KeptAnswers, limits.KeptBytes),
	}
}

func (b *ticketBook) advance(now wasabiridge.Millis) wasabiridge.Millis {
	if now > b.latest {
		b.latest = now
	}
	b.forgetExpired()
	return b.latest
}

// issue returns a new ticket. It costs no memory until the ticket is used.
func (b *ticketBook) issue(now wasabiridge.Millis) ticket {
	now = b.advance(now)
	b.serial++
	t := b.life
	t.Serial = b.serial
	t.Expires = now + b.limits.TicketLifetime
	return t
}

// isOwn reports whether this life of the instance issued the ticket.
func (b *ticketBook) isOwn(t ticket) bool {
	return t.Instance == b.life.Instance && t.Incarnation == b.life.Incarnation && t.Life == b.life.Life
}

// claim decides on a query. The same request may ask again, for example after
// it lost the answer, and gets the same decision.
func (b *ticketBook) claim(now wasabiridge.Millis, t ticket, q wasabiridge.ClaimQuery) wasabiridge.ClaimOutcome {
	now = b.advance(now)
	if !b.isOwn(t) || t.Expires <= now {
		// What became of the ticket was forgotten, with the former life of
		// the instance or with its expiry. Granting could be a second run.
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

func (b *ticketBook) decide(now wasabiridge.Millis, c *ticketClaim, q wasabiridge.ClaimQuery) wasabiridge.ClaimOutcome {
	h := holderOf(q)
	switch {
	case c.isAbandoned(h):
		// The asker gave this request up and said so before its question
		// arrived. It will not send; a grant would block the ticket.
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimUnavailable}
	case c.phase == phaseFree:
		c.phase, c.holder, c.digest, c.granted = phaseRunning, h, q.Digest, now
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimGranted}
	case c.digest != q.Digest:
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimMismatch}
	case c.phase == phaseRunning && c.holder == h:
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimGranted}
	case c.phase == phaseRunning && now-c.granted <= b.limits.RunLimit && !b.lives.isOver(c.holder.Instance, c.holder.Incarnation):
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimRunning}
	case c.phase == phaseAnswered:
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimAnswered, Answer: c.answer}
	default:
		return unknownNotSent()
	}
}

// finish takes the end of a request. Only the holder can change its claim.
func (b *ticketBook) finish(now wasabiridge.Millis, t ticket, r wasabiridge.ClaimResult) {
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
		// The word that a request was given up overtook its question.
		if c = b.open(t); c == nil {
			return
		}
	}
	held := c.phase == phaseRunning && c.holder == h
	switch {
	case r.Disposition == wasabiridge.NotRun:
		// A released claim remembers the request, so that a late question
		// of the same request is not granted and held by nobody.
		if held {
			c.phase, c.holder = phaseFree, holder{}
		}
		if c.phase == phaseFree || c.holder != h {
			c.abandon(h)
		}
	case held && r.Disposition == wasabiridge.Ran && b.kept.fits(r.Answer):
		c.phase, c.answer = phaseAnswered, r.Answer
		c.kept = b.kept.add(r.Answer, func() {
			c.phase, c.answer, c.kept = phaseUnknown, wasabiridge.Answer{}, nil
		})
	case held:
		c.phase = phaseUnknown
	}
}

// open starts to remember a ticket. It returns nil when there is no room; then
// nothing ran under the ticket.
func (b *ticketBook) open(t ticket) *ticketClaim {
	if len(b.claims) >= b.limits.Tickets {
		return nil
	}
	c := &ticketClaim{serial: t.Serial, expires: t.Expires}
	b.claims[t.Serial] = c
	b.order.PushBack(c)
	return c
}

// forgetExpired drops claims whose ticket expired. Claims stand in the order
// of their first mention; one whose ticket expires later than those behind it
// delays them by less than a ticket's lifetime.
func (b *ticketBook) forgetExpired() {
	for e := b.order.Front(); e != nil; e = b.order.Front() {
		c := e.Value.(*ticketClaim)
		if c.expires > b.latest {
			return
		}
		b.order.Remove(e)
		delete(b.claims, c.serial)
		b.kept.drop(c.kept)
	}
}

// unknownNotSent is the answer when an earlier request may have run and the
// asking one must not.
func unknownNotSent() wasabiridge.ClaimOutcome {
	return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimUnknown, NotSent: true}
}
