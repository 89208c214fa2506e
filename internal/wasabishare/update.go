package wasabishare

import (
	"cmp"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// deniedSpan is for how long after its last refusal an instance announces that it
	// refuses requests.
	deniedSpan = wasabiridge.Second
	// minUpdateInterval is the least interval between two messages, and maxBytesPerSecond
	// what an instance sends to all others together.
	minUpdateInterval = 250 * wasabiridge.Millis(1)
	maxBytesPerSecond = 2800.0
	// demandBytes, accountBytes and correctionBytes are the sizes of the parts of a message.
	demandBytes     = 12
	accountBytes    = 9
	correctionBytes = 3
	// maxNamed bounds the accounts of a rank that a message names. Fewer are named, but at
	// least one, where many instances share the bandwidth: up to namedAtLeast if a message
	// a second is possible with them, and more if one is possible in minUpdateInterval.
	maxNamed     = 16
	namedAtLeast = 4
	// maxBurst is for how many messages the bandwidth of idle time is kept. The second
	// says sooner what the first could not know at the start of a shortage.
	maxBurst = 2
	// burstInterval is the least interval of messages that are sent with that.
	burstInterval = 500 * wasabiridge.Millis(1)
	// correctionMessages is which of the messages carry the correction where the bandwidth
	// allows less than one message a second.
	correctionMessages = 4
	// namedPart is the part of the demand of a rank below which an account is not worth
	// naming.
	namedPart = 0.01
)

// TakeUpdate returns what has to be added to a state update to the other instances now. The
// result is nil when nothing is due, as it is while no pool is short of capacity.
func (l *Limiter) TakeUpdate(now wasabiridge.Millis) []wasabiridge.DemandUpdate {
	l.start(now)
	if now < l.nextUpdateAt {
		return nil
	}
	var demands []wasabiridge.DemandUpdate
	for _, p := range l.pools {
		if p.isShared(now) || now < p.answerUntil {
			demands = append(demands, l.describe(now, p)...)
		}
	}
	if demands == nil {
		return nil
	}
	l.name(demands)
	l.announceCorrections(now, demands)
	l.schedule(now, l.interval(messageBytes(demands)))
	return demands
}

// schedule sets when the next message may be sent, after one that takes the bandwidth of an
// interval.
func (l *Limiter) schedule(now, interval wasabiridge.Millis) {
	l.paidUntil = max(l.paidUntil, now-(maxBurst-1)*interval) + interval
	l.nextUpdateAt = max(now+min(interval, burstInterval), l.paidUntil)
}

// announceCorrections adds the corrections of the capacities.
func (l *Limiter) announceCorrections(now wasabiridge.Millis, demands []wasabiridge.DemandUpdate) {
	l.sent++
	if l.interval(messageBytes(demands)) > wasabiridge.Second && l.sent%correctionMessages != 0 {
		return
	}
	for _, p := range l.pools {
		i := slices.IndexFunc(demands, func(d wasabiridge.DemandUpdate) bool { return d.Pool == p.digest })
		if i >= 0 && p.isShared(now) {
			demands[i].Correction = p.correction.factor
		}
	}
}

// peers returns the number of other instances that get messages.
func (l *Limiter) peers() int {
	if slices.Contains(l.serving, l.options.Self) {
		return len(l.serving) - 1
	}
	return len(l.serving)
}

// bytesIn returns how large a message may be that is sent once in an interval.
func (l *Limiter) bytesIn(span wasabiridge.Millis) int {
	return int(maxBytesPerSecond * float64(span) / 1000 / float64(max(1, l.peers())))
}

func (l *Limiter) interval(size int) wasabiridge.Millis {
	return max(minUpdateInterval, wasabiridge.Millis(float64(size*l.peers())/maxBytesPerSecond*1000)+1)
}

// named returns how many accounts each of a number of demands names.
func (l *Limiter) named(demands int) int {
	fits := func(span wasabiridge.Millis) int { return (l.bytesIn(span)/demands - demandBytes) / accountBytes }
	return min(maxNamed, max(1, min(namedAtLeast, fits(wasabiridge.Second)), fits(minUpdateInterval)))
}

// peerSpan returns for how long a message of another instance counts.
func (l *Limiter) peerSpan() wasabiridge.Millis {
	return max(minPeerSpan, peerIntervals*l.interval(demandBytes+l.named(1)*accountBytes))
}

func messageBytes(demands []wasabiridge.DemandUpdate) int {
	size := 0
	for _, d := range demands {
		size += demandBytes + accountBytes*len(d.Accounts)
		if d.Correction > 0 || d.Reply {
			size += correctionBytes
		}
	}
	return size
}

// describe returns the demand for a pool, with the accounts that are worth naming.
func (l *Limiter) describe(now wasabiridge.Millis, p *pool) []wasabiridge.DemandUpdate {
	p.measure(now, l.startedAt)
	var out []wasabiridge.DemandUpdate
	for _, priority := range p.priorities() {
		d := wasabiridge.DemandUpdate{Pool: p.digest, Priority: priority}
		for _, f := range slices.Concat(p.ordered, p.others) {
			if f.key.priority != priority {
				continue
			}
			d.Offered += wasabiridge.Work(f.own)
			d.Admitted += wasabiridge.Work(f.admitted.perSecond(now, l.startedAt))
		}
		for _, f := range p.ordered {
			if f.key.priority == priority && f.own > namedPart*float64(d.Offered) {
				d.Accounts = append(d.Accounts, wasabiridge.AccountDemand{Account: f.digest, Offered: wasabiridge.Work(f.own)})
			}
		}
		slices.SortStableFunc(d.Accounts, func(a, b wasabiridge.AccountDemand) int { return cmp.Compare(b.Offered, a.Offered) })
		d.Accounts = d.Accounts[:min(len(d.Accounts), maxNamed)]
		if d.Admitted = min(d.Admitted, d.Offered); now-p.deniedAt > deniedSpan {
			// What is measured still contains the refusals of a shortage that has ended, and
			// the other instances would take it for one.
			d.Admitted = d.Offered
		}
		d.Reply = !p.isShared(now)
		out = append(out, d)
	}
	if out == nil {
		return []wasabiridge.DemandUpdate{{Pool: p.digest, Reply: true}}
	}
	return out
}

// name reduces the accounts that are named to what a message has room for.
func (l *Limiter) name(demands []wasabiridge.DemandUpdate) {
	named := l.named(len(demands))
	for i := range demands {
		demands[i].Accounts = demands[i].Accounts[:min(len(demands[i].Accounts), named)]
	}
}
