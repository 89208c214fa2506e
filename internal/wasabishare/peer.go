package wasabishare

import (
	"slices"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// minPeerSpan is for how long the demand at another instance counts at least after
	// its message, and peerIntervals for how many of the intervals in which messages come.
	minPeerSpan   = 1500 * wasabiridge.Millis(1)
	peerIntervals = 3
	// servedPart is the part of what is asked for that an instance without a shortage
	// serves at least. Above it the difference is what is under way.
	servedPart = 0.95
	// maxPeers bounds the instances whose demand is kept.
	maxPeers = 1024
)

// peerDemand is the demand for a pool at another instance.
type peerDemand struct {
	from  wasabiridge.InstanceID
	at    wasabiridge.Millis
	ranks []wasabiridge.DemandUpdate
	// correction is what the other instance takes the capacity for. Zero means that it
	// said nothing.
	correction float64
}

// newPeerDemand returns the demand at another instance from its message about a pool.
func newPeerDemand(now wasabiridge.Millis, from wasabiridge.InstanceID, ranks []wasabiridge.DemandUpdate) peerDemand {
	d := peerDemand{from: from, at: now, ranks: ranks}
	for _, r := range ranks {
		if r.Correction > 0 {
			d.correction = min(maxCorrection, max(minCorrection, r.Correction))
		}
	}
	return d
}

// othersCorrection returns the mean and the least of the corrections of the other instances.
func (p *pool) othersCorrection() (mean, least float64) {
	sum, n := 0.0, 0.0
	for _, d := range p.peers {
		if d.correction <= 0 {
			continue
		}
		if sum, n = sum+d.correction, n+1; least == 0 || d.correction < least {
			least = d.correction
		}
	}
	if n == 0 {
		return 0, 0
	}
	return sum / n, least
}

func (d peerDemand) offered() float64 {
	sum := 0.0
	for _, r := range d.ranks {
		sum += float64(r.Offered)
	}
	return sum
}

// refuses reports whether the other instance refuses requests.
func (d peerDemand) refuses() bool {
	offered, admitted := 0.0, 0.0
	for _, r := range d.ranks {
		offered, admitted = offered+float64(r.Offered), admitted+float64(r.Admitted)
	}
	return admitted < servedPart*offered
}

// isReply reports whether the other instance announces its demand only because others
// did. Such an announcement causes no further ones, which would otherwise never end.
func (d peerDemand) isReply() bool {
	for _, r := range d.ranks {
		if !r.Reply {
			return false
		}
	}
	return true
}

// receive replaces the demand at another instance.
func (p *pool) receive(d peerDemand) {
	i, found := slices.BinarySearchFunc(p.peers, d.from, comparePeer)
	if found {
		p.peers[i] = d
		return
	}
	if len(p.peers) < maxPeers {
		p.peers = slices.Insert(p.peers, i, d)
	}
}

func comparePeer(d peerDemand, id wasabiridge.InstanceID) int {
	return strings.Compare(string(d.from), string(id))
}

func (p *pool) forget(id wasabiridge.InstanceID) {
	if i, found := slices.BinarySearchFunc(p.peers, id, comparePeer); found {
		p.peers = slices.Delete(p.peers, i, i+1)
	}
}

func (p *pool) expirePeers(now, span wasabiridge.Millis) {
	p.peers = slices.DeleteFunc(p.peers, func(d peerDemand) bool { return now-d.at > span })
}

// unheard returns the number of serving instances whose demand is not known.
func (p *pool) unheard(self wasabiridge.InstanceID, serving []wasabiridge.InstanceID) int {
	n := 0
	for _, id := range serving {
		if _, found := slices.BinarySearchFunc(p.peers, id, comparePeer); !found && id != self {
			n++
		}
	}
	return n
}

// receive applies a message of another instance.
func (l *Limiter) receive(now wasabiridge.Millis, e wasabiridge.DemandReceived) {
	if e.From == l.options.Self {
		return
	}
	byPool := map[uint32][]wasabiridge.DemandUpdate{}
	for _, d := range e.Demands {
		byPool[d.Pool] = append(byPool[d.Pool], d)
	}
	for _, p := range l.pools {
		ranks, ok := byPool[p.digest]
		if !ok {
			continue
		}
		d := newPeerDemand(now, e.From, ranks)
		p.receive(d)
		if d.isReply() {
			continue
		}
		p.answerUntil = now + sharedSpan
		if d.refuses() {
			p.refusedAt = now
			p.markShort(now)
		}
	}
}
