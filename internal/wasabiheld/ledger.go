// Package wasabiheld bounds the bytes that an instance holds for callers that do not
// read, and for requests whose bodies it keeps for further attempts.
//
// # What counts
//
// A request counts with the bytes that it has reserved: its body and the part of its
// answer that is buffered. While its caller does not take what is being sent, it counts
// with the bytes that the network holds for it as well, WindowBytes at most, since a
// response that cannot be passed on stays unread.
//
// # Who gives way
//
// Nobody, while less than three quarters of the limit are held. Beyond that, requests
// are cut off that wait for their caller and have made no progress for idleTime, the
// largest first. Beyond the limit, those that wait for a shorter time follow, until there
// is room again. A request
// that does not wait for its caller is never cut off: its server may be running it. A
// request whose body finds no room is refused before it has run.
//
// # Usage
//
//	keeper := wasabiheld.New(wasabiheld.Options{Limit: 64 << 20, Clock: clock, Log: log})
//	go keeper.Run(ctx)
//	held := keeper.Open(id, account, func() { cutOff() })
//	defer held.Close()
//	if !held.Reserve(length) {
//		return errNotRun
//	}
//	held.Begin()
//	_, err := w.Write(data)
//	held.End()
//
// A nil Keeper bounds nothing, and its handles do nothing.
package wasabiheld

import (
	"cmp"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// WindowBytes is what the network may hold for a request that waits for its caller:
	// a response that was received and not yet read.
	WindowBytes = 64 << 10
	// idleTime is how long a request may wait for its caller without progress before it
	// is among the first to be cut off. Callers that read at all take a piece within it.
	idleTime = wasabiridge.Second
	// targetPercent is the percentage of the limit above which idle requests are cut off.
	targetPercent = 75
)

// Holding is what one request holds at a moment.
type Holding struct {
	// Number identifies the request within a Ledger.
	Number  uint64
	Request wasabiridge.RequestID
	Account wasabiridge.ClientAccountID
	// Bytes are the reserved bytes.
	Bytes int64
	// Waiting reports that a transfer to or from the caller is under way, and Transfers
	// counts those that have ended.
	Waiting   bool
	Transfers uint64
	// Fixed reports that the request cannot be cut off.
	Fixed bool
}

// Cut names a request to cut off.
type Cut struct {
	Holding
	// Held are its bytes, with those that the network holds, and Idle is how long it
	// has made no progress.
	Held int64
	Idle wasabiridge.Millis
}

// Ledger decides which requests are cut off. It is deterministic and not safe for
// concurrent use.
type Ledger struct {
	limit int64
	// waits are the requests that waited for their callers at the last review.
	waits map[uint64]wait
}

// wait is a transfer that is under way since a review at since.
type wait struct {
	transfers uint64
	since     wasabiridge.Millis
}

// NewLedger returns a Ledger with a limit in bytes.
func NewLedger(limit int64) *Ledger { return &Ledger{limit: limit, waits: map[uint64]wait{}} }

// Review takes what all requests hold now. It returns the requests to cut off, in order,
// and the bytes that the network is assumed to hold. A request waits for its caller if
// the same transfer was under way at the last review.
func (l *Ledger) Review(now wasabiridge.Millis, holdings []Holding) (cuts []Cut, network int64) {
	waits := make(map[uint64]wait, len(l.waits))
	total := int64(0)
	var waiting []Cut
	for _, h := range holdings {
		total += h.Bytes
		if !h.Waiting {
			continue
		}
		before, known := l.waits[h.Number]
		if !known || before.transfers != h.Transfers {
			waits[h.Number] = wait{transfers: h.Transfers, since: now}
			continue
		}
		waits[h.Number] = before
		network += WindowBytes
		if !h.Fixed {
			waiting = append(waiting, Cut{Holding: h, Held: h.Bytes + WindowBytes, Idle: now - before.since})
		}
	}
	l.waits = waits
	return l.choose(waiting, total+network), network
}

// choose returns the requests to cut off when the given bytes are held in all.
func (l *Ledger) choose(waiting []Cut, total int64) []Cut {
	target, over := l.limit*targetPercent/100, total > l.limit
	if total <= target {
		return nil
	}
	slices.SortFunc(waiting, func(a, b Cut) int {
		return cmp.Or(compareBool(b.isIdle(), a.isIdle()), cmp.Compare(b.Held, a.Held), cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.Number, b.Number))
	})
	for i, c := range waiting {
		if total <= target || !c.isIdle() && !over {
			return waiting[:i]
		}
		total -= c.Held
	}
	return waiting
}

func (c Cut) isIdle() bool { return c.Idle >= idleTime }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
